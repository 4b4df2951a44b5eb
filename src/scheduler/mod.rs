//! The pure core: events and a time go in, writes, orders and fleet wishes come out.
//!
//! It has no I/O, no clock and no randomness of its own. What may be told to workers follows from what the
//! controller reports as written: a start is given out only after its placement was, a `clear` only after the finish.

mod boots;
mod fair;
mod fleet;
mod fold;
mod model;
mod offers;
mod preempt;
mod quota;
mod reports;
mod silence;
#[cfg(test)]
mod stories;

pub use fleet::{FleetPlan, Pool, Want};
pub use model::*;

use crate::units::{Micros, Room};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::rc::Rc;

/// What operators and platform settle for the scheduler.
#[derive(Debug, Clone)]
pub struct Knobs {
    /// Interval at which waiting jobs are offered again.
    pub retry: Micros,
    /// Most that is added to it at random.
    pub jitter: Micros,
    /// How long an empty machine is kept; none: an eighth of the time another would take to boot.
    pub idle: Option<Micros>,
    /// Free places kept for classes that can't wait for a boot; none: derived from their arrivals.
    pub reserve: Option<u32>,
    /// Most offers in one round; beyond, samples of machines are asked.
    pub offers_per_round: usize,
    /// Most machines rented in one round.
    pub rent_per_round: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Interval of reports.
    pub report: Micros,
    /// How long workers live without an answer.
    pub lease: Micros,
    /// Time for a cancellation.
    pub cancel: Micros,
    /// How old the machine list may be.
    pub list_lag: Micros,
    /// Classes whose tasks are to start within a time, and that time.
    pub wait_within: BTreeMap<String, Micros>,
    /// Whether work within a guarantee is to start within a time.
    pub guarantee_within: Option<Micros>,
}

/// A team's guarantee and limit; `None` where there is none.
#[derive(Debug, Clone, Default)]
pub struct TeamShare {
    /// Guaranteed processors and accelerators.
    pub guaranteed: [Option<i64>; 2],
    /// Most processors and accelerators.
    pub most: [Option<i64>; 2],
}

/// Something to be written down, conditional on the leader key.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// A chunk's record.
    Chunk {
        /// The job.
        job: JobId,
        /// The chunk's number.
        chunk: u32,
        /// Its record.
        record: ChunkRecord,
        /// The version that it replaces.
        version: u64,
        /// Whether tasks are newly placed by it, so that the job must not be over.
        places: bool,
    },
    /// The end of a job whose tasks are all finished.
    Done {
        /// The job.
        job: JobId,
        /// Its number of tasks.
        tasks: u32,
    },
    /// The end of a job of one chunk with its last finishes, which leaves nothing else of it.
    Whole {
        /// The job.
        job: JobId,
        /// Its number of tasks.
        tasks: u32,
        /// The version of its chunk, which goes.
        version: u64,
    },
    /// The images that a machine has, for the next leader; none: the machine is gone.
    Images {
        /// The machine.
        machine: MachineId,
        /// Its images with their sizes.
        images: Option<Vec<CachedImage>>,
    },
    /// Removal of the records of a job that is over and has no task left.
    Forget {
        /// The job.
        job: JobId,
        /// Its chunks with their versions.
        chunks: Vec<(u32, u64)>,
        /// Whether these are the last ones, so that the submission's record goes as well.
        whole: bool,
    },
}

impl Write {
    /// How many puts and deletes it takes.
    pub fn ops(&self) -> usize {
        match self {
            Write::Chunk { .. } | Write::Done { .. } | Write::Images { .. } => 1,
            Write::Whole { version, .. } => 2 + usize::from(*version > 0),
            Write::Forget { chunks, whole, .. } => chunks.len() + usize::from(*whole),
        }
    }

    /// The job it concerns, if any.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Write::Chunk { job, .. }
            | Write::Done { job, .. }
            | Write::Whole { job, .. }
            | Write::Forget { job, .. } => Some(job),
            Write::Images { .. } => None,
        }
    }
}

/// Another controller, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Controller {
    /// Its name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Whether it answered lately.
    pub answers: bool,
}

/// Most changes of one write, those that remove records aside.
const MOST_OPS: usize = 3;
/// Where writes are short, finishes wait so long for others of their job.
const FINISHES_WAIT: Micros = Micros::secs(10);
/// Machines whose images go into one batch.
const IMAGES_PER_BATCH: usize = 4;
/// Names of machines that are gone, of which late reports and lists may still speak.
const GONE_KEPT: usize = 20_000;

