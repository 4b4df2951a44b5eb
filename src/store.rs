//! The cached view of the state service's keys, kept by a watch, and the read barrier.

mod keys;
mod records;
mod view;

pub use keys::{
    ABSENT_KEY, InvalidKey, LEADER, LOSS, MACHINE_TYPES, PREFIX, StoreKey, TERM, archive_key,
    candidate_key, chunk_key, contacts_key, end_key, images_key, job_key, provisioning_key,
};
pub use records::{
    ArchivedEnd, CandidateRecord, InvalidRecord, LeaderRecord, LossRecord, ProvisioningRecord,
    decode, encode,
};
pub use view::{ABORTED, JobStatus, Versioned, View, ViewChange};

use crate::clock::{Clock, sleep};
use crate::http::timeout;
use crate::kv::{Change, Event as KeyEvent, KvClient, KvError, Lookup, Urgency};
use crate::units::Micros;
use event_listener::Event;
use futures_lite::FutureExt;
use log::{debug, info, warn};
use ravenhead_recovery::Evidence;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How long a watch waits; short, so that one whose packets are held is soon replaced.
const WATCH_TIMEOUT: Micros = Micros::secs(3);
/// How often the state service is tried when nothing else tells whether it answers.
const PROBE_INTERVAL: Micros = Micros::secs(1);
/// How long a read barrier may take in all.
const BARRIER_TIMEOUT: Micros = Micros::millis(1_300);
/// After so long without an answer the state service counts as out of reach.
const UNREACHABLE_AFTER: Micros = Micros::millis(2_500);

/// One round of the read barrier, shared by all who wait for it.
#[derive(Default)]
struct BarrierGeneration {
    done: Cell<Option<bool>>,
    event: Event,
}

/// A loss of stored state that this controller found, until it is rebuilt.
pub struct Loss {
    /// The view as it was when the loss was found, if there was one.
    pub snapshot: Option<View>,
    /// When it was found.
    pub found_at: Micros,
}

impl Loss {
    /// Whether a view that was lost later was still without what this loss took away.
    fn is_of(&self, later: Option<&View>) -> bool {
        later.is_none_or(|view| view.losses() <= self.losses() || view.has_unfinished_rebuild())
    }

    /// The losses that were rebuilt before the snapshot.
    pub fn losses(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, View::losses)
    }

    /// The revision of the snapshot, 0 where there is none.
    pub fn revision(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |view| view.revision)
    }
}

/// A change that this controller committed and its view need not show yet.
struct OwnCommit {
    revision: u64,
    key: String,
    value: Value,
}

/// The cached view with the duties that keep it.
pub struct StateCache {
    state: Rc<KvClient>,
    clock: Clock,
    /// The view.
    pub view: RefCell<View>,
    /// Fires after every change of the view.
    pub changed: Event,
    /// What happened, kept only while somebody leads by it.
    seen: RefCell<Option<Vec<ViewChange>>>,
    /// Fires when there is something for [`StateCache::take_changes`].
    pub change_notifications: Event,
    pause: Micros,
    watch_now: Event,
    barrier: RefCell<Rc<BarrierGeneration>>,
    barrier_wanted: Event,
    answered: Cell<Micros>,
    /// The loss that is being rebuilt.
    pub loss: RefCell<Option<Loss>>,
    /// Losses found by this process.
    losses_found: Cell<u64>,
    own_commits: RefCell<Vec<OwnCommit>>,
}

impl StateCache {
    /// An empty view; `pause` is how long changes gather before the next watch.
    pub fn new(state: Rc<KvClient>, clock: Clock, pause: Micros) -> StateCache {
        StateCache {
            state,
            clock,
            view: RefCell::default(),
            changed: Event::new(),
            seen: RefCell::default(),
            change_notifications: Event::new(),
            pause,
            watch_now: Event::new(),
            barrier: RefCell::default(),
            barrier_wanted: Event::new(),
            answered: Cell::new(clock.now()),
            loss: RefCell::default(),
            losses_found: Cell::new(0),
            own_commits: RefCell::default(),
        }
    }

    /// How many losses of stored state this process found.
    pub fn losses_found(&self) -> u64 {
        self.losses_found.get()
    }

    /// Whether stored state was lost and is not there again, as far as this controller knows; or nothing was ever written.
    pub fn is_rebuilding(&self) -> bool {
        let view = self.view.borrow();
        let is_lost =
            self.loss.borrow().is_some() || view.has_unfinished_rebuild() || !view.has_had_leader();
        self.state.detects_loss() && is_lost
    }

    /// This controller committed changes at this revision.
    ///
    /// Guards against a job that was accepted or cancelled, or a task that finished, right before a loss, so that no view
    /// shows it.
    pub fn record_commits(&self, revision: u64, changes: &[Change]) {
        if !self.state.detects_loss() {
            return;
        }
        let shown = self.view.borrow().revision;
        let mut commits = self.own_commits.borrow_mut();
        commits.retain(|c| c.revision > shown);
        let puts = changes.iter().filter_map(|change| match change {
            Change::Put { key, value, .. } => Some(OwnCommit {
                revision,
                key: key.clone(),
                value: value.clone(),
            }),
            Change::Delete { .. } => None,
        });
        commits.extend(puts);
    }

