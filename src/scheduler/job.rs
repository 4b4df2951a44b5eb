//! A job in the leader's memory: its chunks, its tasks' placements and its place in the queue.

use super::job_spec::JobSpec;
use super::messages::TaskState;
use super::records::{CHUNK_SIZE, ChunkRecord, JobEnd};
use crate::ids::MachineId;
use crate::revision::Revision;
use crate::units::Micros;
use ravenhead_recovery::{HeartbeatPosition, Origin, RecordedTask};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The deadline, after its submission, by which a job without one is queued.
///
/// Guards against spare-time work that comes in thousands of long tasks: by its age it would go before all that has a
/// deadline, which could not be met any more.
const DEFAULT_DEADLINE: Micros = Micros::secs(600);
/// Longest backoff of a job that keeps failing.
const MAX_BACKOFF: Micros = Micros::secs(30);

/// Why a task is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// A job that goes before it takes its resources.
    Preempted,
    /// Its machine is to be emptied.
    Drained,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Where.
    pub machine: MachineId,
    /// The attempt.
    pub attempt: u64,
    /// Whether the placement is written down; only then may its start be sent.
    pub committed: bool,
    /// Whether an earlier leader made it, so that a start of that leader's may still be on its way.
    pub inherited: bool,
    /// The heartbeat whose answer carried the start.
    pub sent: Option<HeartbeatPosition>,
    /// Its state in the machine's newest heartbeat.
    pub reported_state: Option<TaskState>,
    /// When it was first reported running.
    pub running_since: Option<Micros>,
    /// Whether, and why, it is being stopped.
    pub stopping: Option<StopReason>,
}

impl Placement {
    /// The placement as reconciliation sees it.
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

/// A chunk of a job's tasks.
#[derive(Debug, Clone, Default)]
pub struct Chunk {
    /// Finished tasks, bit by bit.
    pub finished: u64,
    /// Those of them that are written down.
    pub finished_committed: u64,
    /// Highest attempt given.
    pub last_attempt: u64,
    /// Tasks that may be on a machine.
    pub live: BTreeMap<u8, Placement>,
    /// The key's version, 0 where it is not yet written.
    pub version: Revision,
    /// Whether there is something to write.
    pub dirty: bool,
    /// Since when there is.
    pub changed_at: Micros,
}

impl Chunk {
    /// The record as it would be written now.
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

    /// Its tasks that are neither finished nor possibly on a machine, bit by bit; also those beyond the job's last.
    fn waiting_bits(&self) -> u64 {
        let live = self.live.keys().fold(0u64, |bits, i| bits | 1 << i);
        !(self.finished | live)
    }

    /// A chunk as an earlier leader left it.
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

/// A job that is not ended, or whose tasks may still be on machines.
#[derive(Debug, Clone)]
pub struct Job {
    /// What was asked for.
    pub spec: Rc<JobSpec>,
    /// When it was submitted, by the time of day.
    pub at: u64,
    /// Whether it has ended.
    pub end: Option<JobEnd>,
    /// Whether a try to write its end is under way or done.
    pub ending: bool,
    /// Its chunks, as far as anything happened in them.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Finished tasks.
    pub done: u32,
    /// Tasks that may be on a machine.
    pub live: u32,
    /// Those of them by zone.
    pub live_by_zone: BTreeMap<String, u32>,
    /// When its waiting tasks are offered next.
    pub next_try: Micros,
    /// Machines where it failed: they are not offered again.
    pub failed_on: BTreeSet<MachineId>,
    /// Failures in a row, for backing off.
    pub failures: u32,
    /// Whether it failed on so many machines, with no success between, that it is itself crash-looping.
    pub crash_looping: bool,
    /// Whether a spot machine was preempted with work of it that could not be saved.
    pub lost_on_spot: bool,
    /// Pending reservations: machines where tasks are stopped for this job, and until when each is valid.
    pub reservations: Vec<(MachineId, Micros)>,
    /// Until when a task of it that waits is one that was stopped only to be moved.
    pub moving_until: Micros,
    /// Since when it is offered without a task being placed.
    pub unplaced_since: Option<Micros>,
}

impl Job {
    /// A job of which nothing was placed yet.
    pub fn new(spec: Rc<JobSpec>, at: u64, end: Option<JobEnd>, now: Micros) -> Job {
        Job {
            spec,
            at,
            end,
            ending: end.is_some(),
            chunks: BTreeMap::new(),
            done: 0,
            live: 0,
            live_by_zone: BTreeMap::new(),
            next_try: now,
            failed_on: BTreeSet::new(),
            failures: 0,
            crash_looping: false,
            lost_on_spot: false,
            reservations: Vec::new(),
            moving_until: Micros::ZERO,
            unplaced_since: None,
        }
    }

