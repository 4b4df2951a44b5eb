//! Jobs in the leader's memory: chunks, placements of tasks and queue position.

use super::job_spec::JobSpec;
use super::messages::TaskState;
use super::records::{CHUNK_SIZE, ChunkRecord, JobEnd};
use crate::ids::MachineId;
use crate::revision::Revision;
use crate::units::Micros;
use ravenhead_recovery::{HeartbeatPosition, Origin, RecordedTask};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Deadline after submission that is assumed for queueing jobs without one.
///
/// Prevents best-effort work that arrives as thousands of long tasks from starving jobs with deadlines: ordered by age
/// alone, it would run before all of them and their deadlines would be missed.
const DEFAULT_DEADLINE: Micros = Micros::secs(600);
/// Maximum backoff of a job that fails repeatedly.
const MAX_BACKOFF: Micros = Micros::secs(30);

/// Reason for which a task is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// A job that takes precedence needs its resources.
    Preempted,
    /// Its machine is being emptied, or another task of its gang was lost and the gang must restart as a whole.
    Drained,
}

/// Placement of a task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Machine that the task is placed on.
    pub machine: MachineId,
    /// Attempt number.
    pub attempt: u64,
    /// Whether the placement has been written to the key-value store. The start command is sent only after that.
    pub committed: bool,
    /// Whether an earlier leader made the placement, so that a start command of that leader may still be in flight.
    pub inherited: bool,
    /// Position of the heartbeat whose response carried the start command or, if later, of the last one that reported
    /// the task with this leader's token. `None` if this leader has not sent a start or the start was lost.
    pub sent: Option<HeartbeatPosition>,
    /// State of the task in its machine's newest heartbeat; `None` until it is reported.
    pub reported_state: Option<TaskState>,
    /// Time at which it was first reported running.
    pub running_since: Option<Micros>,
    /// Reason for which it is being stopped; `None` if it is not.
    pub stopping: Option<StopReason>,
}

impl Placement {
    /// Returns the placement in the form that reconciliation compares with heartbeats.
    pub fn as_recorded(&self, is_desired: bool) -> RecordedTask {
        let command_sent_at = self.sent;
        RecordedTask {
            origin: if self.inherited {
                Origin::EarlierLeader
            } else {
                Origin::ThisLeader { command_sent_at }
            },
            was_reported: self.reported_state.is_some(),
            is_stopping: self.stopping.is_some(),
            is_desired,
        }
    }
}

/// State of one chunk of a job's tasks.
#[derive(Debug, Clone, Default)]
pub struct Chunk {
    /// Bitmap of finished tasks.
    pub finished: u64,
    /// Bitmap of finished tasks whose completion has been written.
    pub finished_committed: u64,
    /// Highest attempt assigned to any task of the chunk.
    pub last_attempt: u64,
    /// Placements of tasks that may be on a machine, by index within the chunk.
    pub live: BTreeMap<u8, Placement>,
    /// Version of the stored record, 0 if it has not been written yet.
    pub version: Revision,
    /// Whether the chunk has unwritten changes.
    pub dirty: bool,
    /// Time of the first unwritten change.
    pub changed_at: Micros,
}

impl Chunk {
    /// Returns the record for the current state.
    pub fn record(&self) -> ChunkRecord {
        ChunkRecord {
            finished: self.finished,
            last_attempt: self.last_attempt,
            live: self
                .live
                .iter()
                .map(|(i, p)| (*i, p.machine.clone(), p.attempt))
                .collect(),
        }
    }

    /// Returns a bitmap of the tasks that are neither finished nor possibly on a machine. It includes indices past the
    /// job's last task.
    fn waiting_bits(&self) -> u64 {
        let live = self.live.keys().fold(0u64, |bits, i| bits | 1 << i);
        !(self.finished | live)
    }

