//! The keys in the state service, a cached view of them kept by a watch, and the read barrier.

use crate::clock::{Clock, sleep};
use crate::http::within;
use crate::scheduler::{
    CachedImage, ChunkRecord, End, Final, JobId, JobRecord, MachineId, MachineType, Pool,
};
use crate::state::{Event as KeyEvent, State, StateError, Urgency};
use crate::units::Micros;
use event_listener::Event;
use futures_lite::FutureExt;
use log::{debug, info, warn};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// Everything this service keeps is below this prefix.
pub const PREFIX: &str = "r/";
/// The leader's key.
pub const LEADER: &str = "r/leader";
/// The last token, without a lease.
pub const TERM: &str = "r/term";
/// The machine types.
pub const MACHINE_TYPES: &str = "r/flavors";
/// The status of a cancelled job.
pub const ABORTED: &str = "aborted";
/// A key that never exists: reading it tells the current revision.
const NOTHING: &str = "r/nothing";

/// How long a watch waits; short, so that one whose packets are held is soon replaced.
const WATCH_FOR: Micros = Micros::secs(3);
/// How often the state service is tried when nothing else tells whether it answers.
const PROBE_EVERY: Micros = Micros::secs(1);
/// How long a read barrier may take in all.
const BARRIER_WITHIN: Micros = Micros::millis(1_300);
/// After so long without an answer the state service counts as out of reach.
const QUIET_LIMIT: Micros = Micros::millis(2_500);

/// The key of a submission.
pub fn job_key(id: &JobId) -> String {
    format!("r/job/{id}")
}

/// The key of a job's end.
pub fn end_key(id: &JobId) -> String {
    format!("r/end/{id}")
}

/// The key of a chunk of a job's tasks.
pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("r/run/{id}/{chunk:05}")
}

/// The keys under which a controller tells which machines it hears, as many as one value can't hold.
pub fn contacts_key(node: &str, part: usize) -> String {
    format!("r/heard/{node}/{part}")
}

/// The key of a rental request, by its name.
pub fn rental_key(request_name: &str) -> String {
    format!("r/rental/{request_name}")
}

/// The key of the images that a machine has.
pub fn images_key(machine: &MachineId) -> String {
    format!("r/images/{machine}")
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller.
    pub node: String,
    /// Drawn anew by every process, so that a restarted one is not taken for its former self.
    pub incarnation: u64,
    /// The lease that the key hangs on.
    pub lease: u64,
}

/// A rental that was asked for or answered, as a new leader must know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// The request.
    pub rental: crate::cloud::Rental,
    /// The machines, once known.
    pub machines: Option<Vec<MachineId>>,
    /// When, by the time of day in microseconds.
    pub at: u64,
}

impl RentalRecord {
    /// Where it rents.
    pub fn pool(&self) -> Pool {
        Pool {
            machine_type: self.rental.machine_type.clone(),
            zone: self.rental.zone.clone(),
            spot: self.rental.spot,
        }
    }
}

/// A value with its version.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The version.
    pub version: u64,
}

/// What a change of the view means to its readers.
#[derive(Debug, Clone, PartialEq)]
pub enum ViewChange {
    /// A job was accepted.
    Job(JobId),
    /// A job is over.
    End(JobId),
    /// A controller tells which machines it hears.
    Contacts(String, Vec<MachineId>),
    /// The machine types were written.
    MachineTypes,
}

/// All keys, as of a revision.
#[derive(Debug, Default)]
pub struct View {
    /// The revision up to which all changes are in.
    pub revision: u64,
    /// Whether it was ever filled.
    pub loaded: bool,
    /// Accepted jobs.
    pub jobs: BTreeMap<JobId, Versioned<JobRecord>>,
    /// Jobs that are over.
    pub ends: HashMap<JobId, End>,
    /// How many of the accepted jobs are over, their records waiting for their removal.
    over: usize,
    /// Chunks of jobs.
    pub runs: BTreeMap<JobId, BTreeMap<u32, Versioned<ChunkRecord>>>,
    /// Images that machines have.
    pub images: BTreeMap<MachineId, Vec<CachedImage>>,
    /// Who leads; the version is the token.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The last token.
    pub term: u64,
    /// Recent rental requests by their names.
    pub rentals: BTreeMap<String, RentalRecord>,
    /// The machine types.
    pub machine_types: Option<Versioned<Vec<MachineType>>>,
}

