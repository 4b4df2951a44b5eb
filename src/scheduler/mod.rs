//! The pure core: events and a time go in, writes, commands and fleet plans come out.
//!
//! It has no I/O, no clock and no randomness of its own. Which commands workers get follows from what the
//! controller reports as written: a start is given out only after its placement was, a `clear` only after the finish.

mod candidates;
mod commands;
mod consolidation;
mod events;
mod failure_attribution;
mod failure_detection;
mod fair_share;
mod fleet;
mod heartbeats;
mod job;
mod job_index;
mod job_spec;
mod machine;
mod machine_type;
mod messages;
mod offers;
mod preemption;
mod provisioning_times;
mod quota;
mod rebuild;
mod reconciliation;
mod records;
mod recovery;
mod reserve;
mod scale_out;
#[cfg(test)]
mod scenarios;
mod writes;

pub use crate::ids::{JobId, MachineId, TaskId};
pub use events::{EventLevel, SchedulerEvent};
pub use failure_detection::LossCause;
pub use fleet::{FleetPlan, Pool, ScaleOutRequest};
pub use job::{Chunk, Job, Placement, StopReason};
pub use job_spec::{InvalidSubmission, JobSpec, MAX_TASKS, Priority, Shape};
pub use machine::{CachedImage, ExpectedEffect, Machine, MachineState};
pub use machine_type::MachineType;
pub use messages::{AgentCommand, ExitCause, Heartbeat, TaskState, TaskStatus};
pub use records::{CHUNK_SIZE, ChunkRecord, JobEnd, JobOutcome, JobRecord};

pub use writes::Write;

use crate::fencing::FencingToken;
use crate::revision::Revision;
use crate::units::{Micros, Resources};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::rc::Rc;

/// The settings of operators and platform that the scheduler uses.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    /// Interval at which waiting jobs are offered again.
    pub retry: Micros,
    /// Maximum of the random time added to it.
    pub jitter: Micros,
    /// How long an empty machine is kept; none: an eighth of the time another would take to boot.
    pub idle: Option<Micros>,
    /// Free places kept for classes that can't wait for a boot; none: derived from their arrivals.
    pub reserve: Option<u32>,
    /// Maximum of offers in one scheduling cycle; beyond, jobs are offered to samples of machines.
    pub max_offers_per_cycle: usize,
    /// Maximum of machines provisioned in one scheduling cycle.
    pub max_scale_out_per_cycle: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Interval of heartbeats.
    pub heartbeat_interval: Micros,
    /// Lease of workers: how long they run tasks without an answer.
    pub lease: Micros,
    /// Time within which a cancelled task must have stopped.
    pub cancel: Micros,
    /// How old the machine list may be.
    pub list_lag: Micros,
    /// Classes whose tasks are to start within a time, and that time.
    pub wait_within: BTreeMap<String, Micros>,
    /// Whether the progress of a new leader's recovery is logged.
    pub recovery_report: bool,
    /// Whether work within a guarantee is to start within a time.
    pub guarantee_within: Option<Micros>,
}

/// A team's guarantee and limit; `None` where there is none.
#[derive(Debug, Clone, Default)]
pub struct TeamQuota {
    /// Guaranteed processors and accelerators.
    pub guarantee: [Option<i64>; 2],
    /// Maximum of processors and accelerators.
    pub limit: [Option<i64>; 2],
}

/// Another controller, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControllerStatus {
    /// Its name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Whether it answered lately.
    pub is_reachable: bool,
}

/// The scheduler of one leader term.
pub struct Scheduler {
    config: SchedulerConfig,
    token: FencingToken,
    started_at: Micros,
    /// The time of the latest heartbeat or scheduling cycle.
    latest: Micros,
    /// Lower bound of new attempts.
    min_attempt: u64,
    /// The time of day, in microseconds, as of the last plan of the fleet.
    unix_time: u64,
    rng: fastrand::Rng,
    teams: BTreeMap<String, TeamQuota>,
    machine_types: BTreeMap<String, MachineType>,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<MachineId, Machine>,
    team_used: BTreeMap<String, Resources>,
    /// Which jobs are within their team's guarantee, as of the last scheduling cycle.
    guarantees: quota::Guarantees,
    /// Which jobs and tasks a scheduling cycle must examine.
    job_index: job_index::JobIndex,
    /// What work without accelerators leaves for each free one, by its priority, as of the last scheduling cycle.
    accelerator_headroom: BTreeMap<Priority, Resources>,
    /// Chunks to be written, those of the highest priority first.
    dirty: BTreeSet<writes::QueuedChunk>,
    /// Chunks whose changes wait for others of their job, as writes are short.
    deferred: writes::DeferredChunks,
    finished: BTreeSet<JobId>,
    terminal: BTreeSet<JobId>,
    /// Machines whose images are to be written down.
    new_images: BTreeSet<MachineId>,
    /// Images of machines that have not reported to this leader yet.
    known_images: BTreeMap<MachineId, Vec<CachedImage>>,
    terminated: HashSet<MachineId>,
    terminated_order: VecDeque<MachineId>,
    provisioning_times: provisioning_times::ProvisioningTimes,
    fleet: fleet::Fleet,
    demand: reserve::Demand,
    consolidation: consolidation::Consolidation,
    fair_share: fair_share::FairShare,
    failure_detector: failure_detection::FailureDetector,
    recovery: Option<recovery::Recovery>,
    rebuild: Option<rebuild::Rebuild>,
    /// What is to be logged, as it happened.
    events: Vec<SchedulerEvent>,
    /// Offers made in the last scheduling cycle, for bounding and for tests.
    pub offers_made: usize,
    /// Steps of loops over machines, jobs and tasks so far, for tests that bound the work.
    steps: Cell<u64>,
}