    /// When it should be complete, by the time of day; without a deadline so long after it came.
    pub fn due_at(&self) -> u64 {
        let due = self
            .spec
            .due_s
            .map_or(DEFAULT_DEADLINE, Micros::from_secs_f64);
        self.at.saturating_add(due.0)
    }

    /// Its queue position among jobs of its priority, as the time of day by which it counts as due.
    ///
    /// Guards against an overload in which every job is served just too late: one that by its owner's estimate can't be
    /// in time any more counts as due half as late again, and if not even then, at three times its time. It gives way
    /// to what may still be in time, but only so far, so that none waits for ever.
    pub fn queue_position(&self, unix_time: u64) -> u64 {
        let due = self.due_at();
        let allowed = due - self.at;
        let done_at = unix_time.saturating_add(Micros::from_secs_f64(self.spec.expect_s).0);
        if self.spec.due_s.is_none() || done_at <= due {
            due
        } else if done_at <= due.saturating_add(allowed / 2) {
            due.saturating_add(allowed / 2)
        } else {
            due.saturating_add(allowed).saturating_add(allowed)
        }
    }

    /// Tasks that are neither finished nor possibly on a machine.
    pub fn waiting(&self) -> u32 {
        if self.end.is_some() || self.ending {
            0
        } else {
            self.spec.tasks - self.done - self.live
        }
    }

    /// Tasks that wait and may be offered now: of a job crash-looping one, and then none for a while.
    ///
    /// Guards against a large job submitted with a mistake: all of its tasks would be started, and provisioned for, again and
    /// again, only to fail.
    pub fn open(&self) -> u32 {
        if self.crash_looping {
            self.waiting().min(1)
        } else {
            self.waiting()
        }
    }

    /// Its backoff after the latest failure.
    pub fn pause(&self) -> Micros {
        Micros::secs(1 << self.failures.min(5)).min(MAX_BACKOFF)
    }

    /// Whether its tasks may go to such a machine. What lost its work on a spot machine once does not use one again:
    /// a job without checkpoints could lose it over and over and never be in time.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.spec.allows(machine_type, zone, spot) && !(spot && self.lost_on_spot)
    }

    /// The first waiting task at or after `from`.
    pub fn next_waiting(&self, from: u32) -> Option<u32> {
        let mut expected = from / CHUNK_SIZE;
        let mut first = from % CHUNK_SIZE;
        for (number, chunk) in self.chunks.range(expected..) {
            // Nothing was ever placed of a chunk that is not there.
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

    /// The attempt that the next placement of a task of this chunk gets. The tasks of a gang find each other by it, so it
    /// is the same for all that are placed together.
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

    /// The placement of a task.
    pub fn placement(&self, index: u32) -> Option<&Placement> {
        self.chunks
            .get(&(index / CHUNK_SIZE))?
            .live
            .get(&((index % CHUNK_SIZE) as u8))
    }

    /// The placement of a task, to change.
    pub fn placement_mut(&mut self, index: u32) -> Option<&mut Placement> {
        self.chunks
            .get_mut(&(index / CHUNK_SIZE))?
            .live
            .get_mut(&((index % CHUNK_SIZE) as u8))
    }

    /// Whether a task is finished.
    pub fn is_finished(&self, index: u32) -> bool {
        self.chunks
            .get(&(index / CHUNK_SIZE))
            .is_some_and(|c| c.finished >> (index % CHUNK_SIZE) & 1 == 1)
    }

    /// Whether a finished task is written down as such.
    pub fn is_finish_committed(&self, index: u32) -> bool {
        self.chunks
            .get(&(index / CHUNK_SIZE))
            .is_some_and(|c| c.finished_committed >> (index % CHUNK_SIZE) & 1 == 1)
    }
}