/// A job's state as users are told it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Status {
    /// The job.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// `pending`, `running`, `done` or `aborted`.
    pub status: &'static str,
    /// Tasks completed.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

impl View {
    /// A key was written.
    pub fn put(
        &mut self,
        key: &str,
        value: Value,
        version: u64,
    ) -> Result<Option<ViewChange>, String> {
        fn parse<T: for<'a> Deserialize<'a>>(value: Value) -> Result<T, String> {
            serde_json::from_value(value).map_err(|e| e.to_string())
        }
        let rest = key.strip_prefix(PREFIX).ok_or("foreign key")?;
        if let Some(id) = rest.strip_prefix("job/") {
            let id = JobId::parse(id).ok_or("bad job id")?;
            let value = parse(value)?;
            let before = self.jobs.insert(id.clone(), Versioned { value, version });
            if before.is_none() && self.ends.contains_key(&id) {
                self.over += 1;
            }
            return Ok(Some(ViewChange::Job(id)));
        }
        if let Some(id) = rest.strip_prefix("end/") {
            let id = JobId::parse(id).ok_or("bad job id")?;
            let before = self.ends.insert(id.clone(), parse(value)?);
            if before.is_none() && self.jobs.contains_key(&id) {
                self.over += 1;
            }
            return Ok(Some(ViewChange::End(id)));
        }
        if let Some(run) = rest.strip_prefix("run/") {
            let (id, chunk) = split_run(run).ok_or("bad chunk key")?;
            let value = parse(value)?;
            self.runs
                .entry(id)
                .or_default()
                .insert(chunk, Versioned { value, version });
            return Ok(None);
        }
        if let Some(machine) = rest.strip_prefix("images/") {
            self.images
                .insert(MachineId(machine.to_owned()), parse(value)?);
            return Ok(None);
        }
        if let Some(request_name) = rest.strip_prefix("rental/") {
            self.rentals.insert(request_name.to_owned(), parse(value)?);
            return Ok(None);
        }
        if let Some(node) = rest.strip_prefix("heard/") {
            let node = node.split('/').next().unwrap_or_default();
            return Ok(Some(ViewChange::Contacts(node.to_owned(), parse(value)?)));
        }
        match key {
            LEADER => {
                let value = parse(value)?;
                self.leader = Some(Versioned { value, version });
            }
            TERM => self.term = version,
            MACHINE_TYPES => {
                let value = parse(value)?;
                self.machine_types = Some(Versioned { value, version });
                return Ok(Some(ViewChange::MachineTypes));
            }
            _ => return Err("unknown key".into()),
        }
        Ok(None)
    }

    /// A key was removed at this revision.
    pub fn delete(&mut self, key: &str, version: u64) {
        let Some(rest) = key.strip_prefix(PREFIX) else {
            return;
        };
        if let Some(id) = rest.strip_prefix("job/").and_then(JobId::parse) {
            if self.jobs.get(&id).is_some_and(|j| j.version <= version) {
                self.jobs.remove(&id);
                if self.ends.contains_key(&id) {
                    self.over -= 1;
                }
            }
        } else if let Some((id, chunk)) = rest.strip_prefix("run/").and_then(split_run) {
            if let Some(chunks) = self.runs.get_mut(&id) {
                if chunks.get(&chunk).is_some_and(|c| c.version <= version) {
                    chunks.remove(&chunk);
                }
                if chunks.is_empty() {
                    self.runs.remove(&id);
                }
            }
        } else if let Some(machine) = rest.strip_prefix("images/") {
            self.images.remove(&MachineId(machine.to_owned()));
        } else if let Some(request_name) = rest.strip_prefix("rental/") {
            self.rentals.remove(request_name);
        } else if key == LEADER && self.leader.as_ref().is_some_and(|l| l.version <= version) {
            self.leader = None;
        }
    }