impl Scheduler {
    /// A scheduler that knows nothing yet.
    pub fn new(
        config: SchedulerConfig,
        teams: BTreeMap<String, TeamQuota>,
        token: FencingToken,
        seed: u64,
        now: Micros,
    ) -> Scheduler {
        Scheduler {
            config,
            token,
            started_at: now,
            latest: now,
            min_attempt: 0,
            unix_time: 0,
            rng: fastrand::Rng::with_seed(seed),
            teams,
            machine_types: BTreeMap::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            team_used: BTreeMap::new(),
            guarantees: quota::Guarantees::default(),
            job_index: job_index::JobIndex::default(),
            accelerator_headroom: BTreeMap::new(),
            dirty: BTreeSet::new(),
            deferred: writes::DeferredChunks::default(),
            finished: BTreeSet::new(),
            terminal: BTreeSet::new(),
            new_images: BTreeSet::new(),
            known_images: BTreeMap::new(),
            terminated: HashSet::new(),
            terminated_order: VecDeque::new(),
            provisioning_times: provisioning_times::ProvisioningTimes::default(),
            fleet: fleet::Fleet::default(),
            demand: reserve::Demand::default(),
            consolidation: consolidation::Consolidation::default(),
            fair_share: fair_share::FairShare::default(),
            failure_detector: failure_detection::FailureDetector::default(),
            recovery: None,
            rebuild: None,
            events: Vec::new(),
            offers_made: 0,
            steps: Cell::new(0),
        }
    }

    /// The fencing token of the leader term.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns what happened since the last call and is to be logged: by level, and within one as it happened.
    pub fn take_events(&mut self) -> Vec<SchedulerEvent> {
        let mut events = std::mem::take(&mut self.events);
        events.sort_by_key(SchedulerEvent::level);
        events
    }

    /// Steps of loops over machines, jobs and tasks so far, offers and searches included.
    pub fn steps(&self) -> u64 {
        self.steps.get() + self.offers_made as u64
    }

    /// A loop goes over so many machines, jobs or tasks.
    fn count_steps(&self, n: usize) {
        self.steps.set(self.steps.get() + n as u64);
    }

    /// Takes in the machine types that the cloud offers now.
    pub fn set_machine_types(&mut self, machine_types: &[MachineType]) {
        self.machine_types = machine_types
            .iter()
            .map(|f| (f.name.clone(), f.clone()))
            .collect();
        for machine in self.machines.values_mut() {
            if let Some(machine_type) = self.machine_types.get(&machine.machine_type) {
                machine.total = machine_type.resources();
            }
        }
    }

