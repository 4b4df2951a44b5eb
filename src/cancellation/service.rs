//! Telling the other controllers of cancellations, and terminating machines that can't be told.

use super::Cancellations;
use crate::clock::{Clock, sleep};
use crate::cloud::{Cloud, MAX_MACHINES_PER_TERMINATION};
use crate::futures::{join_all, timeout};
use crate::membership::Membership;
use crate::peer::{Cancellation, Peer, PeerRequest, ResidueCleared};
use crate::scheduler::{Heartbeat, JobEnd, JobId, JobOutcome, MachineId};
use crate::store::{StateCache, View};
use crate::term::CurrentTerm;
use crate::units::Micros;
use log::{debug, info};
use ravenhead_index::Cursor;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// How long a user waits for the other controllers to be told.
const ACKNOWLEDGE_TIMEOUT: Micros = Micros::millis(500);
/// How long the cloud may take to show that it answers.
const CLOUD_PROBE_TIMEOUT: Micros = Micros::millis(900);
/// An answer of the cloud counts for so long.
const CLOUD_PROBE_VALIDITY: Micros = Micros::secs(3);
/// How often machines with cancelled tasks are looked for that are left to terminate.
const RESIDUE_CHECK_INTERVAL: Micros = Micros::secs(1);

/// The cancellations that this controller knows of, and what it does about them.
///
/// Invariants: a user is told that a job is cancelled only once [`CancellationService::confirm`] held; a cancellation that
/// is recorded here ends its job at this controller's scheduler, if it leads, whatever its view shows.
pub struct CancellationService {
    clock: Clock,
    /// How long after a cancellation its tasks must be gone.
    cancel_limit: Micros,
    store: Rc<StateCache>,
    cloud: Rc<Cloud>,
    membership: Rc<Membership>,
    peers: Rc<Vec<Peer>>,
    current_term: Rc<CurrentTerm>,
    registry: RefCell<Cancellations>,
    /// When the cloud last answered a probe.
    cloud_answered_at: Cell<Micros>,
}