    /// Whether the job was ever accepted, as far as this view knows.
    pub fn knows(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id) || self.ends.contains_key(id)
    }

    /// Jobs that are not over; the records of others may wait for their removal.
    pub fn active_jobs(&self) -> usize {
        self.jobs.len() - self.over
    }

    /// The machines on which tasks of a job are placed.
    pub fn machines_of(&self, id: &JobId) -> Vec<MachineId> {
        let chunks = self.runs.get(id).into_iter().flat_map(|c| c.values());
        let placed = chunks.flat_map(|c| c.value.live.iter().map(|(_, machine, _)| machine));
        let machines: BTreeSet<&MachineId> = placed.collect();
        machines.into_iter().cloned().collect()
    }

    /// A job's state.
    pub fn status(&self, id: &JobId) -> Option<Status> {
        if let Some(end) = self.ends.get(id) {
            let status = match end.how {
                Final::Done => "done",
                Final::Aborted => ABORTED,
            };
            return Some(Status {
                id: id.clone(),
                status,
                done: end.done,
                running: 0,
            });
        }
        self.jobs.get(id)?;
        let (mut done, mut running) = (0, 0);
        for chunk in self.runs.get(id).into_iter().flat_map(|c| c.values()) {
            done += chunk.value.finished.count_ones();
            running += chunk.value.live.len() as u32;
        }
        Some(Status {
            id: id.clone(),
            status: if running > 0 { "running" } else { "pending" },
            done,
            running,
        })
    }
}

fn split_run(run: &str) -> Option<(JobId, u32)> {
    let (id, chunk) = run.split_once('/')?;
    Some((JobId::parse(id)?, chunk.parse().ok()?))
}

/// One round of the read barrier, shared by all who wait for it.
#[derive(Default)]
struct BarrierRound {
    done: Cell<Option<bool>>,
    event: Event,
}

/// The cached view with the duties that keep it.
pub struct Store {
    state: Rc<State>,
    clock: Clock,
    /// The view.
    pub view: RefCell<View>,
    /// Fires after every change of the view.
    pub changed: Event,
    /// What happened, kept only while somebody leads by it.
    seen: RefCell<Option<Vec<ViewChange>>>,
    /// Fires when there is something for [`Store::take_changes`].
    pub news: Event,
    pause: Micros,
    kick: Event,
    barrier: RefCell<Rc<BarrierRound>>,
    barrier_wanted: Event,
    answered: Cell<Micros>,
}

impl Store {
    /// An empty view; `pause` is how long changes gather before the next watch.
    pub fn new(state: Rc<State>, clock: Clock, pause: Micros) -> Store {
        Store {
            state,
            clock,
            view: RefCell::default(),
            changed: Event::new(),
            seen: RefCell::default(),
            news: Event::new(),
            pause,
            kick: Event::new(),
            barrier: RefCell::default(),
            barrier_wanted: Event::new(),
            answered: Cell::new(clock.now()),
        }
    }

    /// Whether the state service answered lately.
    pub fn reachable(&self) -> bool {
        self.clock.now().since(self.answered.get()) < QUIET_LIMIT
    }

    /// As if the state service had not answered for long.
    #[cfg(test)]
    pub fn forget_answers(&self) {
        self.answered.set(Micros::ZERO);
    }

    /// The state service answered something just now.
    pub fn note_answer(&self) {
        self.answered.set(self.clock.now());
    }

    /// Begins or ends the keeping of what happens for [`Store::take_changes`].
    ///
    /// Guards against a follower keeping all that it ever saw, and against a new leader taking old signs of life for
    /// new ones.
    pub fn keep_seen(&self, keep: bool) {
        *self.seen.borrow_mut() = keep.then(Vec::new);
    }