    /// Keeps the view as it is to rebuild from, and begins a new one with what is there now.
    fn begin_rebuild(&self, evidence: &Evidence) {
        let mut lost = self.view.take();
        for commit in self.own_commits.take() {
            if commit.revision > lost.revision {
                // It was taken by the state service, so it can be read.
                let _ = lost.put(&commit.key, commit.value, commit.revision);
            }
        }
        let snapshot = lost.loaded.then_some(lost);
        warn!(
            "event=state_lost evidence={:?} snapshot_revision={}",
            evidence.to_string(),
            snapshot.as_ref().map_or(0, |view| view.revision)
        );
        self.losses_found.set(self.losses_found.get() + 1);
        let before = self.loss.take();
        let has_unfinished_rebuild = before.as_ref().is_some_and(|b| b.is_of(snapshot.as_ref()));
        let snapshot = match before
            .and_then(|b| b.snapshot)
            .filter(|_| has_unfinished_rebuild)
        {
            // What was lost once more before it was there again adds to the snapshot from before.
            Some(mut earlier) => {
                earlier.merge_missing(snapshot.unwrap_or_default());
                Some(earlier)
            }
            None => snapshot,
        };
        self.loss.replace(Some(Loss {
            snapshot,
            found_at: self.clock.now(),
        }));
        self.changed.notify(usize::MAX);
    }

    /// Whether the state service answered lately.
    pub fn reachable(&self) -> bool {
        self.clock.now().since(self.answered.get()) < UNREACHABLE_AFTER
    }

    /// As if the state service had not answered for long.
    #[cfg(test)]
    pub fn mark_unreachable_for_test(&self) {
        self.answered.set(Micros::ZERO);
    }

    /// The state service answered something just now.
    pub fn mark_reachable(&self) {
        self.answered.set(self.clock.now());
    }

    /// Begins or ends the keeping of what happens for [`StateCache::take_changes`].
    ///
    /// Guards against a follower keeping all that it ever saw, and against a new leader taking old signs of life for
    /// new ones.
    pub fn record_changes(&self, keep: bool) {
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
                debug!("event=view_load_failed error={e:?}");
                sleep(Micros::millis(300)).await;
                continue;
            }
            self.follow_changes()
                .or(self.state.wait_for_evidence())
                .await;
            if let Some(evidence) = self.state.take_evidence() {
                self.begin_rebuild(&evidence);
            }
        }
    }

    async fn load(&self) -> Result<(), KvError> {
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
                    Err(e) => warn!(
                        "event=invalid_record key={} error={:?}",
                        item.key,
                        e.to_string()
                    ),
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
        self.mark_reachable();
        self.view.replace(fresh);
        self.publish(seen);
        Ok(())
    }

    /// Returns when the view must be filled anew.
    async fn follow_changes(&self) {
        loop {
            let from = self.view.borrow().revision;
            match self.state.watch(PREFIX, from, WATCH_TIMEOUT).await {
                Ok(news) => {
                    self.mark_reachable();
                    let any = !news.events.is_empty();
                    self.apply(news.revision, news.events);
                    if any {
                        let watch_now = self.watch_now.listen();
                        let pause = async {
                            sleep(self.pause).await;
                        };
                        pause.or(watch_now).await;
                    }
                }
                Err(KvError::TooOld) => return,
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
                    Err(e) => warn!("event=invalid_record key={key} error={:?}", e.to_string()),
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
            self.change_notifications.notify(usize::MAX);
        }
        self.changed.notify(usize::MAX);
    }

    /// Waits until the view holds at least this revision.
    pub async fn wait_for_revision(&self, revision: u64, limit: Micros) -> bool {
        let wait = async {
            loop {
                let changed = self.changed.listen();
                {
                    let view = self.view.borrow();
                    if view.loaded && view.revision >= revision {
                        return;
                    }
                }
                self.watch_now.notify(usize::MAX);
                changed.await;
            }
        };
        timeout(limit, wait).await.is_some()
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
        timeout(BARRIER_TIMEOUT, wait).await.unwrap_or(false)
    }

    /// The duty that serves read barriers, and tries the state service when nobody wants one.
    pub async fn serve_barriers(&self) {
        loop {
            let wanted = self.barrier_wanted.listen();
            let idle = async {
                sleep(PROBE_INTERVAL).await;
            };
            // Those who came while the last scheduling cycle was under way wait for this one already.
            if Rc::strong_count(&self.barrier.borrow()) == 1 {
                wanted.or(idle).await;
            }
            // Those who come from now on wait for the next scheduling cycle: this one's read may be older than they.
            let round = self.barrier.replace(Rc::default());
            let read = timeout(
                Micros::millis(800),
                self.state.lookup(Urgency::Now, ABSENT_KEY),
            )
            .await;
            let good = match read {
                Some(Ok(Lookup::Absent { revision })) => {
                    self.mark_reachable();
                    self.wait_for_revision(revision, Micros::millis(1_000))
                        .await
                }
                Some(Ok(Lookup::Found(_))) => false,
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
