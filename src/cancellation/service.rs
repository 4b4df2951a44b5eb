//! Notifies the other controllers of cancellations, and terminates machines whose cancelled tasks can't be stopped.

use super::Cancellations;
use crate::clock::{Clock, sleep};
use crate::cloud::{Cloud, MAX_MACHINES_PER_TERMINATION};
use crate::futures::join_all;
use crate::membership::Membership;
use crate::peer::{Cancellation, Peer, PeerRequest, ResidueCleared};
use crate::scheduler::{Heartbeat, JobEnd, JobId, JobOutcome, MachineId};
use crate::store::{StateCache, View};
use crate::term::CurrentTerm;
use crate::units::Micros;
use log::{debug, info};
use ravenhead_index::Cursor;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// Maximum time that a user's request waits for the other controllers to acknowledge a cancellation.
const ACKNOWLEDGE_TIMEOUT: Micros = Micros::millis(500);
/// Interval between checks whether the tasks of a cancelled job are proven to be off their machines.
const PROOF_CHECK_INTERVAL: Micros = Micros::millis(100);
/// Log value: a leader can be reached, but cancelled tasks are left on machines that it should have terminated.
const LEFT_BY_LEADER: &str = "cancelled_tasks_left_by_leader";
/// Log value: no leader can be reached that would terminate machines on which cancelled tasks are left.
const LEFT_WITHOUT_LEADER: &str = "cancelled_tasks_left_without_leader";
/// Interval between checks for machines that have to be terminated because of cancelled tasks.
const RESIDUE_CHECK_INTERVAL: Micros = Micros::secs(1);

/// The cancellations that this controller knows of, and the steps that enforce them.
///
/// Invariants: a user is told that a job is cancelled only after [`CancellationService::confirm`] returned true, which
/// it does only on proof that no task of the job is on a machine or can still start; a cancellation that is recorded
/// here ends the job in this controller's scheduler, if it leads, whether or not its view shows it.
pub struct CancellationService {
    clock: Clock,
    /// Time limit for stopping the tasks of a cancelled job.
    cancel_limit: Micros,
    store: Rc<StateCache>,
    cloud: Rc<Cloud>,
    membership: Rc<Membership>,
    peers: Rc<Vec<Peer>>,
    current_term: Rc<CurrentTerm>,
    registry: RefCell<Cancellations>,
}

impl CancellationService {
    /// Creates the service without cancellations. `cancel_limit` is the time within which the tasks of a cancelled job
    /// must have stopped.
    pub fn new(
        cancel_limit: Micros,
        store: Rc<StateCache>,
        cloud: Rc<Cloud>,
        membership: Rc<Membership>,
        peers: Rc<Vec<Peer>>,
        current_term: Rc<CurrentTerm>,
    ) -> CancellationService {
        CancellationService {
            clock: Clock,
            cancel_limit,
            store,
            cloud,
            membership,
            peers,
            current_term,
            registry: RefCell::default(),
        }
    }

    /// Records cancellations, whether or not the view shows them yet.
    ///
    /// Without this, tasks could run past the time limit if the key-value store stops responding right after the
    /// commit, because no watch event would reach the leader.
    pub fn record(&self, cancelled: &[Cancellation]) {
        for cancellation in cancelled {
            self.registry.borrow_mut().insert(cancellation);
            if let Some(term) = self.current_term.get() {
                let end = JobEnd {
                    outcome: JobOutcome::Aborted,
                    at: cancellation.at,
                    done: 0,
                };
                let mut scheduler = term.scheduler.borrow_mut();
                scheduler.end_job(&cancellation.job, end);
            }
        }
    }

    /// Records machines that another controller found to run no more tasks of cancelled jobs.
    pub fn record_cleared(&self, cleared: &[ResidueCleared]) {
        let unix_time = self.clock.unix_time();
        self.registry
            .borrow_mut()
            .on_residue_cleared(cleared, unix_time);
    }

    /// Updates what is known of cancelled tasks on a machine from its heartbeat.
    pub fn on_heartbeat(&self, heartbeat: &Heartbeat) {
        let unix_time = self.clock.unix_time();
        self.registry
            .borrow_mut()
            .on_heartbeat(heartbeat, unix_time);
    }

    /// Returns whether the job is known to be cancelled by its user.
    pub fn is_cancelled(&self, job: &JobId) -> bool {
        let view = self.store.view.borrow();
        match view.end(job) {
            Some(end) => end.outcome == JobOutcome::Aborted,
            None => self.registry.borrow().contains(job),
        }
    }