    /// What happened since the last call.
    pub fn take_changes(&self) -> Vec<ViewChange> {
        let mut seen = self.seen.borrow_mut();
        seen.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// The duty that fills the view and follows every change.
    pub async fn follow(&self) {
        loop {
            if let Err(e) = self.load().await {
                debug!("event=load_failed error={e:?}");
                sleep(Micros::millis(300)).await;
                continue;
            }
            self.follow_changes().await;
        }
    }

    async fn load(&self) -> Result<(), StateError> {
        let mut fresh = View::default();
        let mut seen = Vec::new();
        let mut from = String::new();
        loop {
            let page = self.state.list(PREFIX, &from).await?;
            if fresh.revision == 0 {
                fresh.revision = page.revision;
            }
            for item in page.items {
                from.clone_from(&item.key);
                match fresh.put(&item.key, item.value, item.version) {
                    Ok(news) => seen.extend(news),
                    Err(e) => warn!("event=odd_key key={} error={e:?}", item.key),
                }
            }
            if !page.more {
                break;
            }
        }
        fresh.loaded = true;
        info!(
            "event=view_loaded revision={} jobs={} ended={}",
            fresh.revision,
            fresh.jobs.len(),
            fresh.ends.len()
        );
        self.note_answer();
        self.view.replace(fresh);
        self.publish(seen);
        Ok(())
    }

    /// Returns when the view must be filled anew.
    async fn follow_changes(&self) {
        loop {
            let from = self.view.borrow().revision;
            match self.state.watch(PREFIX, from, WATCH_FOR).await {
                Ok(news) => {
                    self.note_answer();
                    let any = !news.events.is_empty();
                    self.apply(news.revision, news.events);
                    if any {
                        let kick = self.kick.listen();
                        let pause = async {
                            sleep(self.pause).await;
                        };
                        pause.or(kick).await;
                    }
                }
                Err(StateError::TooOld) => return,
                Err(e) => {
                    debug!("event=watch_failed error={e:?}");
                    sleep(Micros::millis(250)).await;
                }
            }
        }
    }

    fn apply(&self, revision: u64, events: Vec<KeyEvent>) {
        let mut seen = Vec::new();
        let mut view = self.view.borrow_mut();
        for event in events {
            match event {
                KeyEvent::Put {
                    key,
                    value,
                    version,
                } => match view.put(&key, value, version) {
                    Ok(news) => seen.extend(news),
                    Err(e) => warn!("event=odd_key key={key} error={e:?}"),
                },
                KeyEvent::Delete { key, version } => view.delete(&key, version),
            }
        }
        view.revision = view.revision.max(revision);
        drop(view);
        self.publish(seen);
    }

    fn publish(&self, seen: Vec<ViewChange>) {
        if let Some(kept) = &mut *self.seen.borrow_mut()
            && !seen.is_empty()
        {
            kept.extend(seen);
            self.news.notify(usize::MAX);
        }
        self.changed.notify(usize::MAX);
    }

    /// Waits until the view holds at least this revision.
    pub async fn caught_up(&self, revision: u64, limit: Micros) -> bool {
        let wait = async {
            loop {
                let changed = self.changed.listen();
                {
                    let view = self.view.borrow();
                    if view.loaded && view.revision >= revision {
                        return;
                    }
                }
                self.kick.notify(usize::MAX);
                changed.await;
            }
        };
        within(limit, wait).await.is_some()
    }

    /// Waits until the view holds everything that was written before this call; false if that can't be had soon.
    pub async fn barrier(&self) -> bool {
        if !self.reachable() {
            return false;
        }
        let round = self.barrier.borrow().clone();
        self.barrier_wanted.notify(usize::MAX);
        let wait = async {
            loop {
                let done = round.event.listen();
                if let Some(good) = round.done.get() {
                    return good;
                }
                done.await;
            }
        };
        within(BARRIER_WITHIN, wait).await.unwrap_or(false)
    }

    /// The duty that serves read barriers, and tries the state service when nobody wants one.
    pub async fn serve_barriers(&self) {
        loop {
            let wanted = self.barrier_wanted.listen();
            let idle = async {
                sleep(PROBE_EVERY).await;
            };
            // Those who came while the last round was under way wait for this one already.
            if Rc::strong_count(&self.barrier.borrow()) == 1 {
                wanted.or(idle).await;
            }
            // Those who come from now on wait for the next round: this one's read may be older than they.
            let round = self.barrier.replace(Rc::default());
            let read = within(Micros::millis(800), self.state.get(Urgency::Now, NOTHING)).await;
            let good = match read {
                Some(Ok(Err(revision))) => {
                    self.note_answer();
                    self.caught_up(revision, Micros::millis(1_000)).await
                }
                Some(Ok(Ok(_))) => false,
                Some(Err(e)) => {
                    debug!("event=probe_failed error={e:?}");
                    false
                }
                None => false,
            };
            round.done.set(Some(good));
            round.event.notify(usize::MAX);
            sleep(self.pause).await;
        }
    }
}

#[cfg(test)]
mod tests;
