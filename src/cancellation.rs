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
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A start that was sent just before a cancellation can still arrive for so long: a worker waits four seconds for it.
const COMMAND_DELIVERY_TIMEOUT: Micros = Micros::secs(5);
/// Most bytes of names told in one message, a single cancellation aside: that goes whole, and fits into a frame.
const MAX_CANCELLATION_BYTES: usize = 256 * 1024;
/// Most finds of machines without cancelled tasks told in one message; the others follow in the next.
const MAX_CLEARED_PER_MESSAGE: usize = 8_192;

/// What is known of a machine on which cancelled tasks may be left.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Residue {
    /// Nothing that shows them gone.
    Possible,
    /// One report without them, of this agent epoch and number.
    AbsentOnce((u64, u64)),
    /// They are gone.
    Cleared,
}

#[derive(Debug)]
struct CancellationEntry {
    at: u64,
    machines: BTreeMap<MachineId, Residue>,
    /// Whether users may be told: all controllers know, or what they can't stop will be returned.
    confirmed: bool,
}

/// What another controller was told.
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
    /// Takes in a cancellation.
    pub fn note(&mut self, c: &Cancellation) {
        let known = self
            .entries
            .entry(c.job.clone())
            .or_insert_with(|| CancellationEntry {
                at: c.at,
                machines: BTreeMap::new(),
                confirmed: false,
            });
        for machine in &c.machines {
            if !known.machines.contains_key(machine) {
                known.machines.insert(machine.clone(), Residue::Possible);
                let jobs = self.residue_by_machine.entry(machine.clone()).or_default();
                jobs.insert(c.job.clone());
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
    fn clear(&mut self, gone: ResidueCleared, unix_time: u64) {
        self.stop_tracking(&gone.machine, &gone.job);
        self.cleared.push((unix_time, gone));
    }

    /// The cancellations that are known, and when each was committed.
    pub fn cancelled(&self) -> impl Iterator<Item = (&JobId, u64)> {
        self.entries.iter().map(|(job, known)| (job, known.at))
    }

    /// Whether the job is known to be cancelled.
    pub fn contains(&self, job: &JobId) -> bool {
        self.entries.contains_key(job)
    }

    /// Whether users may be told.
    pub fn is_confirmed(&self, job: &JobId) -> bool {
        self.entries.get(job).is_some_and(|k| k.confirmed)
    }

    /// Whether nothing of a cancelled job is left anywhere.
    fn is_cleared(&self, job: &JobId) -> bool {
        let known = self.entries.get(job);
        known.is_some_and(|k| k.machines.values().all(|left| *left == Residue::Cleared))
    }

    fn confirm(&mut self, job: &JobId) {
        if let Some(known) = self.entries.get_mut(job) {
            known.confirmed = true;
        }
    }

    /// What another controller was not told yet, as many as one message holds.
    pub fn unacknowledged(&self, peer: &str) -> Vec<Cancellation> {
        let told = self.acknowledged.get(peer);
        let mut bytes = 0;
        let unacknowledged = self
            .entries
            .iter()
            .filter(|(job, _)| told.is_none_or(|t| !t.jobs.contains(*job)));
        unacknowledged
            .map(|(job, k)| Cancellation {
                job: job.clone(),
                at: k.at,
                machines: k.machines.keys().cloned().collect(),
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
        let told = self.acknowledged.entry(peer.to_owned()).or_default();
        if told.incarnation != incarnation {
            *told = PeerAcknowledgements {
                incarnation,
                jobs: BTreeSet::new(),
            };
        }
        told.jobs.extend(jobs.iter().map(|c| c.job.clone()));
    }

    /// A heartbeat shows whether cancelled tasks are left on its machine: they are gone once two heartbeats in a row, from after
    /// the time in which a start could still arrive, show none.
    pub fn on_report(&mut self, r: &Heartbeat, unix_time: u64) {
        let Some(jobs) = self.residue_by_machine.get(&r.machine) else {
            return;
        };
        let at = (r.agent_epoch, r.sequence);
        let active = r.tasks.iter().filter(|t| t.state != TaskState::Exited);
        let active: BTreeSet<&str> = active
            .filter_map(|t| t.task.split_once('/').map(|(job, _)| job))
            .collect();
        let mut gone = Vec::new();
        for job in jobs {
            let Some(known) = self.entries.get_mut(job) else {
                continue;
            };
            if unix_time < known.at.saturating_add(COMMAND_DELIVERY_TIMEOUT.0) {
                continue;
            }
            let Some(left) = known.machines.get_mut(&r.machine) else {
                continue;
            };
            *left = match *left {
                Residue::Cleared => Residue::Cleared,
                _ if active.contains(job.0.as_str()) => Residue::Possible,
                Residue::Possible => Residue::AbsentOnce(at),
                Residue::AbsentOnce(before) if at > before => {
                    gone.push(job.clone());
                    Residue::Cleared
                }
                Residue::AbsentOnce(before) => Residue::AbsentOnce(before),
            };
        }
        for job in gone {
            let machine = r.machine.clone();
            self.clear(ResidueCleared { job, machine }, unix_time);
        }
    }

    /// Tasks of these jobs are gone from these machines.
    pub fn on_residue_cleared(&mut self, found: &[ResidueCleared], unix_time: u64) {
        for gone in found {
            let left = self
                .entries
                .get_mut(&gone.job)
                .and_then(|k| k.machines.get_mut(&gone.machine));
            if let Some(left) = left.filter(|l| **l != Residue::Cleared) {
                *left = Residue::Cleared;
                self.clear(gone.clone(), unix_time);
            }
        }
    }

    /// The place from which a reader gets what is found gone from now on.
    pub fn residue_cleared_cursor(&self) -> Cursor {
        self.cleared.end()
    }

    /// What was found gone from a place on, as much as one message holds, and the place after it.
    pub fn residue_cleared_since(&self, from: Cursor) -> (Vec<ResidueCleared>, Cursor) {
        let (found, next) = self.cleared.read(from, MAX_CLEARED_PER_MESSAGE);
        (found.map(|(_, gone)| gone.clone()).collect(), next)
    }

    /// Machines on which tasks of jobs that were cancelled longer ago than this may be left.
    pub fn overdue(&self, unix_time: u64, patience: Micros) -> Vec<ResidueCleared> {
        let old = self
            .entries
            .iter()
            .filter(|(_, k)| unix_time > k.at.saturating_add(patience.0));
        let left = old.flat_map(|(job, k)| {
            let left = k.machines.iter().filter(|(_, l)| **l != Residue::Cleared);
            left.map(|(machine, _)| ResidueCleared {
                job: job.clone(),
                machine: machine.clone(),
            })
        });
        left.collect()
    }

    /// Forgets what is older than this.
    pub fn forget(&mut self, unix_time: u64, kept: Micros) {
        let old = |at: u64| unix_time > at.saturating_add(kept.0);
        let known = self.entries.iter().filter(|(_, k)| old(k.at));
        let over: Vec<JobId> = known.map(|(job, _)| job.clone()).collect();
        for job in over {
            let machines = self.entries.remove(&job).map(|k| k.machines);
            for machine in machines.unwrap_or_default().into_keys() {
                self.stop_tracking(&machine, &job);
            }
            for told in self.acknowledged.values_mut() {
                told.jobs.remove(&job);
            }
        }
        self.cleared.drop_while(|(at, _)| old(*at));
    }
}

#[cfg(test)]
mod tests;