/// The scheduler of one leader, for the time of its token.
pub struct Scheduler {
    knobs: Knobs,
    token: u64,
    began: Micros,
    /// The time of the latest report or round.
    latest: Micros,
    /// The time of day, in microseconds, as of the last plan of the fleet.
    wall: u64,
    rng: fastrand::Rng,
    teams: BTreeMap<String, TeamShare>,
    flavors: BTreeMap<String, Flavor>,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<MachineId, Machine>,
    team_used: BTreeMap<String, Room>,
    /// Jobs within their team's guarantee, as of the last round.
    guaranteed: HashSet<JobId>,
    /// What work without accelerators leaves for each free one, by its priority, as of the last round.
    beside_a_card: BTreeMap<Priority, Room>,
    /// Chunks to be written, those of the highest priority first.
    dirty: BTreeSet<(Reverse<Priority>, JobId, u32)>,
    finished: BTreeSet<JobId>,
    over: BTreeSet<JobId>,
    /// Machines whose images are to be written down.
    new_images: BTreeSet<MachineId>,
    /// Images of machines that have not reported to this leader yet.
    known_images: BTreeMap<MachineId, Vec<CachedImage>>,
    gone: HashSet<MachineId>,
    gone_order: VecDeque<MachineId>,
    boots: boots::Boots,
    fleet: fleet::Fleet,
    fold: fold::Fold,
    fair: fair::Fair,
    touch: silence::Touch,
    notes: Vec<String>,
    details: Vec<String>,
    /// Offers made in the last round, for bounding and for tests.
    pub offers_made: usize,
}

impl Scheduler {
    /// A scheduler that knows nothing yet.
    pub fn new(
        knobs: Knobs,
        teams: BTreeMap<String, TeamShare>,
        token: u64,
        seed: u64,
        now: Micros,
    ) -> Scheduler {
        Scheduler {
            knobs,
            token,
            began: now,
            latest: now,
            wall: 0,
            rng: fastrand::Rng::with_seed(seed),
            teams,
            flavors: BTreeMap::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            team_used: BTreeMap::new(),
            guaranteed: HashSet::new(),
            beside_a_card: BTreeMap::new(),
            dirty: BTreeSet::new(),
            finished: BTreeSet::new(),
            over: BTreeSet::new(),
            new_images: BTreeSet::new(),
            known_images: BTreeMap::new(),
            gone: HashSet::new(),
            gone_order: VecDeque::new(),
            boots: boots::Boots::default(),
            fleet: fleet::Fleet::default(),
            fold: fold::Fold::default(),
            fair: fair::Fair::default(),
            touch: silence::Touch::default(),
            notes: Vec::new(),
            details: Vec::new(),
            offers_made: 0,
        }
    }

    /// The token under which it decides.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// What happened since the last call, in words for the log: for the people on call, and in detail.
    pub fn take_notes(&mut self) -> (Vec<String>, Vec<String>) {
        (
            std::mem::take(&mut self.notes),
            std::mem::take(&mut self.details),
        )
    }

    /// The machine types as the cloud tells them now.
    pub fn set_flavors(&mut self, flavors: &[Flavor]) {
        self.flavors = flavors
            .iter()
            .map(|f| (f.name.clone(), f.clone()))
            .collect();
        for machine in self.machines.values_mut() {
            if let Some(flavor) = self.flavors.get(&machine.rig) {
                machine.total = flavor.room();
            }
        }
    }

    /// A job, new or inherited with what was written of its run.
    pub fn add_job(
        &mut self,
        record: &JobRecord,
        end: Option<End>,
        chunks: impl Iterator<Item = (u32, ChunkRecord, u64)>,
        now: Micros,
    ) {
        let id = record.spec.id.clone();
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = Job::new(record.spec.clone(), record.at, end, now);
        let mut placed = Vec::new();
        for (number, record, version) in chunks {
            let chunk = Chunk::inherit(&record, version);
            job.done += chunk.finished.count_ones();
            for (i, p) in &chunk.live {
                placed.push((number * CHUNK + u32::from(*i), p.machine.clone()));
            }
            job.chunks.insert(number, chunk);
        }
        let all_done = job.done == job.spec.tasks;
        self.jobs.insert(id.clone(), job);
        for (index, machine) in placed {
            self.hold(&id, index, &machine, now);
        }
        if all_done && end.is_none() {
            self.finished.insert(id.clone());
        }
        self.check_over(&id);
    }

