//! The scheduler's pure core: takes events with their time, and returns writes, commands to workers and fleet plans.
//!
//! It has no I/O, clock or source of randomness of its own. Commands depend on what the controller reports as written:
//! the start of a task is sent only after its placement was written, and `clear` only after its completion was.

mod candidates;
mod commands;
mod consolidation;
mod events;
mod exited_attempts;
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
mod write_queue;
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

/// The scheduler's configuration, derived from the operator's settings and the platform file.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    /// Interval at which waiting jobs are offered again.
    pub retry_interval: Micros,
    /// Upper bound of the random time added to the retry interval.
    pub max_retry_jitter: Micros,
    /// Time after which an empty machine is terminated. `None`: an eighth of the time that it takes to provision a
    /// replacement, or all of that time while latency-sensitive work was recently seen for such machines.
    pub idle_timeout: Option<Micros>,
    /// Number of free places kept for classes that can't wait for a machine to be provisioned. `None`: derived from the
    /// arrivals of their jobs.
    pub reserved_places: Option<u32>,
    /// Maximum number of offers in one scheduling cycle. Beyond it, jobs are offered to samples of the machines.
    pub max_offers_per_cycle: usize,
    /// Maximum number of machines provisioned in one scheduling cycle.
    pub max_scale_out_per_cycle: usize,
    /// Number of controllers in the cluster.
    pub controllers: usize,
    /// Interval at which workers send heartbeats.
    pub heartbeat_interval: Micros,
    /// Time for which workers keep running tasks without a response from a controller.
    pub worker_lease: Micros,
    /// Time within which a cancelled task must have stopped.
    pub cancellation_timeout: Micros,
    /// Maximum age of the cloud's machine list.
    pub list_lag: Micros,
    /// Maximum time until a task starts, by job class. Classes without an objective for this are absent.
    pub max_start_delay: BTreeMap<String, Micros>,
    /// Whether the progress of a new leader's recovery is logged.
    pub recovery_report: bool,
    /// Time within which work covered by a team's guarantee is to start. `None`: there is no such objective.
    pub guarantee_start_delay: Option<Micros>,
}

/// A team's guarantee and limit. `None` means that the resource is not guaranteed, or not limited.
#[derive(Debug, Clone, Default)]
pub struct TeamQuota {
    /// Guaranteed processors and accelerators, in millionths.
    pub guarantee: [Option<i64>; 2],
    /// Maximum processors and accelerators in use, in millionths.
    pub limit: [Option<i64>; 2],
}

/// Another controller, as seen by the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControllerStatus {
    /// Node name of the controller.
    pub node: String,
    /// Zone that the controller runs in.
    pub zone: String,
    /// Whether the controller answered recent pings.
    pub is_reachable: bool,
}

/// The scheduler of one leader term.
pub struct Scheduler {
    config: SchedulerConfig,
    token: FencingToken,
    started_at: Micros,
    /// Time of the latest heartbeat or scheduling cycle.
    last_event_at: Micros,
    /// Lower bound of attempt numbers given in this term.
    min_attempt: u64,
    /// Unix time in microseconds, as of the last fleet plan.
    unix_time: u64,
    rng: fastrand::Rng,
    teams: BTreeMap<String, TeamQuota>,
    machine_types: BTreeMap<String, MachineType>,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<MachineId, Machine>,
    /// Resources of the tasks that may be on a machine, by team.
    team_used: BTreeMap<String, Resources>,
    /// Which jobs are within their team's guarantee, as of the last scheduling cycle.
    guarantees: quota::Guarantees,
    /// Jobs and tasks that a scheduling cycle must examine.
    job_index: job_index::JobIndex,
    /// Processors and memory that tasks without accelerators leave for each free accelerator, by the priority of these
    /// tasks, as of the last scheduling cycle.
    accelerator_headroom: BTreeMap<Priority, Resources>,

    /// Chunks to write.
    write_queue: write_queue::WriteQueue,
    /// Chunks whose changes are deferred, to be written together with others of their job while few writes are
    /// possible.
    deferred: write_queue::DeferredChunks,
    /// Jobs whose tasks have all finished and whose end has yet to be written.
    finished: BTreeSet<JobId>,
    /// Jobs that have ended and have no tasks on machines, so that their records can be deleted.
    terminal: BTreeSet<JobId>,
    /// Machines whose cached images have yet to be written to the store.
    unwritten_images: BTreeSet<MachineId>,
    /// Recorded images of machines that have not yet sent a heartbeat to this leader.
    known_images: BTreeMap<MachineId, Vec<CachedImage>>,
    /// Machines recently terminated, whose delayed heartbeats must be ignored.
    terminated: HashSet<MachineId>,
    /// The machines in `terminated`, oldest first. The oldest are removed to bound their number.
    terminated_order: VecDeque<MachineId>,
    provisioning_times: provisioning_times::ProvisioningTimes,
    fleet: fleet::Fleet,
    demand: reserve::Demand,
    consolidation: consolidation::Consolidation,
    fair_share: fair_share::FairShare,
    failure_detector: failure_detection::FailureDetector,
    recovery: Option<recovery::Recovery>,
    rebuild: Option<rebuild::Rebuild>,
    /// Events to log, in the order in which they occurred.
    events: Vec<SchedulerEvent>,
    /// Number of offers made in the last scheduling cycle. Bounds preemption searches, and is read by tests.
    pub offers_made: usize,
    /// Number of loop iterations over machines, jobs and tasks so far, for tests that bound the work.
    steps: Cell<u64>,
}

