//! Tracks cancellations: which controllers know of them, and on which machines their tasks may still run.
//!
//! A worker may send its heartbeats to any controller, including one that the key-value store refuses. So a controller
//! that takes a cancellation notifies all others, each of which stops the job's tasks in its responses. Machines that no
//! controller can send a stop command to are terminated. A user gets the status "aborted" once the tasks are proven to
//! be off their machines.

mod service;
mod termination;

pub use service::CancellationService;
pub use termination::OverdueTerminator;

use crate::peer::{Cancellation, ResidueCleared};
use crate::scheduler::{Heartbeat, JobId, MachineId, TaskState};
use crate::units::Micros;
use ravenhead_index::{Cursor, CursorLog};
use ravenhead_recovery::HeartbeatPosition;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time during which a start command that was sent just before a cancellation can still arrive: a worker waits 4 s for
/// a response.
const COMMAND_DELIVERY_TIMEOUT: Micros = Micros::secs(5);
/// Maximum size of the names in one message, in bytes. A single larger cancellation is sent whole; it still fits into a
/// frame.
const MAX_CANCELLATION_BYTES: usize = 256 * 1024;
/// Maximum number of cleared machines in one message. The rest follows in the next message.
const MAX_CLEARED_PER_MESSAGE: usize = 8_192;

/// Knowledge about the tasks of a cancelled job on one machine.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Residue {
    /// Tasks may still run: no heartbeat has shown otherwise.
    Possible,
    /// One heartbeat, at this position, reported no active task of the job.
    AbsentInOneHeartbeat(HeartbeatPosition),
    /// Two heartbeats reported no active task of the job, to this or another controller, or another controller had the
    /// machine terminated.
    Cleared,
    /// The cloud confirmed to this controller that the machine is terminated.
    Terminated,
}

impl Residue {
    /// Returns whether tasks may still run.
    fn is_left(self) -> bool {
        !matches!(self, Residue::Cleared | Residue::Terminated)
    }

    /// Returns the state after a heartbeat at position `at`. `is_active` tells whether it reports active tasks of the
    /// job.
    fn after(self, at: HeartbeatPosition, is_active: bool) -> Residue {
        match self {
            Residue::Cleared | Residue::Terminated => self,
            _ if is_active => Residue::Possible,
            Residue::Possible => Residue::AbsentInOneHeartbeat(at),
            Residue::AbsentInOneHeartbeat(first_at) if at > first_at => Residue::Cleared,
            Residue::AbsentInOneHeartbeat(first_at) => Residue::AbsentInOneHeartbeat(first_at),
        }
    }
}

/// A cancelled job, and what is known of its tasks.
#[derive(Debug)]
struct CancellationEntry {
    /// Time of the cancellation's commit, as Unix time in microseconds.
    committed_at: u64,
    machines: BTreeMap<MachineId, Residue>,
    /// Whether the cancellation may be reported to users: its tasks are proven to be off their machines.
    confirmed: bool,
}

/// The cancellations that one incarnation (process) of another controller has acknowledged.
#[derive(Debug, Default)]
struct PeerAcknowledgements {
    incarnation: u64,
    jobs: BTreeSet<JobId>,
}

/// The cancellations that one controller knows of, including those that its view does not show.
#[derive(Debug, Default)]
pub struct Cancellations {
    entries: BTreeMap<JobId, CancellationEntry>,
    acknowledged: BTreeMap<String, PeerAcknowledgements>,
    /// Cancelled jobs per machine on which their tasks may still run.
    ///
    /// Saves checking every cancellation for every heartbeat.
    residue_by_machine: HashMap<MachineId, BTreeSet<JobId>>,
    /// Machines that were found to run no more tasks of a cancelled job, with the Unix time of the finding in
    /// microseconds.
    cleared: CursorLog<(u64, ResidueCleared)>,
}

impl Cancellations {
    /// Records a cancellation and the machines on which its tasks may run.
    pub fn insert(&mut self, cancellation: &Cancellation) {
        let job = &cancellation.job;
        let entry = self
            .entries
            .entry(job.clone())
            .or_insert_with(|| CancellationEntry {
                committed_at: cancellation.at,
                machines: BTreeMap::new(),
                confirmed: false,
            });
        for machine in &cancellation.machines {
            if !entry.machines.contains_key(machine) {
                entry.machines.insert(machine.clone(), Residue::Possible);
                let jobs = self.residue_by_machine.entry(machine.clone()).or_default();
                jobs.insert(job.clone());
            }
        }
    }

