//! Scale-out and scale-in: carries out the scheduler's fleet plans with requests to the cloud.

use super::provisioning::Provisioner;
use crate::clock::{Clock, sleep};
use crate::cloud::{Cloud, MAX_MACHINES_PER_TERMINATION};
use crate::membership::Membership;
use crate::pause_detector::PauseDetector;
use crate::scheduler::{FleetPlan, MachineId};
use crate::state_loss::StateLossRecovery;
use crate::term::{LeaderTerm, TermEnd};
use crate::units::Micros;
use futures_lite::future;
use log::info;
use std::collections::HashSet;

/// Pause between two fleet plans.
const FLEET_INTERVAL: Micros = Micros::millis(500);

/// Scales the fleet during a leader term.
pub(super) struct FleetScaler<'a> {
    pub(super) clock: Clock,
    pub(super) cloud: &'a Cloud,
    pub(super) membership: &'a Membership,
    pub(super) state_loss: &'a StateLossRecovery,
    pub(super) pause_detector: &'a PauseDetector,
    pub(super) term: &'a LeaderTerm,
    pub(super) provisioner: Provisioner<'a>,
}

impl FleetScaler<'_> {
    /// Provisions and terminates machines until the term ends; returns the reason.
    pub(super) async fn run(&self) -> TermEnd {
        self.provisioner.resume().await;
        loop {
            sleep(FLEET_INTERVAL).await;
            let now = self.clock.now();
            if let Some(gap) = self.pause_detector.check(now) {
                self.term.on_process_pause(gap, now);
            }
            if !self.term.may_send_commands(now) {
                self.terminate_overdue().await;
                continue;
            }
            let plan = self.plan(now);
            if self.term.scheduler.borrow_mut().check_rebuild(now)
                && let Err(end) = self.state_loss.mark_restored(self.term.lease(), true).await
            {
                return end;
            }
            let terminate = self.terminate(&plan.terminate, |now| self.term.may_send_commands(now));
            let provision = self.provisioner.provision(&plan.provision);
            future::zip(terminate, provision).await;
        }
    }

    fn plan(&self, now: Micros) -> FleetPlan {
        let mut scheduler = self.term.scheduler.borrow_mut();
        scheduler.set_controllers(&self.membership.controllers(), now);
        if self.membership.peer_reports_partition() {
            scheduler.reset_stability();
        }
        scheduler.plan_fleet(now, self.clock.unix_time())
    }

    /// Terminates machines with tasks whose cancellation is overdue, even though the lease may have expired.
    ///
    /// No other decision is allowed without a lease, but a cancelled task must be stopped whichever controller leads.
    /// This controller does not act if it is isolated, since it then might not know of a newer leader, or if it knows
    /// of one.
    async fn terminate_overdue(&self) {
        let is_superseded = self.membership.cluster_status().token != self.term.token();
        if self.membership.is_isolated() || is_superseded {
            return;
        }
        let unix_time = self.clock.unix_time();
        let overdue = self
            .term
            .scheduler
            .borrow_mut()
            .terminate_overdue_cancellations(unix_time);
        self.terminate(&overdue, |_| true).await;
    }

    /// Terminates machines, in as many requests as needed, while `may_terminate` allows it.
    async fn terminate(&self, machines: &[MachineId], may_terminate: impl Fn(Micros) -> bool) {
        for batch in machines.chunks(MAX_MACHINES_PER_TERMINATION) {
            // This leader may have been paused or partitioned since the decision or the previous request, and another
            // leader may be using these machines.
            if !may_terminate(self.clock.now()) {
                return;
            }
            match self.cloud.terminate(batch).await {
                Ok(()) => self.on_terminated(batch),
                Err(e) => {
                    info!("event=termination_failed error={:?}", e.to_string());
                    return;
                }
            }
        }
    }

    fn on_terminated(&self, machines: &[MachineId]) {
        info!("event=machines_terminated count={}", machines.len());
        let now = self.clock.now();
        self.term
            .scheduler
            .borrow_mut()
            .on_terminated(machines, now);
        let terminated: HashSet<&MachineId> = machines.iter().collect();
        for record in self.term.provisioning.borrow_mut().values_mut() {
            if let Some(machines) = &mut record.machines {
                machines.retain(|m| !terminated.contains(m));
            }
        }
        self.term.request_cycle();
    }
}