    /// Returns the known cancelled jobs with the Unix time of each cancellation in microseconds.
    pub fn cancelled(&self) -> Vec<(JobId, u64)> {
        let registry = self.registry.borrow();
        registry
            .cancelled()
            .map(|(job, at)| (job.clone(), at))
            .collect()
    }

    /// Returns the cancellations that a peer has not acknowledged yet, up to the size limit of one message.
    pub fn unacknowledged(&self, peer: &str) -> Vec<Cancellation> {
        self.registry.borrow().unacknowledged(peer)
    }

    /// Records that an incarnation of a peer acknowledged cancellations.
    pub fn acknowledge(&self, peer: &str, incarnation: u64, cancelled: &[Cancellation]) {
        self.registry
            .borrow_mut()
            .acknowledge(peer, incarnation, cancelled);
    }

    /// Returns a cursor for reading the cleared machines that are found after this call.
    pub fn cleared_cursor(&self) -> Cursor {
        self.registry.borrow().residue_cleared_cursor()
    }

    /// Returns the machines found cleared since a cursor, up to the limit of one message, and the cursor for the next
    /// call.
    pub fn cleared_since(&self, from: Cursor) -> (Vec<ResidueCleared>, Cursor) {
        self.registry.borrow().residue_cleared_since(from)
    }

    /// Returns whether a user may be told that a job, which the view shows as cancelled, is cancelled: none of its tasks
    /// is on a machine or can still start. Waits until `deadline` for that.
    ///
    /// What is still to be done can fail: a worker can hang before it executes a stop command, and the cloud can be
    /// unavailable when the machine has to be terminated. So the answer does not rely on either, but on the proof that
    /// each task is off its machine.
    ///
    /// Meanwhile the other controllers are notified: a worker may send its heartbeats to any controller, and one that
    /// the key-value store refuses learns of the cancellation only from the others.
    pub async fn confirm(&self, job: &JobId, deadline: Micros) -> bool {
        let Some(cancellation) = self.committed(job) else {
            return false;
        };
        if self.is_proven(job) {
            return true;
        }
        let cancellation = [cancellation];
        if !self.registry.borrow().contains(job) {
            self.record(&cancellation);
            self.notify_peers(&cancellation).await;
        }
        loop {
            if self.is_proven(job) {
                self.registry.borrow_mut().confirm(job);
                return true;
            }
            let remaining = deadline.since(self.clock.now());
            if remaining == Micros::ZERO {
                return false;
            }
            sleep(remaining.min(PROOF_CHECK_INTERVAL)).await;
        }
    }

    /// Returns whether the tasks of a cancelled job are proven to be off their machines. The leader removes a placement
    /// only on such proof, so a view in which the job has placements only on machines that this controller had terminated
    /// proves it. If the key-value store can't be reached to remove them, the leader's own placements do as well.
    fn is_proven(&self, job: &JobId) -> bool {
        let registry = self.registry.borrow();
        let view = self.store.view.borrow();
        let is_terminated = |machine: &MachineId| registry.is_terminated(job, machine);
        registry.is_confirmed(job)
            || view.placed_on(job).all(is_terminated)
            || !self.store.reachable() && self.is_proven_by_own_term(job)
    }

    /// Returns whether this controller leads and its scheduler has proof that no task of the job is on a machine.
    ///
    /// Every placement of the job precedes the cancellation, which the view shows. So if the view shows no later leader,
    /// this controller's scheduler has every placement.
    fn is_proven_by_own_term(&self, job: &JobId) -> bool {
        let Some(term) = self.current_term.get() else {
            return false;
        };
        let is_newest = term.token() == self.store.view.borrow().highest_token();
        is_newest && term.scheduler.borrow().has_left_machines(job)
    }

    /// Returns the cancellation of a job as recorded in the view, if the job is cancelled.
    fn committed(&self, job: &JobId) -> Option<Cancellation> {
        let view = self.store.view.borrow();
        let end = view.end(job)?;
        (end.outcome == JobOutcome::Aborted).then(|| Cancellation {
            job: job.clone(),
            at: end.at,
            machines: view.machines_of(job),
        })
    }