    /// Adds a job, new or inherited with what was written of its run.
    pub fn add_job(
        &mut self,
        record: &JobRecord,
        end: Option<JobEnd>,
        chunks: impl Iterator<Item = (u32, ChunkRecord, Revision)>,
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
                placed.push((number * CHUNK_SIZE + u32::from(*i), p.machine.clone()));
            }
            job.chunks.insert(number, chunk);
        }
        let all_done = job.done == job.spec.tasks;
        self.guarantees.add(&job);
        self.jobs.insert(id.clone(), job);
        self.update_waiting(&id);
        for (index, machine) in placed {
            self.reserve_on_machine(&id, index, &machine, now);
        }
        if all_done && end.is_none() {
            self.finished.insert(id.clone());
        }
        self.check_terminal(&id);
    }

    /// Ends a job, for its user or by this leader's decision.
    pub fn end_job(&mut self, id: &JobId, end: JobEnd) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.end.is_some() {
            return;
        }
        job.end = Some(end);
        job.ending = true;
        self.guarantees.mark_stale(&job.spec.team);
        self.finished.remove(id);
        self.update_waiting(id);
        self.drop_unwritten(id);
        self.check_terminal(id);
    }

    /// A commit found that the job had ended: nothing of it may be started, though its outcome is not known yet.
    pub fn on_job_ended_elsewhere(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ending = true;
            self.guarantees.mark_stale(&job.spec.team);
            self.finished.remove(id);
            self.update_waiting(id);
            self.drop_unwritten(id);
        }
    }

    /// The number of a job's waiting tasks may have changed.
    fn update_waiting(&mut self, id: &JobId) {
        match self.jobs.get(id) {
            Some(job) => self.job_index.update_waiting(job),
            None => self.job_index.forget(id),
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

    /// Reserves a machine's resources for a task whose placement is in its chunk already.
    fn reserve_on_machine(&mut self, id: &JobId, index: u32, machine: &MachineId, now: Micros) {
        let known_since = self.started_at.max(now);
        let m = self
            .machines
            .entry(machine.clone())
            .or_insert_with(|| Machine::unknown(known_since));
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let need = job.spec.need();
        let priority = job.spec.priority;
        job.live += 1;
        self.job_index.update_waiting(job);
        *job.live_by_zone.entry(m.zone.clone()).or_default() += 1;
        *self.team_used.entry(job.spec.team.clone()).or_default() += need;
        m.idle_since = None;
        let task = TaskId {
            job: id.clone(),
            index,
        };
        m.reserve_resources(task, need, priority);
    }

    /// Removes a placement, because its task is proven to be off its machine or was never sent there.
    fn release(&mut self, id: &JobId, index: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(chunk) = job.chunks.get_mut(&(index / CHUNK_SIZE)) else {
            return;
        };
        let Some(placement) = chunk.live.remove(&((index % CHUNK_SIZE) as u8)) else {
            return;
        };
        let need = job.spec.need();
        let priority = job.spec.priority;
        job.live -= 1;
        self.job_index.update_waiting(job);
        if let Some(used) = self.team_used.get_mut(&job.spec.team) {
            *used -= need;
        }
        if let Some(m) = self.machines.get_mut(&placement.machine) {
            if let Some(n) = job.live_by_zone.get_mut(&m.zone) {
                *n = n.saturating_sub(1);
            }
            let task = TaskId {
                job: id.clone(),
                index,
            };
            m.release(&task, need, priority);
        }
        self.mark_dirty(id, index / CHUNK_SIZE);
        if placement.stopping == Some(StopReason::Preempted) {
            self.wake_pending_reservations(&placement.machine);
        }
        self.check_terminal(id);
    }

    /// Makes the jobs with a pending reservation on a machine due, so that no other takes its resources first.
    fn wake_pending_reservations(&mut self, machine: &MachineId) {
        let mut woken = Vec::new();
        for id in self.job_index.pending_reservations() {
            if let Some(job) = self.jobs.get_mut(id)
                && job.reservations.iter().any(|(m, _)| m == machine)
            {
                job.next_offer_at = Micros::ZERO;
                woken.push(id.clone());
            }
        }
        for id in woken {
            if let Some(job) = self.jobs.get(&id) {
                self.job_index.schedule(job);
            }
        }
    }

    /// Records a task's completion.
    fn finish(&mut self, id: &JobId, index: u32) {
        self.release(id, index);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.is_finished(index) || job.spec.shape == Shape::Service {
            return;
        }
        let chunk = job.chunks.entry(index / CHUNK_SIZE).or_default();
        chunk.finished |= 1 << (index % CHUNK_SIZE);
        job.done += 1;
        job.consecutive_failures = 0;
        self.guarantees.mark_stale(&job.spec.team);
        self.job_index.update_waiting(job);
        if job.done == job.spec.tasks && !job.ending {
            self.finished.insert(id.clone());
            self.stop_deferring(id);
        }
        self.mark_dirty(id, index / CHUNK_SIZE);
    }

    /// Marks a chunk to be written.
    ///
    /// Guards against the chunks of a job of tens of thousands of tasks going before a critical task's, because its name
    /// comes first.
    fn mark_dirty(&mut self, id: &JobId, number: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(chunk) = job.chunks.get_mut(&number) {
            if !chunk.dirty {
                chunk.changed_at = self.latest;
            }
            chunk.dirty = true;
            let place = writes::QueuedChunk::new(job.spec.priority, id, number);
            self.deferred.remove(&place);
            self.dirty.insert(place);
        }
    }

    /// Makes a job with waiting tasks due now.
    pub(super) fn requeue(&mut self, id: &JobId, now: Micros) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.next_offer_at = job.next_offer_at.min(now);
            self.job_index.schedule(job);
        }
    }

    pub(super) fn record_image(&mut self, machine: &MachineId, spec: &JobSpec) {
        if let Some(m) = self.machines.get_mut(machine) {
            let cache = self
                .machine_types
                .get(&m.machine_type)
                .map_or(f64::INFINITY, |f| f.cache_gb);
            m.record_image(&spec.image, spec.image_gb, cache);
        }
    }

    fn check_terminal(&mut self, id: &JobId) {
        if self
            .jobs
            .get(id)
            .is_some_and(|j| j.end.is_some() && j.live == 0)
        {
            self.terminal.insert(id.clone());
        }
    }
}

/// The tasks of a job that may be on machines.
fn live_tasks(job: &Job) -> impl Iterator<Item = (u32, &Placement)> {
    job.chunks.iter().flat_map(|(number, chunk)| {
        chunk
            .live
            .iter()
            .map(move |(i, p)| (number * CHUNK_SIZE + u32::from(*i), p))
    })
}

/// The spec of a job by its id.
fn spec_of(jobs: &BTreeMap<JobId, Job>, id: &JobId) -> Option<Rc<JobSpec>> {
    jobs.get(id).map(|j| j.spec.clone())
}
