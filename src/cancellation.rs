//! Cancellations that users are told of: which controllers know of them, and where their tasks may be left.
//!
//! A user may hear "aborted" from any controller, and a worker may send its heartbeats to any controller, also to one that
//! the state service refuses. So whoever says it tells all the others first; and what none of them can tell a worker is
//! ended by terminating its machine.

mod service;

pub use service::CancellationService;

use crate::peer::{Cancellation, ResidueCleared};
use crate::scheduler::{Heartbeat, JobId, MachineId, TaskState};
use crate::units::Micros;
use ravenhead_index::{Cursor, CursorLog};
use ravenhead_recovery::HeartbeatPosition;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A start that was sent just before a cancellation can still arrive for so long: a worker waits four seconds for it.
const COMMAND_DELIVERY_TIMEOUT: Micros = Micros::secs(5);
/// Most bytes of names sent in one message, a single cancellation aside: that goes whole, and fits into a frame.
const MAX_CANCELLATION_BYTES: usize = 256 * 1024;
/// Most findings of machines without cancelled tasks sent in one message; the others follow in the next.
const MAX_CLEARED_PER_MESSAGE: usize = 8_192;

/// What is known of a machine on which cancelled tasks may be left.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Residue {
    /// Nothing that shows them gone.
    Possible,
    /// One heartbeat without them, at this position.
    AbsentOnce(HeartbeatPosition),
    /// They are gone.
    Cleared,
}

impl Residue {
    /// What is known after a heartbeat at this position, in which tasks of the job are active or are not.
    fn after(self, at: HeartbeatPosition, is_active: bool) -> Residue {
        match self {
            Residue::Cleared => Residue::Cleared,
            _ if is_active => Residue::Possible,
            Residue::Possible => Residue::AbsentOnce(at),
            Residue::AbsentOnce(before) if at > before => Residue::Cleared,
            Residue::AbsentOnce(before) => Residue::AbsentOnce(before),
        }
    }
}

/// What is known of a cancelled job.
#[derive(Debug)]
struct CancellationEntry {
    /// When it was committed, by the time of day in microseconds.
    committed_at: u64,
    machines: BTreeMap<MachineId, Residue>,
    /// Whether users may be told: all controllers know, or the machines whose tasks they can't stop will be terminated.
    confirmed: bool,
}

/// What an incarnation of another controller acknowledged.
#[derive(Debug, Default)]
struct PeerAcknowledgements {
    incarnation: u64,
    jobs: BTreeSet<JobId>,
}

/// The cancellations that one controller knows of besides what its view shows.
#[derive(Debug, Default)]
pub struct Cancellations {
    entries: BTreeMap<JobId, CancellationEntry>,
    acknowledged: BTreeMap<String, PeerAcknowledgements>,
    /// Machines on which cancelled tasks may be left, with the jobs.
    ///
    /// Guards against looking at every cancellation for every heartbeat.
    residue_by_machine: HashMap<MachineId, BTreeSet<JobId>>,
    /// Machines that were found without cancelled tasks, and when.
    cleared: CursorLog<(u64, ResidueCleared)>,
}

impl Cancellations {
    /// Takes in a cancellation, and the machines on which its tasks may be.
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

    /// A heartbeat of a machine need not be looked at for a cancelled job any more.
    fn stop_tracking(&mut self, machine: &MachineId, job: &JobId) {
        if let Some(jobs) = self.residue_by_machine.get_mut(machine) {
            jobs.remove(job);
            if jobs.is_empty() {
                self.residue_by_machine.remove(machine);
            }
        }
    }

    /// Nothing of a cancelled job is left on a machine.
    fn clear(&mut self, cleared: ResidueCleared, unix_time: u64) {
        self.stop_tracking(&cleared.machine, &cleared.job);
        self.cleared.push((unix_time, cleared));
    }

    /// The cancellations that are known, and when each was committed.
    pub fn cancelled(&self) -> impl Iterator<Item = (&JobId, u64)> {
        let entries = self.entries.iter();
        entries.map(|(job, entry)| (job, entry.committed_at))
    }

    /// Whether the job is known to be cancelled.
    pub fn contains(&self, job: &JobId) -> bool {
        self.entries.contains_key(job)
    }

    /// Whether users may be told.
    pub fn is_confirmed(&self, job: &JobId) -> bool {
        self.entries.get(job).is_some_and(|entry| entry.confirmed)
    }

    /// Whether nothing of a cancelled job is left anywhere.
    fn is_cleared(&self, job: &JobId) -> bool {
        let is_cleared = |residue: &Residue| *residue == Residue::Cleared;
        let entry = self.entries.get(job);
        entry.is_some_and(|entry| entry.machines.values().all(is_cleared))
    }

    fn confirm(&mut self, job: &JobId) {
        if let Some(entry) = self.entries.get_mut(job) {
            entry.confirmed = true;
        }
    }

    /// Returns what another controller has not acknowledged yet, as much as one message holds.
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

    /// An incarnation of another controller acknowledged these.
    ///
    /// Guards against a controller that was told, ended, and is back without a memory of it: what its former self was
    /// told it is told again.
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

    /// Takes in what a heartbeat shows of cancelled tasks on its machine: they are gone once two heartbeats in a row, from
    /// after the time in which a start could still arrive, show none.
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
            let starts_until = entry
                .committed_at
                .saturating_add(COMMAND_DELIVERY_TIMEOUT.0);
            if unix_time < starts_until {
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
            self.clear(ResidueCleared { job, machine }, unix_time);
        }
    }

    /// Tasks of these jobs are gone from these machines.
    pub fn on_residue_cleared(&mut self, cleared: &[ResidueCleared], unix_time: u64) {
        for cleared in cleared {
            let entry = self.entries.get_mut(&cleared.job);
            let residue = entry.and_then(|entry| entry.machines.get_mut(&cleared.machine));
            if let Some(residue) = residue.filter(|r| **r != Residue::Cleared) {
                *residue = Residue::Cleared;
                self.clear(cleared.clone(), unix_time);
            }
        }
    }

    /// Returns the place from which a reader gets what is found cleared from now on.
    pub fn residue_cleared_cursor(&self) -> Cursor {
        self.cleared.end()
    }

    /// Returns what was found cleared from a place on, as much as one message holds, and the place after it.
    pub fn residue_cleared_since(&self, from: Cursor) -> (Vec<ResidueCleared>, Cursor) {
        let (found, next) = self.cleared.read(from, MAX_CLEARED_PER_MESSAGE);
        (found.map(|(_, cleared)| cleared.clone()).collect(), next)
    }

    /// Returns machines on which tasks of jobs that were cancelled longer ago than `grace_period` may be left: what is to be
    /// cleared.
    pub fn overdue(&self, unix_time: u64, grace_period: Micros) -> Vec<ResidueCleared> {
        let is_overdue = |entry: &CancellationEntry| {
            unix_time > entry.committed_at.saturating_add(grace_period.0)
        };
        let overdue = self.entries.iter().filter(|(_, entry)| is_overdue(entry));
        let residue = overdue.flat_map(|(job, entry)| {
            let machines = entry.machines.iter();
            let residue = machines.filter(|(_, residue)| **residue != Residue::Cleared);
            residue.map(|(machine, _)| ResidueCleared {
                job: job.clone(),
                machine: machine.clone(),
            })
        });
        residue.collect()
    }

    /// Forgets what is older than `retention`.
    pub fn forget(&mut self, unix_time: u64, retention: Micros) {
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

/// The jobs whose tasks a heartbeat shows, other than as exited.
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