    /// A job was ended, by its user or by this leader.
    pub fn end_job(&mut self, id: &JobId, end: End) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.end.is_some() {
            return;
        }
        job.end = Some(end);
        job.ending = true;
        self.finished.remove(id);
        self.drop_unwritten(id);
        self.check_over(id);
    }

    /// A commit found the job over already: nothing of it may be started, though how it ended is not known yet.
    pub fn job_is_over(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ending = true;
            self.finished.remove(id);
            self.drop_unwritten(id);
        }
    }

    /// Takes back placements whose start can't have been sent, as they were not written.
    fn drop_unwritten(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let unwritten: Vec<u32> = live_tasks(job)
            .filter(|(_, p)| !p.committed)
            .map(|(index, _)| index)
            .collect();
        for index in unwritten {
            self.release(id, index);
        }
    }

    /// Counts a task in on a machine, whose placement stands in its chunk already.
    fn hold(&mut self, id: &JobId, index: u32, machine: &MachineId, now: Micros) {
        let began = self.began.max(now);
        let m = self
            .machines
            .entry(machine.clone())
            .or_insert_with(|| unknown_machine(began));
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let need = job.spec.need();
        job.live += 1;
        *job.live_in.entry(m.zone.clone()).or_default() += 1;
        *self.team_used.entry(job.spec.team.clone()).or_default() += need;
        m.used += need;
        m.idle_since = None;
        let task = TaskId {
            job: id.clone(),
            index,
        };
        m.held.insert(task, need);
    }

    /// Takes a placement out, because its task is proven to be off its machine or was never sent there.
    fn release(&mut self, id: &JobId, index: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(chunk) = job.chunks.get_mut(&(index / CHUNK)) else {
            return;
        };
        let Some(placement) = chunk.live.remove(&((index % CHUNK) as u8)) else {
            return;
        };
        let need = job.spec.need();
        job.live -= 1;
        if let Some(used) = self.team_used.get_mut(&job.spec.team) {
            *used -= need;
        }
        if let Some(m) = self.machines.get_mut(&placement.machine) {
            if let Some(n) = job.live_in.get_mut(&m.zone) {
                *n = n.saturating_sub(1);
            }
            m.used -= need;
            m.held.remove(&TaskId {
                job: id.clone(),
                index,
            });
        }
        self.note_change(id, index / CHUNK);
        if placement.stopping == Some(StopReason::Preempted) {
            self.wake_claimants(&placement.machine);
        }
        self.check_over(id);
    }

    /// Makes the jobs due for which room was made on a machine, so that no other takes it first.
    fn wake_claimants(&mut self, machine: &MachineId) {
        for job in self.jobs.values_mut() {
            if job.claims.iter().any(|(m, _)| m == machine) {
                job.next_try = Micros::ZERO;
            }
        }
    }

    /// Notes a task's completion.
    fn finish(&mut self, id: &JobId, index: u32) {
        self.release(id, index);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.is_finished(index) || job.spec.shape == Shape::Service {
            return;
        }
        let chunk = job.chunks.entry(index / CHUNK).or_default();
        chunk.finished |= 1 << (index % CHUNK);
        job.done += 1;
        job.failures = 0;
        if job.done == job.spec.tasks && !job.ending {
            self.finished.insert(id.clone());
        }
        self.note_change(id, index / CHUNK);
    }

    /// Something changed in a chunk.
    ///
    /// Guards against the chunks of a job of tens of thousands of tasks going before a critical task's, because its name
    /// comes first.
    fn note_change(&mut self, id: &JobId, number: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(chunk) = job.chunks.get_mut(&number) {
            if !chunk.dirty {
                chunk.changed_at = self.latest;
            }
            chunk.dirty = true;
            let place = (Reverse(job.spec.priority), id.clone(), number);
            self.dirty.insert(place);
        }
    }

    fn check_over(&mut self, id: &JobId) {
        if self
            .jobs
            .get(id)
            .is_some_and(|j| j.end.is_some() && j.live == 0)
        {
            self.over.insert(id.clone());
        }
    }

    /// What is to be written next, at most `ops` puts and deletes and about `bytes`; where writes are `short` only what
    /// users and workers wait for.
    ///
    /// Only one batch may be under way: its outcome must be told before the next is asked for.
    pub fn next_batch(&mut self, ops: usize, bytes: usize, short: bool) -> Vec<Write> {
        let mut batch = Vec::new();
        let mut left = ops;
        let mut size = 0;
        let mut later = Vec::new();
        while left >= MOST_OPS && size < bytes {
            let Some(place) = self.dirty.pop_first() else {
                break;
            };
            if short && self.can_wait(&place.1, place.2) {
                later.push(place);
                continue;
            }
            let (_, id, number) = place;
            if let Some(whole) = self.whole_end(&id) {
                left -= whole.ops();
                batch.push(whole);
                continue;
            }
            let Some(chunk) = self
                .jobs
                .get_mut(&id)
                .and_then(|j| j.chunks.get_mut(&number))
            else {
                continue;
            };
            if !chunk.dirty {
                continue;
            }
            chunk.dirty = false;
            let record = chunk.record();
            size += 200 + record.live.len() * 40;
            left -= 1;
            batch.push(Write::Chunk {
                places: chunk.live.values().any(|p| !p.committed),
                job: id,
                chunk: number,
                record,
                version: chunk.version,
            });
        }
        self.dirty.extend(later);
        self.add_ends(&mut batch, &mut left);
        if short {
            return batch;
        }
        self.add_images(&mut batch, &mut left);
        if batch.is_empty() {
            self.add_forgets(&mut batch, left);
        }
        batch
    }

    /// Whether nobody waits for a chunk's changes: its job goes on, nothing is newly placed, and it changed just now.
    ///
    /// Guards against the finishes of many short tasks, each written by itself, that use up the writes for which starts
    /// wait. What is not written yet still stands in the workers' reports, as it is not cleared before.
    fn can_wait(&self, id: &JobId, number: u32) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(chunk) = job.chunks.get(&number) else {
            return false;
        };
        !job.ending
            && job.done < job.spec.tasks
            && chunk.live.values().all(|p| p.committed)
            && self.latest.since(chunk.changed_at) < FINISHES_WAIT
    }

    /// The end of a job of one chunk whose tasks are all finished, with nothing left of it: three changes in place of five,
    /// as users may submit jobs of one task by the thousand.
    fn whole_end(&mut self, id: &JobId) -> Option<Write> {
        let job = self.jobs.get_mut(id)?;
        let finished = job.done == job.spec.tasks && job.live == 0;
        if !finished || job.ending || job.spec.tasks > CHUNK {
            return None;
        }
        let chunk = job.chunks.get_mut(&0).filter(|c| c.dirty)?;
        chunk.dirty = false;
        job.ending = true;
        Some(Write::Whole {
            job: id.clone(),
            tasks: job.spec.tasks,
            version: chunk.version,
        })
    }

    /// Images seen on machines, a few at a time as they matter least.
    fn add_images(&mut self, batch: &mut Vec<Write>, left: &mut usize) {
        let mut room = IMAGES_PER_BATCH.min(*left);
        while room > 0 {
            let Some(machine) = self.new_images.pop_first() else {
                return;
            };
            let images = match self.machines.get_mut(&machine) {
                Some(m) if m.images_are_written() => continue,
                Some(m) => {
                    m.written_images = m.image_names();
                    Some(m.images.clone())
                }
                None => None,
            };
            room -= 1;
            *left -= 1;
            batch.push(Write::Images { machine, images });
        }
    }

    /// What an earlier leader knew of a machine's images.
    pub fn inherit_images(&mut self, machine: &MachineId, images: &[CachedImage]) {
        self.known_images.insert(machine.clone(), images.to_vec());
    }

    /// Ends of jobs whose every finish is written.
    fn add_ends(&mut self, batch: &mut Vec<Write>, left: &mut usize) {
        for id in &self.finished {
            if *left == 0 {
                return;
            }
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let written: u32 = job
                .chunks
                .values()
                .map(|c| c.finished_committed.count_ones())
                .sum();
            if !job.ending && written == job.spec.tasks {
                job.ending = true;
                *left -= 1;
                batch.push(Write::Done {
                    job: id.clone(),
                    tasks: job.spec.tasks,
                });
            }
        }
    }

    /// Removal of what nobody needs any more, when there is nothing else to write.
    fn add_forgets(&mut self, batch: &mut Vec<Write>, ops: usize) {
        let mut left = ops;
        for id in &self.over {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let mut chunks: Vec<(u32, u64)> = job
                .chunks
                .iter()
                .filter(|(_, c)| c.version > 0)
                .map(|(n, c)| (*n, c.version))
                .collect();
            // A large job's chunks go in several steps; its own record goes last.
            let whole = chunks.len() < ops;
            chunks.truncate(ops.saturating_sub(1));
            let write = Write::Forget {
                job: id.clone(),
                chunks,
                whole,
            };
            if write.ops() > left {
                return;
            }
            left -= write.ops();
            batch.push(write);
        }
    }

    /// A batch was applied at this revision.
    pub fn batch_applied(&mut self, batch: &[Write], version: u64) {
        for write in batch {
            match write {
                Write::Chunk {
                    job, chunk, record, ..
                } => self.chunk_applied(job, *chunk, record, version),
                Write::Done { job, .. } => {
                    self.finished.remove(job);
                }
                Write::Whole { job, .. } => {
                    self.finished.remove(job);
                    self.forget_applied(job, &[], true);
                }
                Write::Images { .. } => {}
                Write::Forget { job, chunks, whole } => self.forget_applied(job, chunks, *whole),
            }
        }
    }

    fn chunk_applied(&mut self, id: &JobId, number: u32, record: &ChunkRecord, version: u64) {
        let Some(chunk) = self
            .jobs
            .get_mut(id)
            .and_then(|j| j.chunks.get_mut(&number))
        else {
            return;
        };
        chunk.version = version;
        chunk.finished_committed = record.finished;
        for (i, _, attempt) in &record.live {
            if let Some(p) = chunk.live.get_mut(i)
                && p.attempt == *attempt
            {
                p.committed = true;
            }
        }
    }

    fn forget_applied(&mut self, id: &JobId, chunks: &[(u32, u64)], whole: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for (number, _) in chunks {
            job.chunks.remove(number);
        }
        if whole {
            self.jobs.remove(id);
            self.over.remove(id);
            self.dirty.retain(|(_, job, _)| job != id);
        }
    }

    /// A batch was certainly not applied.
    pub fn batch_dropped(&mut self, batch: &[Write]) {
        for write in batch {
            match write {
                Write::Chunk { job, chunk, .. } => {
                    self.note_change(job, *chunk);
                }
                Write::Whole { job, .. } => {
                    if let Some(j) = self.jobs.get_mut(job) {
                        j.ending = j.end.is_some();
                    }
                    self.note_change(job, 0);
                }
                Write::Done { job, .. } => {
                    if let Some(j) = self.jobs.get_mut(job) {
                        j.ending = j.end.is_some();
                    }
                }
                Write::Images { machine, .. } => {
                    if let Some(m) = self.machines.get_mut(machine) {
                        m.written_images.clear();
                    }
                    self.new_images.insert(machine.clone());
                }
                Write::Forget { .. } => {}
            }
        }
    }
}

