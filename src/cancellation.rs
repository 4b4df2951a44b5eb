//! Cancellations that users are told of: which controllers know of them, and where their tasks may be left.
//!
//! A user may hear "aborted" from any controller, and a worker may report to any controller, also to one that the state
//! service refuses. So whoever says it tells all the others first; and what none of them can tell a worker is ended by
//! returning its machine.

use crate::clock::sleep;
use crate::cloud::MAX_MACHINES_PER_TERMINATION;
use crate::controller::Controller;
use crate::http::{join_all, timeout};
use crate::peer::PeerRequest;
use crate::scheduler::{Heartbeat, JobId, JobOutcome, MachineId, TaskState};
use crate::store::View;
use crate::units::Micros;
use bitcode::{Decode, Encode};
use log::{debug, info};
use ravenhead_index::{Cursor, CursorLog};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// A start that was sent just before a cancellation can still arrive for so long: a worker waits four seconds for it.
const COMMAND_DELIVERY_TIMEOUT: Micros = Micros::secs(5);
/// Most bytes of names told in one message, a single cancellation aside: that goes whole, and fits into a frame.
const MAX_CANCELLATION_BYTES: usize = 256 * 1024;
/// Most finds of machines without cancelled tasks told in one message; the others follow in the next.
const MAX_CLEARED_PER_MESSAGE: usize = 8_192;
/// How long a user waits for the other controllers to be told.
const ACKNOWLEDGE_TIMEOUT: Micros = Micros::millis(500);
/// How long the cloud may take to show that it answers.
const CLOUD_PROBE_TIMEOUT: Micros = Micros::millis(900);
/// An answer of the cloud counts for so long.
const CLOUD_PROBE_VALIDITY: Micros = Micros::secs(3);
/// How often it is looked whether machines with cancelled tasks are left to return.
const LOOK_EVERY: Micros = Micros::secs(1);

/// A cancelled job, as controllers tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Cancellation {
    /// The job.
    pub job: JobId,
    /// When it was committed, by the time of day in microseconds.
    pub at: u64,
    /// The machines on which its tasks were placed by then.
    pub machines: Vec<MachineId>,
}

impl Cancellation {
    /// About how many bytes it takes in a message.
    fn bytes(&self) -> usize {
        let names = self.machines.iter().map(|m| m.0.len() + 1);
        self.job.0.len() + 16 + names.sum::<usize>()
    }
}

/// A machine that was found without tasks of a cancelled job.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ResidueCleared {
    /// The job.
    pub job: JobId,
    /// The machine.
    pub machine: MachineId,
}

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
    known: BTreeMap<JobId, CancellationEntry>,
    told: BTreeMap<String, PeerAcknowledgements>,
    /// Machines on which cancelled tasks may be left, with the jobs.
    ///
    /// Guards against looking at every cancellation for every heartbeat.
    residue_by_machine: HashMap<MachineId, BTreeSet<JobId>>,
    /// Machines that were found without cancelled tasks, and when.
    gone: CursorLog<(u64, ResidueCleared)>,
}

impl Cancellations {
    /// Takes in a cancellation.
    pub fn note(&mut self, c: &Cancellation) {
        let known = self
            .known
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
        self.gone.push((unix_time, gone));
    }

    /// The cancellations that are known, and when each was committed.
    pub fn cancelled(&self) -> impl Iterator<Item = (&JobId, u64)> {
        self.known.iter().map(|(job, known)| (job, known.at))
    }

    /// Whether the job is known to be cancelled.
    pub fn knows(&self, job: &JobId) -> bool {
        self.known.contains_key(job)
    }

    /// Whether users may be told.
    pub fn is_confirmed(&self, job: &JobId) -> bool {
        self.known.get(job).is_some_and(|k| k.confirmed)
    }

    /// Whether nothing of a cancelled job is left anywhere.
    fn is_cleared(&self, job: &JobId) -> bool {
        let known = self.known.get(job);
        known.is_some_and(|k| k.machines.values().all(|left| *left == Residue::Cleared))
    }

    fn confirm(&mut self, job: &JobId) {
        if let Some(known) = self.known.get_mut(job) {
            known.confirmed = true;
        }
    }