    /// Restores a chunk from the record of an earlier leader.
    pub fn inherit(record: &ChunkRecord, version: Revision) -> Chunk {
        let live = record.live.iter().map(|(i, machine, attempt)| {
            let placement = Placement {
                machine: machine.clone(),
                attempt: *attempt,
                committed: true,
                inherited: true,
                sent: None,
                reported_state: None,
                running_since: None,
                stopping: None,
            };
            (*i, placement)
        });
        Chunk {
            finished: record.finished,
            finished_committed: record.finished,
            last_attempt: record.last_attempt,
            live: live.collect(),
            version,
            dirty: false,
            changed_at: Micros::ZERO,
        }
    }
}

/// A job that has not ended, or whose tasks may still be on machines.
#[derive(Debug, Clone)]
pub struct Job {
    /// Specification as submitted.
    pub spec: Rc<JobSpec>,
    /// Time of submission, as Unix time in microseconds.
    pub submitted_at: u64,
    /// How the job ended; `None` while it has not.
    pub end: Option<JobEnd>,
    /// Whether the job has ended, or a write of its end is in progress.
    pub ending: bool,
    /// Chunks by number. A chunk is present only once one of its tasks has been placed or reported.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Number of finished tasks.
    pub done: u32,
    /// Number of tasks that may be on a machine.
    pub live: u32,
    /// Number of tasks that may be on a machine, by zone.
    pub live_by_zone: BTreeMap<String, u32>,
    /// Time at which its waiting tasks are offered next.
    pub next_offer_at: Micros,
    /// Machines where its tasks failed. The job is not offered to machines in this set.
    pub failed_on: BTreeSet<MachineId>,
    /// Number of consecutive failures, which determines the backoff.
    pub consecutive_failures: u32,
    /// Whether the job itself counts as faulty, as its tasks failed on several machines with no success in between.
    /// Set for arrays only.
    pub crash_looping: bool,
    /// Whether a spot machine was terminated while it ran tasks of the job that cannot save their work.
    pub lost_work_on_spot: bool,
    /// Pending reservations: machines where tasks are being stopped for this job, each with its expiry time.
    pub reservations: Vec<(MachineId, Micros)>,
    /// Time until which a waiting task of the job is assumed to be one that was stopped only to be moved.
    pub moving_until: Micros,
    /// Time since which the job has been offered without any of its tasks being placed; `None` after a placement.
    pub unplaced_since: Option<Micros>,
}

impl Job {
    /// Creates a job without placements.
    pub fn new(spec: Rc<JobSpec>, submitted_at: u64, end: Option<JobEnd>, now: Micros) -> Job {
        Job {
            spec,
            submitted_at,
            end,
            ending: end.is_some(),
            chunks: BTreeMap::new(),
            done: 0,
            live: 0,
            live_by_zone: BTreeMap::new(),
            next_offer_at: now,
            failed_on: BTreeSet::new(),
            consecutive_failures: 0,
            crash_looping: false,
            lost_work_on_spot: false,
            reservations: Vec::new(),
            moving_until: Micros::ZERO,
            unplaced_since: None,
        }
    }

    /// Returns the Unix time in microseconds by which the job should be complete, with the default deadline if it has
    /// none.
    pub fn due_at(&self) -> u64 {
        let due = self
            .spec
            .due_s
            .map_or(DEFAULT_DEADLINE, Micros::from_secs_f64);
        self.submitted_at.saturating_add(due.0)
    }

    /// Returns the position among jobs of the same priority, as the Unix time in microseconds by which the job counts
    /// as due.
    ///
    /// Prevents an overload in which every job completes just after its deadline. A job that will miss its deadline by
    /// its owner's estimate counts as due at 1.5 times its allowed time or, if it would miss that as well, at 3 times.
    /// It yields to jobs that can still meet their deadlines, but only by a bounded time, so that no job starves.
    pub fn queue_position(&self, unix_time: u64) -> u64 {
        let due = self.due_at();
        let allowed = due - self.submitted_at;
        let expected_completion =
            unix_time.saturating_add(Micros::from_secs_f64(self.spec.expected_run_s).0);
        if self.spec.due_s.is_none() || expected_completion <= due {
            due
        } else if expected_completion <= due.saturating_add(allowed / 2) {
            due.saturating_add(allowed / 2)
        } else {
            due.saturating_add(allowed).saturating_add(allowed)
        }
    }