    /// Stops checking heartbeats of a machine for tasks of a cancelled job.
    fn stop_tracking(&mut self, machine: &MachineId, job: &JobId) {
        if let Some(jobs) = self.residue_by_machine.get_mut(machine) {
            jobs.remove(job);
            if jobs.is_empty() {
                self.residue_by_machine.remove(machine);
            }
        }
    }

    /// Records that a machine runs no more tasks of a cancelled job.
    fn record_cleared(&mut self, cleared: ResidueCleared, unix_time: u64) {
        self.stop_tracking(&cleared.machine, &cleared.job);
        self.cleared.push((unix_time, cleared));
    }

    /// Returns the known cancelled jobs with the Unix time of each cancellation in microseconds.
    pub fn cancelled(&self) -> impl Iterator<Item = (&JobId, u64)> {
        let entries = self.entries.iter();
        entries.map(|(job, entry)| (job, entry.committed_at))
    }

    /// Returns whether the job is known to be cancelled.
    pub fn contains(&self, job: &JobId) -> bool {
        self.entries.contains_key(job)
    }

    /// Returns whether the cancellation of the job may be reported to users.
    pub fn is_confirmed(&self, job: &JobId) -> bool {
        self.entries.get(job).is_some_and(|entry| entry.confirmed)
    }

    fn confirm(&mut self, job: &JobId) {
        if let Some(entry) = self.entries.get_mut(job) {
            entry.confirmed = true;
        }
    }

    /// Returns the cancellations that a peer has not acknowledged yet, up to the size limit of one message.
    pub fn unacknowledged(&self, peer: &str) -> Vec<Cancellation> {
        let acknowledged = self.acknowledged.get(peer);
        let mut bytes = 0;
        let unacknowledged = self
            .entries
            .iter()
            .filter(|(job, _)| acknowledged.is_none_or(|a| !a.jobs.contains(*job)));
        unacknowledged
            .map(|(job, entry)| Cancellation {
                job: job.clone(),
                at: entry.committed_at,
                machines: entry.machines.keys().cloned().collect(),
            })
            .take_while(|c| {
                bytes += c.bytes();
                bytes <= MAX_CANCELLATION_BYTES || bytes == c.bytes()
            })
            .collect()
    }

    /// Records that an incarnation of a peer acknowledged cancellations.
    ///
    /// Acknowledgements of an earlier incarnation are discarded: a restarted controller has lost what it was sent, so
    /// it is sent all cancellations again.
    pub fn acknowledge(&mut self, peer: &str, incarnation: u64, jobs: &[Cancellation]) {
        let acknowledged = self.acknowledged.entry(peer.to_owned()).or_default();
        if acknowledged.incarnation != incarnation {
            *acknowledged = PeerAcknowledgements {
                incarnation,
                jobs: BTreeSet::new(),
            };
        }
        acknowledged.jobs.extend(jobs.iter().map(|c| c.job.clone()));
    }