    /// What another controller was not told yet, as many as one message holds.
    pub fn unacknowledged(&self, peer: &str) -> Vec<Cancellation> {
        let told = self.told.get(peer);
        let mut bytes = 0;
        let unacknowledged = self
            .known
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

    /// A life of another controller was told of these.
    ///
    /// Guards against a controller that was told, ended, and is back without a memory of it: what its former self was
    /// told it is told again.
    pub fn acknowledge(&mut self, peer: &str, incarnation: u64, jobs: &[Cancellation]) {
        let told = self.told.entry(peer.to_owned()).or_default();
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
            let Some(known) = self.known.get_mut(job) else {
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
                .known
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
        self.gone.end()
    }

    /// What was found gone from a place on, as much as one message holds, and the place after it.
    pub fn residue_cleared_since(&self, from: Cursor) -> (Vec<ResidueCleared>, Cursor) {
        let (found, next) = self.gone.read(from, MAX_CLEARED_PER_MESSAGE);
        (found.map(|(_, gone)| gone.clone()).collect(), next)
    }

    /// Machines on which tasks of jobs that were cancelled longer ago than this may be left.
    pub fn overdue(&self, unix_time: u64, patience: Micros) -> Vec<ResidueCleared> {
        let old = self
            .known
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
        let known = self.known.iter().filter(|(_, k)| old(k.at));
        let over: Vec<JobId> = known.map(|(job, _)| job.clone()).collect();
        for job in over {
            let machines = self.known.remove(&job).map(|k| k.machines);
            for machine in machines.unwrap_or_default().into_keys() {
                self.stop_tracking(&machine, &job);
            }
            for told in self.told.values_mut() {
                told.jobs.remove(&job);
            }
        }
        self.gone.drop_while(|(at, _)| old(*at));
    }
}

/// Whether a user may be told that a job, which the view shows as cancelled, is; false where that can't be kept.
///
/// Guards against a cancelled task that outlives its time: a worker may report to any controller, and one that the state
/// service refuses learns of the cancellation from us alone. All of them are told before the user is. For one that does
/// not answer, which may be down or cut off with its workers, the machines are returned in time by whoever leads, or by
/// any controller that knows; so then the cloud must answer, and another controller must know, as this one may end and the
/// state service not tell it again. Nothing of this is needed where no task was placed, as none can be any more.
pub async fn confirm(node: &Controller, job: &JobId) -> bool {
    let cancellation = {
        let view = node.store.view.borrow();
        match view.end(job) {
            Some(end) if end.outcome == JobOutcome::Aborted => Cancellation {
                job: job.clone(),
                at: end.at,
                machines: view.machines_of(job),
            },
            _ => return false,
        }
    };
    if cancellation.machines.is_empty() || node.cancellations.borrow().is_confirmed(job) {
        return true;
    }
    let told = [cancellation];
    node.record_cancellations(&told);
    let mut acknowledged = 0;
    let tell = node.peers.iter().map(|peer| {
        let ping = PeerRequest::Ping {
            cancelled: told.to_vec(),
            gone: Vec::new(),
        };
        async move {
            peer.call(node.cluster_status(), ping, ACKNOWLEDGE_TIMEOUT)
                .await
        }
    });
    for (peer, answer) in node.peers.iter().zip(join_all(tell.collect()).await) {
        match answer {
            Ok(frame) => {
                acknowledged += 1;
                node.observe(&frame.cluster_status);
                let mut cancellations = node.cancellations.borrow_mut();
                cancellations.acknowledge(&peer.node, frame.cluster_status.incarnation, &told);
            }
            Err(e) => debug!(
                "event=cancellation_unacknowledged peer={} error={:?}",
                peer.node,
                e.to_string()
            ),
        }
    }
    // What this process alone knows would be lost with it.
    let good = acknowledged == node.peers.len()
        || node.cancellations.borrow().is_cleared(job)
        || acknowledged > 0 && cloud_answers(node).await;
    if good {
        node.cancellations.borrow_mut().confirm(job);
    } else {
        info!("event=cancellation_unconfirmed job={job}");
    }
    good
}

/// Whether machines can be returned: the cloud answers, or did just now.
async fn cloud_answers(node: &Controller) -> bool {
    let now = node.clock.now();
    if now.since(node.cloud_answered.get()) < CLOUD_PROBE_VALIDITY {
        return true;
    }
    let answered = matches!(
        timeout(CLOUD_PROBE_TIMEOUT, node.cloud.machine_types()).await,
        Some(Ok(_))
    );
    if answered {
        node.cloud_answered.set(node.clock.now());
    }
    answered
}

/// The duty that returns machines on which cancelled tasks may be left, where nobody who leads can be asked to.
///
/// Guards against cancellations whose leader ended, or is cut off from all others, while the state service lets nobody
/// follow it.
pub async fn terminate_residue(node: &Controller) {
    let cancel = Micros::from_secs_f64(node.platform.facts.workers.cancel_s);
    loop {
        sleep(LOOK_EVERY).await;
        let unix_time = node.clock.unix_time();
        node.cancellations
            .borrow_mut()
            .forget(unix_time, cancel.scaled(2, 1));
        // A leader without a lease that reaches nobody does not act as one: another may lead by now.
        if node.leader_reachable() && !node.is_isolated() {
            continue;
        }
        let overdue = node
            .cancellations
            .borrow()
            .overdue(unix_time, cancel.scaled(7, 10));
        let left = still_recorded(&node.store.view.borrow(), overdue);
        let machines: BTreeSet<MachineId> = left.iter().map(|l| l.machine.clone()).collect();
        let machines: Vec<MachineId> = machines.into_iter().collect();
        for part in machines.chunks(MAX_MACHINES_PER_TERMINATION) {
            match node.cloud.terminate(part).await {
                Ok(()) => {
                    info!(
                        "event=machines_terminated count={} why=cancelled_tasks_left_without_leader",
                        part.len()
                    );
                    let returned: HashSet<&MachineId> = part.iter().collect();
                    let left = left.iter().filter(|l| returned.contains(&l.machine));
                    let gone: Vec<ResidueCleared> = left.cloned().collect();
                    node.cancellations
                        .borrow_mut()
                        .on_residue_cleared(&gone, unix_time);
                }
                Err(e) => debug!("event=termination_failed error={:?}", e.to_string()),
            }
        }
    }
}

/// Those of these machines on which the view has tasks of the jobs, or all where there is no view.
fn still_recorded(view: &View, overdue: Vec<ResidueCleared>) -> Vec<ResidueCleared> {
    if !view.loaded {
        return overdue;
    }
    let mut placed: HashMap<JobId, HashSet<MachineId>> = HashMap::new();
    let is_placed = |left: &ResidueCleared| {
        let machines = placed
            .entry(left.job.clone())
            .or_insert_with(|| view.machines_of(&left.job).into_iter().collect());
        machines.contains(&left.machine)
    };
    overdue.into_iter().filter(is_placed).collect()
}

#[cfg(test)]
mod tests;