/// The tasks of a job that may be on machines.
fn live_tasks(job: &Job) -> impl Iterator<Item = (u32, &Placement)> {
    job.chunks.iter().flat_map(|(number, chunk)| {
        chunk
            .live
            .iter()
            .map(move |(i, p)| (number * CHUNK + u32::from(*i), p))
    })
}

/// A machine of which only the name is known.
fn unknown_machine(now: Micros) -> Machine {
    Machine {
        rig: String::new(),
        zone: String::new(),
        spot: false,
        total: Room::default(),
        used: Room::default(),
        held: BTreeMap::new(),
        extra: BTreeMap::new(),
        exited: Vec::new(),
        life: Life::Booting,
        since: now,
        newest: None,
        heard_at: now,
        notice: None,
        listed_at: None,
        listed_running: false,
        lost: false,
        images: Vec::new(),
        written_images: BTreeSet::new(),
        failed_jobs: BTreeSet::new(),
        idle_since: None,
        excused_at: Micros::ZERO,
        reported_at: now,
        in_touch: false,
        folding: false,
        via: String::new(),
        rented_now: false,
        unheeded: 0,
        unheeded_at: Micros::ZERO,
        asked: Vec::new(),
    }
}

/// The spec of a job by its id.
fn spec_of(jobs: &BTreeMap<JobId, Job>, id: &JobId) -> Option<Rc<JobSpec>> {
    jobs.get(id).map(|j| j.spec.clone())
}
