//! Notifies the other controllers of cancellations, and decides when a user may be told of one.

use super::Cancellations;
use crate::clock::{Clock, sleep};
use crate::futures::join_all;
use crate::membership::Membership;
use crate::peer::{Cancellation, Peer, PeerRequest, ResidueCleared};
use crate::scheduler::{Heartbeat, JobEnd, JobId, JobOutcome, MachineId};
use crate::store::StateCache;
use crate::term::CurrentTerm;
use crate::units::Micros;
use log::debug;
use ravenhead_index::Cursor;
use std::cell::RefCell;
use std::rc::Rc;

/// Maximum time that a user's request waits for the other controllers to acknowledge a cancellation.
const ACKNOWLEDGE_TIMEOUT: Micros = Micros::millis(500);
/// Interval between checks whether the tasks of a cancelled job are proven to be off their machines.
const PROOF_CHECK_INTERVAL: Micros = Micros::millis(100);

/// The cancellations that this controller knows of, and the steps that enforce them.
///
/// Invariants: a user is told that a job is cancelled only after [`CancellationService::confirm`] returned true, which
/// it does only on proof that no task of the job is on a machine or can still start; a cancellation that is recorded
/// here ends the job in this controller's scheduler, if it leads, whether or not its view shows it.
pub struct CancellationService {
    clock: Clock,
    registry: Rc<RefCell<Cancellations>>,
    store: Rc<StateCache>,
    membership: Rc<Membership>,
    peers: Rc<Vec<Peer>>,
    current_term: Rc<CurrentTerm>,
}

impl CancellationService {
    /// Creates the service with the cancellations of a registry.
    pub fn new(
        registry: Rc<RefCell<Cancellations>>,
        store: Rc<StateCache>,
        membership: Rc<Membership>,
        peers: Rc<Vec<Peer>>,
        current_term: Rc<CurrentTerm>,
    ) -> CancellationService {
        CancellationService {
            clock: Clock,
            registry,
            store,
            membership,
            peers,
            current_term,
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
}