impl CancellationService {
    /// A controller that knows of no cancellation; `cancel_limit` is how long after one its tasks must be gone.
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
            cloud_answered_at: Cell::new(Micros::ZERO),
        }
    }

    /// Records cancellations, whether or not the view shows them yet.
    ///
    /// Guards against tasks that outlive their cancellation because the state service stopped answering right after it
    /// was committed, so that no watch tells the leader.
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

    /// Records machines that another controller found without cancelled tasks.
    pub fn record_cleared(&self, cleared: &[ResidueCleared]) {
        let unix_time = self.clock.unix_time();
        self.registry
            .borrow_mut()
            .on_residue_cleared(cleared, unix_time);
    }

    /// Takes in what a heartbeat shows of cancelled tasks on its machine.
    pub fn on_heartbeat(&self, heartbeat: &Heartbeat) {
        let unix_time = self.clock.unix_time();
        self.registry
            .borrow_mut()
            .on_heartbeat(heartbeat, unix_time);
    }

    /// Whether it is known here that a job's user cancelled it.
    pub fn is_cancelled(&self, job: &JobId) -> bool {
        let view = self.store.view.borrow();
        match view.end(job) {
            Some(end) => end.outcome == JobOutcome::Aborted,
            None => self.registry.borrow().contains(job),
        }
    }

    /// Returns the cancellations that are known, and when each was committed.
    pub fn cancelled(&self) -> Vec<(JobId, u64)> {
        let registry = self.registry.borrow();
        registry
            .cancelled()
            .map(|(job, at)| (job.clone(), at))
            .collect()
    }

    /// Returns what a peer has not acknowledged yet, as much as one message holds.
    pub fn unacknowledged(&self, peer: &str) -> Vec<Cancellation> {
        self.registry.borrow().unacknowledged(peer)
    }

    /// Records that an incarnation of a peer knows of these.
    pub fn acknowledge(&self, peer: &str, incarnation: u64, cancelled: &[Cancellation]) {
        self.registry
            .borrow_mut()
            .acknowledge(peer, incarnation, cancelled);
    }

    /// Returns the place from which a reader gets what is found cleared from now on.
    pub fn cleared_cursor(&self) -> Cursor {
        self.registry.borrow().residue_cleared_cursor()
    }

    /// Returns what was found cleared from a place on, as much as one message holds, and the place after it.
    pub fn cleared_since(&self, from: Cursor) -> (Vec<ResidueCleared>, Cursor) {
        self.registry.borrow().residue_cleared_since(from)
    }

    /// Returns whether a user may be told that a job, which the view shows as cancelled, is; false where that can't be kept.
    ///
    /// Guards against a cancelled task that outlives its time: a worker may send its heartbeats to any controller, and one
    /// that the state service refuses learns of the cancellation from us alone. All of them are told before the user is. For
    /// one that does not answer, which may be down or partitioned with its workers, the machines are terminated in time by
    /// whoever leads, or by any controller that knows; so then the cloud must answer, and another controller must know, as
    /// this one may end and the state service not tell it again. Nothing of this is needed where no task was placed, as none
    /// can be any more.
    pub async fn confirm(&self, job: &JobId) -> bool {
        let Some(cancellation) = self.committed(job) else {
            return false;
        };
        if cancellation.machines.is_empty() || self.registry.borrow().is_confirmed(job) {
            return true;
        }
        let cancellation = [cancellation];
        self.record(&cancellation);
        let acknowledged = self.notify_peers(&cancellation).await;
        // What this process alone knows would be lost with it.
        let is_kept = acknowledged == self.peers.len()
            || self.registry.borrow().is_cleared(job)
            || acknowledged > 0 && self.cloud_answers().await;
        if is_kept {
            self.registry.borrow_mut().confirm(job);
        } else {
            info!("event=cancellation_unconfirmed job={job}");
        }
        is_kept
    }

    /// The cancellation of a job as the view has it.
    fn committed(&self, job: &JobId) -> Option<Cancellation> {
        let view = self.store.view.borrow();
        let end = view.end(job)?;
        (end.outcome == JobOutcome::Aborted).then(|| Cancellation {
            job: job.clone(),
            at: end.at,
            machines: view.machines_of(job),
        })
    }

    /// Notifies all other controllers; returns how many acknowledged.
    async fn notify_peers(&self, cancelled: &[Cancellation]) -> usize {
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
        let mut acknowledged = 0;
        for (peer, answer) in self.peers.iter().zip(answers) {
            match answer {
                Ok(frame) => {
                    acknowledged += 1;
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
        acknowledged
    }

    /// Whether machines can be terminated: the cloud answers, or did just now.
    async fn cloud_answers(&self) -> bool {
        let now = self.clock.now();
        if now.since(self.cloud_answered_at.get()) < CLOUD_PROBE_VALIDITY {
            return true;
        }
        let probe = timeout(CLOUD_PROBE_TIMEOUT, self.cloud.machine_types()).await;
        let has_answered = matches!(probe, Some(Ok(_)));
        if has_answered {
            self.cloud_answered_at.set(self.clock.now());
        }
        has_answered
    }

    /// Terminates machines on which cancelled tasks may be left, where nobody who leads can be asked to.
    ///
    /// Guards against cancellations whose leader ended, or is partitioned from all others, while the state service lets
    /// nobody follow it.
    pub async fn terminate_residue(&self) {
        loop {
            sleep(RESIDUE_CHECK_INTERVAL).await;
            let unix_time = self.clock.unix_time();
            self.registry
                .borrow_mut()
                .forget(unix_time, self.cancel_limit.scaled(2, 1));
            // A leader without a lease that reaches nobody does not act as one: another may lead by now.
            if self.membership.leader_reachable() && !self.membership.is_isolated() {
                continue;
            }
            let overdue = self
                .registry
                .borrow()
                .overdue(unix_time, self.cancel_limit.scaled(7, 10));
            let residue = retain_recorded(&self.store.view.borrow(), overdue);
            self.terminate(&residue, unix_time).await;
        }
    }

    async fn terminate(&self, residue: &[ResidueCleared], unix_time: u64) {
        let machines: BTreeSet<MachineId> = residue.iter().map(|r| r.machine.clone()).collect();
        let machines: Vec<MachineId> = machines.into_iter().collect();
        for part in machines.chunks(MAX_MACHINES_PER_TERMINATION) {
            match self.cloud.terminate(part).await {
                Ok(()) => {
                    info!(
                        "event=machines_terminated count={} why=cancelled_tasks_left_without_leader",
                        part.len()
                    );
                    let terminated: HashSet<&MachineId> = part.iter().collect();
                    let cleared = residue.iter().filter(|r| terminated.contains(&r.machine));
                    let cleared: Vec<ResidueCleared> = cleared.cloned().collect();
                    self.registry
                        .borrow_mut()
                        .on_residue_cleared(&cleared, unix_time);
                }
                Err(e) => debug!("event=termination_failed error={:?}", e.to_string()),
            }
        }
    }
}

/// Those of these machines on which the view has tasks of the jobs, or all where there is no view.
fn retain_recorded(view: &View, overdue: Vec<ResidueCleared>) -> Vec<ResidueCleared> {
    if !view.loaded {
        return overdue;
    }
    let mut placed: HashMap<JobId, HashSet<MachineId>> = HashMap::new();
    let is_placed = |residue: &ResidueCleared| {
        let machines = placed
            .entry(residue.job.clone())
            .or_insert_with(|| view.machines_of(&residue.job).into_iter().collect());
        machines.contains(&residue.machine)
    };
    overdue.into_iter().filter(is_placed).collect()
}
