//! Terminates machines whose cancelled tasks are left although the leader should have stopped them.

use super::Cancellations;
use crate::clock::{Clock, sleep};
use crate::cloud::{Cloud, MAX_MACHINES_PER_TERMINATION};
use crate::membership::Membership;
use crate::peer::ResidueCleared;
use crate::scheduler::{JobId, MachineId};
use crate::store::{StateCache, View};
use crate::units::Micros;
use log::{debug, info};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// Log value: a leader can be reached, but cancelled tasks are left on machines that it should have terminated.
const LEFT_BY_LEADER: &str = "cancelled_tasks_left_by_leader";
/// Log value: no leader can be reached that would terminate machines on which cancelled tasks are left.
const LEFT_WITHOUT_LEADER: &str = "cancelled_tasks_left_without_leader";
/// Interval between checks for machines that have to be terminated because of cancelled tasks.
const RESIDUE_CHECK_INTERVAL: Micros = Micros::secs(1);

/// Terminates machines for which the leader's time has passed.
///
/// Invariants: it does nothing while this controller leads and is not isolated; no machine is terminated before seven
/// tenths of the cancellation time limit.
pub struct OverdueTerminator {
    pub(crate) clock: Clock,
    /// Cancellations that this controller knows of.
    pub(crate) registry: Rc<RefCell<Cancellations>>,
    /// Time limit for stopping the tasks of a cancelled job.
    pub(crate) cancel_limit: Micros,
    pub(crate) store: Rc<StateCache>,
    pub(crate) cloud: Rc<Cloud>,
    pub(crate) membership: Rc<Membership>,
}

impl OverdueTerminator {
    /// Periodically terminates machines on which cancelled tasks may still run for too long; never returns.
    ///
    /// Covers cancellations whose leader has exited or crashed, or is partitioned from all other controllers, while the
    /// key-value store prevents the election of a successor, and leaders that can't reach the cloud.
    pub async fn run(&self) {
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