    /// Sends cancellations to all other controllers and records which of them acknowledge. Pings repeat it for the others.
    async fn notify_peers(&self, cancelled: &[Cancellation]) {
        let calls = self.peers.iter().map(|peer| {
            let ping = PeerRequest::Ping {
                cancelled: cancelled.to_vec(),
                cleared: Vec::new(),
            };
            async move {
                let cluster_status = self.membership.cluster_status();
                peer.call(cluster_status, ping, ACKNOWLEDGE_TIMEOUT).await
            }
        });
        let answers = join_all(calls.collect()).await;
        for (peer, answer) in self.peers.iter().zip(answers) {
            match answer {
                Ok(frame) => {
                    self.membership.observe(&frame.cluster_status);
                    self.acknowledge(&peer.node, frame.cluster_status.incarnation, cancelled);
                }
                Err(e) => debug!(
                    "event=cancellation_unacknowledged peer={} error={:?}",
                    peer.node,
                    e.to_string()
                ),
            }
        }
    }

    /// Periodically terminates machines on which cancelled tasks may still run for too long.
    ///
    /// Covers cancellations whose leader has exited or crashed, or is partitioned from all other controllers, while the
    /// key-value store prevents the election of a successor, and leaders that can't reach the cloud.
    pub async fn terminate_overdue_machines(&self) {
        loop {
            sleep(RESIDUE_CHECK_INTERVAL).await;
            let unix_time = self.clock.unix_time();
            self.registry
                .borrow_mut()
                .remove_expired(unix_time, self.cancel_limit.scaled(2, 1));
            if self.membership.is_leading() && !self.membership.is_isolated() {
                continue;
            }
            // A leader without a lease that reaches no other controller does not count as the leader here: another one
            // may lead by then.
            let has_leader = self.membership.leader_reachable() && !self.membership.is_isolated();
            let (residue, reason) = if has_leader {
                (self.left_by_leader(unix_time), LEFT_BY_LEADER)
            } else {
                (self.left_without_leader(unix_time), LEFT_WITHOUT_LEADER)
            };
            self.terminate(&residue, unix_time, reason).await;
        }
    }

    /// Returns the overdue pairs of job and machine while no leader can be reached.
    fn left_without_leader(&self, unix_time: u64) -> Vec<ResidueCleared> {
        let grace_period = self.cancel_limit.scaled(7, 10);
        let overdue = self.registry.borrow().overdue(unix_time, grace_period);
        retain_recorded(&self.store.view.borrow(), overdue)
    }

    /// Returns the overdue pairs of job and machine that a reachable leader should have terminated by now: its way to the
    /// cloud may be interrupted. Only an up-to-date view shows what the leader has proof of.
    fn left_by_leader(&self, unix_time: u64) -> Vec<ResidueCleared> {
        let view = self.store.view.borrow();
        if !view.loaded || !self.store.reachable() {
            return Vec::new();
        }
        let grace_period = self.cancel_limit.scaled(7, 10);
        let overdue = self.registry.borrow().unterminated(unix_time, grace_period);
        retain_recorded(&view, overdue)
    }

    async fn terminate(&self, residue: &[ResidueCleared], unix_time: u64, reason: &str) {
        let machines: BTreeSet<MachineId> = residue.iter().map(|r| r.machine.clone()).collect();
        let machines: Vec<MachineId> = machines.into_iter().collect();
        for batch in machines.chunks(MAX_MACHINES_PER_TERMINATION) {
            if let Err(e) = self.cloud.terminate(batch).await {
                debug!("event=termination_failed error={:?}", e.to_string());
                return;
            }
            info!(
                "event=machines_terminated count={} why={reason}",
                batch.len()
            );
            let terminated: HashSet<&MachineId> = batch.iter().collect();
            let residue = residue.iter().filter(|r| terminated.contains(&r.machine));
            let residue: Vec<ResidueCleared> = residue.cloned().collect();
            self.registry
                .borrow_mut()
                .on_terminated(&residue, unix_time);
        }
    }
}

/// Keeps the overdue pairs that the view has placements for, or all of them if the view is not loaded.
fn retain_recorded(view: &View, overdue: Vec<ResidueCleared>) -> Vec<ResidueCleared> {
    if !view.loaded {
        return overdue;
    }
    let mut machines_by_job: HashMap<JobId, HashSet<MachineId>> = HashMap::new();
    let is_recorded = |residue: &ResidueCleared| {
        let machines = machines_by_job
            .entry(residue.job.clone())
            .or_insert_with(|| view.machines_of(&residue.job).into_iter().collect());
        machines.contains(&residue.machine)
    };
    overdue.into_iter().filter(is_recorded).collect()
}