impl Scheduler {
    /// Creates a scheduler without any machines, jobs or machine types.
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
            last_event_at: now,
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
            write_queue: write_queue::WriteQueue::default(),
            deferred: write_queue::DeferredChunks::default(),
            finished: BTreeSet::new(),
            terminal: BTreeSet::new(),
            unwritten_images: BTreeSet::new(),
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

    /// Returns the fencing token of the leader term.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the events to log since the last call, sorted by level and then in the order in which they occurred.
    pub fn take_events(&mut self) -> Vec<SchedulerEvent> {
        let mut events = std::mem::take(&mut self.events);
        events.sort_by_key(SchedulerEvent::level);
        events
    }

    /// Returns the number of loop iterations over machines, jobs and tasks so far, including offers and searches.
    pub fn steps(&self) -> u64 {
        self.steps.get() + self.offers_made as u64
    }

    /// Counts `n` iterations of a loop over machines, jobs or tasks.
    fn count_steps(&self, n: usize) {
        self.steps.set(self.steps.get() + n as u64);
    }

    /// Replaces the machine types with those that the cloud offers, and updates the resources of machines.
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

    /// Adds a job, either new or inherited from an earlier leader with its recorded chunks.
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
        let is_complete = job.done == job.spec.tasks;
        self.guarantees.add(&job);
        self.jobs.insert(id.clone(), job);
        self.update_waiting(&id);
        for (index, machine) in placed {
            self.reserve_on_machine(&id, index, &machine, now);
        }
        if is_complete && end.is_none() {
            self.finished.insert(id.clone());
        }
        self.check_terminal(&id);
    }

    /// Ends a job, at its user's request or by a decision of this leader.
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
        self.release_unwritten(id);
        self.expedite_writes(id);
        self.check_terminal(id);
    }

    /// Returns whether a job has ended and each of its tasks is proven to be off its machine.
    pub fn has_left_machines(&self, id: &JobId) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|job| job.end.is_some() && job.live == 0)
    }

    /// Handles a commit which found that the job has already ended: none of its tasks may be started, although the
    /// job's outcome is not known yet.
    pub fn on_job_already_ended(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ending = true;
            self.guarantees.mark_stale(&job.spec.team);
            self.finished.remove(id);
            self.update_waiting(id);
            self.release_unwritten(id);
        }
    }

    /// Updates the job index after the number of a job's waiting tasks may have changed.
    fn update_waiting(&mut self, id: &JobId) {
        match self.jobs.get(id) {
            Some(job) => self.job_index.update_waiting(job),
            None => self.job_index.remove(id),
        }
    }

    /// Releases the placements of a job that are not written yet; no start of these tasks can have been sent.
    fn release_unwritten(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let unwritten: Vec<u32> = live_tasks(job)
            .filter(|(_, p)| !p.committed)
            .map(|(index, _)| index)
            .collect();
        for index in unwritten {
            self.release(id, index);
        }
    }

    /// Reserves a machine's resources for a task whose placement is already in its chunk.
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

    /// Removes a placement whose task is proven not to be on its machine, or was never sent there.
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
            self.requeue_pending_reservations(&placement.machine);
        }
        self.check_terminal(id);
    }

    /// Makes the jobs with a pending reservation on a machine due, so that no other job takes the freed resources
    /// first.
    fn requeue_pending_reservations(&mut self, machine: &MachineId) {
        let mut requeued = Vec::new();
        for id in self.job_index.pending_reservations() {
            if let Some(job) = self.jobs.get_mut(id)
                && job.reservations.iter().any(|(m, _)| m == machine)
            {
                job.next_offer_at = Micros::ZERO;
                requeued.push(id.clone());
            }
        }
        for id in requeued {
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
    /// Chunks of active jobs are ordered by priority first. Ordered by job id alone, the chunks of a job with tens of
    /// thousands of tasks could be written before that of a critical task.
    fn mark_dirty(&mut self, id: &JobId, number: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(chunk) = job.chunks.get_mut(&number) {
            if !chunk.dirty {
                chunk.changed_at = self.last_event_at;
            }
            chunk.dirty = true;
            let queued = write_queue::QueuedChunk::new(job.spec.priority, id, number);
            self.deferred.remove(&queued);
            self.write_queue.insert(queued, job.ending);
        }
    }

    /// Makes a job with waiting tasks due at once.
    pub(super) fn requeue(&mut self, id: &JobId, now: Micros) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.next_offer_at = job.next_offer_at.min(now);
            self.job_index.schedule(job);
        }
    }

    /// Records that a machine has, or is about to fetch, the image of a job.
    pub(super) fn record_image(&mut self, machine: &MachineId, spec: &JobSpec) {
        if let Some(m) = self.machines.get_mut(machine) {
            let cache_gb = self
                .machine_types
                .get(&m.machine_type)
                .map_or(f64::INFINITY, |f| f.cache_gb);
            m.record_image(&spec.image, spec.image_gb, cache_gb);
        }
    }

    /// Queues a job for the deletion of its records if it has ended and none of its tasks can be on a machine.
    fn check_terminal(&mut self, id: &JobId) {
        if self.has_left_machines(id) {
            self.terminal.insert(id.clone());
        }
    }
}

/// Returns the tasks of a job that may be on machines, with their placements.
fn live_tasks(job: &Job) -> impl Iterator<Item = (u32, &Placement)> {
    job.chunks.iter().flat_map(|(number, chunk)| {
        chunk
            .live
            .iter()
            .map(move |(i, p)| (number * CHUNK_SIZE + u32::from(*i), p))
    })
}

/// Returns the spec of a job.
fn spec_of(jobs: &BTreeMap<JobId, Job>, id: &JobId) -> Option<Rc<JobSpec>> {
    jobs.get(id).map(|j| j.spec.clone())
}