    /// Updates what is known of cancelled tasks on a machine from its heartbeat. Tasks count as gone after two
    /// successive heartbeats without them, both received after the time in which a start command could still arrive.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, unix_time: u64) {
        let machine = &heartbeat.machine;
        let Some(jobs) = self.residue_by_machine.get(machine) else {
            return;
        };
        let active = active_jobs(heartbeat);
        let at = heartbeat.position();
        let mut cleared = Vec::new();
        for job in jobs {
            let Some(entry) = self.entries.get_mut(job) else {
                continue;
            };
            let delivery_deadline = entry
                .committed_at
                .saturating_add(COMMAND_DELIVERY_TIMEOUT.0);
            if unix_time < delivery_deadline {
                continue;
            }
            let Some(residue) = entry.machines.get_mut(machine) else {
                continue;
            };
            let next = residue.after(at, active.contains(job.0.as_str()));
            if next == Residue::Cleared && *residue != Residue::Cleared {
                cleared.push(job.clone());
            }
            *residue = next;
        }
        for job in cleared {
            let machine = machine.clone();
            self.record_cleared(ResidueCleared { job, machine }, unix_time);
        }
    }

    /// Records machines that run no more tasks of cancelled jobs, as another controller reports them.
    pub fn on_residue_cleared(&mut self, cleared: &[ResidueCleared], unix_time: u64) {
        for cleared in cleared {
            if self
                .residue_mut(cleared)
                .is_some_and(|residue| residue.is_left())
            {
                self.set_cleared(cleared, Residue::Cleared, unix_time);
            }
        }
    }

    /// Records machines with tasks of cancelled jobs that the cloud confirmed to be terminated.
    pub fn on_terminated(&mut self, terminated: &[ResidueCleared], unix_time: u64) {
        for residue in terminated {
            self.set_cleared(residue, Residue::Terminated, unix_time);
        }
    }

    fn residue_mut(&mut self, residue: &ResidueCleared) -> Option<&mut Residue> {
        let entry = self.entries.get_mut(&residue.job)?;
        entry.machines.get_mut(&residue.machine)
    }

    fn set_cleared(&mut self, cleared: &ResidueCleared, state: Residue, unix_time: u64) {
        if let Some(residue) = self.residue_mut(cleared) {
            *residue = state;
            self.record_cleared(cleared.clone(), unix_time);
        }
    }

    /// Returns whether the cloud confirmed to this controller that a machine with tasks of a cancelled job is terminated.
    pub fn is_terminated(&self, job: &JobId, machine: &MachineId) -> bool {
        let residue = self.entries.get(job).and_then(|e| e.machines.get(machine));
        residue == Some(&Residue::Terminated)
    }

    /// Returns a cursor for reading the cleared machines that are found after this call.
    pub fn residue_cleared_cursor(&self) -> Cursor {
        self.cleared.end()
    }

    /// Returns the machines found cleared since a cursor, up to the limit of one message, and the cursor for the next
    /// call.
    pub fn residue_cleared_since(&self, from: Cursor) -> (Vec<ResidueCleared>, Cursor) {
        let (batch, next) = self.cleared.read(from, MAX_CLEARED_PER_MESSAGE);
        (batch.map(|(_, cleared)| cleared.clone()).collect(), next)
    }

    /// Returns the pairs of job and machine where tasks may still run although the job was cancelled longer ago than
    /// `grace_period`.
    pub fn overdue(&self, unix_time: u64, grace_period: Micros) -> Vec<ResidueCleared> {
        self.overdue_if(unix_time, grace_period, Residue::is_left)
    }

    /// Returns the pairs of job and machine where the job was cancelled longer ago than `grace_period`, whatever
    /// heartbeats report, except machines that the cloud confirmed to be terminated.
    pub fn unterminated(&self, unix_time: u64, grace_period: Micros) -> Vec<ResidueCleared> {
        let is_unterminated = |residue: Residue| residue != Residue::Terminated;
        self.overdue_if(unix_time, grace_period, is_unterminated)
    }

    fn overdue_if(
        &self,
        unix_time: u64,
        grace_period: Micros,
        is_included: impl Fn(Residue) -> bool,
    ) -> Vec<ResidueCleared> {
        let is_overdue = |entry: &CancellationEntry| {
            unix_time > entry.committed_at.saturating_add(grace_period.0)
        };
        let overdue = self.entries.iter().filter(|(_, entry)| is_overdue(entry));
        let residue = overdue.flat_map(|(job, entry)| {
            let machines = entry.machines.iter();
            let residue = machines.filter(|(_, residue)| is_included(**residue));
            residue.map(|(machine, _)| ResidueCleared {
                job: job.clone(),
                machine: machine.clone(),
            })
        });
        residue.collect()
    }

    /// Removes cancellations and findings older than `retention`.
    pub fn remove_expired(&mut self, unix_time: u64, retention: Micros) {
        let is_expired = |at: u64| unix_time > at.saturating_add(retention.0);
        let entries = self.entries.iter();
        let expired = entries.filter(|(_, entry)| is_expired(entry.committed_at));
        let expired: Vec<JobId> = expired.map(|(job, _)| job.clone()).collect();
        for job in expired {
            let machines = self.entries.remove(&job).map(|entry| entry.machines);
            for machine in machines.unwrap_or_default().into_keys() {
                self.stop_tracking(&machine, &job);
            }
            for acknowledged in self.acknowledged.values_mut() {
                acknowledged.jobs.remove(&job);
            }
        }
        self.cleared.drop_while(|(at, _)| is_expired(*at));
    }
}

/// Returns the names of the jobs that have active tasks (any state but exited) in a heartbeat.
fn active_jobs(heartbeat: &Heartbeat) -> BTreeSet<&str> {
    let active = heartbeat
        .tasks
        .iter()
        .filter(|t| t.state != TaskState::Exited);
    let jobs = active.filter_map(|t| t.task.split_once('/').map(|(job, _)| job));
    jobs.collect()
}

#[cfg(test)]
mod tests;