    /// Returns the number of tasks that are neither finished nor possibly on a machine.
    pub fn waiting(&self) -> u32 {
        if self.end.is_some() || self.ending {
            0
        } else {
            self.spec.tasks - self.done - self.live
        }
    }

    /// Returns the number of waiting tasks that may be offered. For a crash-looping job this is at most one, and the
    /// job is offered again only after its backoff.
    ///
    /// Without this limit, all tasks of a large faulty job would be started, and machines provisioned for them, again
    /// and again, only to fail.
    pub fn schedulable_tasks(&self) -> u32 {
        if self.crash_looping {
            self.waiting().min(1)
        } else {
            self.waiting()
        }
    }

    /// Returns the backoff after the latest failure.
    pub fn backoff(&self) -> Micros {
        Micros::secs(1 << self.consecutive_failures.min(5)).min(MAX_BACKOFF)
    }

    /// Returns whether the job's tasks may run on a machine of this type and zone, spot or on-demand. A job that has
    /// lost unsaved work on a spot machine does not use spot machines again: a job without checkpoints could lose its
    /// work repeatedly and never meet its deadline.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.spec.allows(machine_type, zone, spot) && !(spot && self.lost_work_on_spot)
    }

    /// Returns the index of the first waiting task at or after `from`.
    pub fn next_waiting(&self, from: u32) -> Option<u32> {
        let mut expected = from / CHUNK_SIZE;
        let mut first = from % CHUNK_SIZE;
        for (number, chunk) in self.chunks.range(expected..) {
            // No task of a missing chunk has ever been placed.
            if *number > expected {
                break;
            }
            let waiting = chunk.waiting_bits() >> first << first;
            if waiting != 0 {
                let index = number * CHUNK_SIZE + waiting.trailing_zeros();
                return (index < self.spec.tasks).then_some(index);
            }
            expected = number + 1;
            first = 0;
        }
        let index = expected * CHUNK_SIZE + first;
        (index < self.spec.tasks).then_some(index)
    }

    /// Returns the attempt for the next placement of a task of this chunk. The members of a gang find each other by
    /// their attempt, so it is the same for all members that are placed together.
    pub fn next_attempt(&self, chunk: u32, min_attempt: u64) -> u64 {
        if !self.spec.is_gang() {
            let last = self.chunks.get(&chunk).map_or(0, |c| c.last_attempt);
            return (last + 1).max(min_attempt);
        }
        let live = self.chunks.values().flat_map(|c| c.live.values());
        let highest = self.chunks.values().map(|c| c.last_attempt).max();
        match live.map(|p| p.attempt).max() {
            Some(attempt) => attempt,
            None => (highest.unwrap_or(0) + 1).max(min_attempt),
        }
    }

    /// Returns the placement of a task, or `None` if it has none.
    pub fn placement(&self, index: u32) -> Option<&Placement> {
        self.chunks
            .get(&(index / CHUNK_SIZE))?
            .live
            .get(&((index % CHUNK_SIZE) as u8))
    }

    /// Returns a mutable reference to the placement of a task, or `None` if it has none.
    pub fn placement_mut(&mut self, index: u32) -> Option<&mut Placement> {
        self.chunks
            .get_mut(&(index / CHUNK_SIZE))?
            .live
            .get_mut(&((index % CHUNK_SIZE) as u8))
    }

    /// Returns whether a task is finished.
    pub fn is_finished(&self, index: u32) -> bool {
        self.chunks
            .get(&(index / CHUNK_SIZE))
            .is_some_and(|c| c.finished >> (index % CHUNK_SIZE) & 1 == 1)
    }

    /// Returns whether a task is finished and its completion has been written.
    pub fn is_finish_committed(&self, index: u32) -> bool {
        self.chunks
            .get(&(index / CHUNK_SIZE))
            .is_some_and(|c| c.finished_committed >> (index % CHUNK_SIZE) & 1 == 1)
    }
}
