//! The failure detector: which machines have failed, and which are alive but out of reach.
//!
//! A machine that misses heartbeats has failed, or its heartbeats can't arrive. The two look alike from here, and the
//! wrong answer is costly both ways: a failed machine holds its tasks up, a live one that is terminated loses them.
//!
//! - **Heartbeat timeout**: the age of the last heartbeat from which a machine is *unreachable*. It gets no offers, and
//!   what was not sent to it yet is placed elsewhere. Nothing else follows from it.
//! - **Path** (controller, zone): the route of a heartbeat, from the machine's zone through the controller that passes it
//!   on. A path is *stopped* when none of its machines is heard, though many used to be.
//! - **Grace period**: how long a machine may be quiet before it is *suspected*. It is longer while a controller, a zone
//!   or a path is in trouble, as a worker needs time to find another controller.
//! - **Partition**: when much of a zone, or of a controller's workers, is suspected together, or while the controller
//!   of a machine is unreachable itself, suspicion is *suppressed* or waits until the workers' leases have ended.
//! - **Failure**: a suspicion that no partition explains. The machine is terminated.
//!
//! Invariants:
//!
//! - The detector never frees a task. It names machines to terminate; their tasks run elsewhere only once the cloud has
//!   confirmed the termination.
//! - It reads no clock: every observation carries its time, and each expires by itself.
//! - It never changes a machine, except for the time of its last suppressed suspicion.

mod controllers;
mod loss;
mod paths;
mod rebalancing;
mod suspicion;

pub use loss::LossCause;

use super::machine::{Machine, MachineState};
use super::{ControllerStatus, Scheduler, SchedulerConfig};
use crate::ids::MachineId;
use crate::units::Micros;
use controllers::ControllerReachability;
use loss::RecentFailures;
use paths::HeartbeatPaths;
use std::collections::BTreeMap;

/// How long a worker waits for an answer, and then before it tries the next controller.
const WORKER_RECONNECT: Micros = Micros::secs(5);
/// How long another controller may need to report that it hears a machine.
const CONTACT_DELAY: Micros = Micros::secs(2);
/// How long the trouble of a controller or of a path counts after it ended: workers need a while to come back.
const PARTITION_LINGER: Micros = Micros::secs(10);
/// A machine whose heartbeat is late by this is unreachable.
const HEARTBEAT_SLACK: Micros = Micros::secs(1);

type Machines = BTreeMap<MachineId, Machine>;

/// The timeouts that follow from the settings.
#[derive(Debug, Clone, Copy)]
struct Timeouts {
    heartbeat_interval: Micros,
    /// From this age of its last heartbeat a machine is unreachable.
    heartbeat: Micros,
    /// By then a worker that tried two controllers in vain has reached a third.
    two_reconnects: Micros,
    /// By then the lease of a worker that hears nobody has ended, with its tasks.
    lease_expiry: Micros,
}

impl Timeouts {
    fn new(config: &SchedulerConfig) -> Timeouts {
        let heartbeat = config.heartbeat_interval.scaled(5, 4) + HEARTBEAT_SLACK;
        Timeouts {
            heartbeat_interval: config.heartbeat_interval,
            heartbeat,
            two_reconnects: heartbeat + WORKER_RECONNECT.scaled(2, 1),
            lease_expiry: config.agent_lease + heartbeat,
        }
    }
}

/// What the leader observed of controllers, paths and failures.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    controllers: ControllerReachability,
    paths: HeartbeatPaths,
    recent_failures: RecentFailures,
    /// How many workers this controller may still redirect to another until the next fleet plan.
    redirect_budget: usize,
}

impl FailureDetector {
    /// Whether all controllers have been well at the last look.
    pub(super) fn is_stable(&self) -> bool {
        self.controllers.stable_since().is_some()
    }

    /// A controller reported through the state service which machines it hears.
    pub(super) fn observe_contacts(&mut self, node: &str, now: Micros) {
        self.controllers.observe_contacts(node, now);
    }

    /// Whether nothing is heard of a zone, so that commands would not get to a machine provisioned there either.
    pub(super) fn is_zone_unreachable(&self, zone: &str) -> bool {
        self.paths.is_zone_unreachable(zone) || self.controllers.is_zone_isolated(zone)
    }

    /// Returns the machines that have failed by their silence, in the order of their ids.
    fn detect_failures(
        &mut self,
        machines: &mut Machines,
        config: &SchedulerConfig,
        now: Micros,
    ) -> Vec<MachineId> {
        let timeouts = Timeouts::new(config);
        self.recent_failures.expire(now);
        suspicion::suppress_partitioned(&self.controllers, machines, timeouts, now);
        self.paths.observe(machines, timeouts, now);
        suspicion::failed_machines(self, machines, timeouts, now)
    }
}

impl Scheduler {
    /// Takes in which of the other controllers answer this one now. While all answer, workers have no reason to look for
    /// another.
    pub fn set_controllers(&mut self, controllers: &[ControllerStatus], now: Micros) {
        self.failure_detector.controllers.observe(controllers, now);
    }

    /// Another controller can't reach one that answers here: workers beyond that partition look for another as well.
    pub fn reset_stability(&mut self) {
        self.failure_detector.controllers.reset_stability();
    }

    /// Whether a worker that just sent its heartbeat here should send the next to another controller.
    pub fn takes_redirect(&mut self) -> bool {
        self.failure_detector.take_redirect()
    }

    /// Renews the number of workers that may be redirected until the next fleet plan.
    pub(super) fn plan_redirects(&mut self, now: Micros) {
        self.failure_detector
            .plan_redirects(&self.machines, &self.config, now);
    }

    /// Takes unreachable machines out of the offers; what was not sent to them yet goes elsewhere.
    ///
    /// Guards against tasks that wait behind a partition, on machines that only another controller hears, while others
    /// have free resources.
    pub(super) fn mark_unreachable(&mut self, now: Micros) {
        let timeout = Timeouts::new(&self.config).heartbeat;
        let mut stranded = Vec::new();
        for m in self.machines.values_mut() {
            if m.is_reachable && now.since(m.reported_at) > timeout {
                m.is_reachable = false;
                stranded.extend(m.reserved.keys().cloned());
            }
        }
        for task in stranded {
            let job = self.jobs.get(&task.job);
            let p = job.and_then(|j| j.placement(task.index));
            if p.is_some_and(|p| !p.inherited && p.sent.is_none()) {
                self.release(&task.job, task.index);
                self.requeue(&task.job, now);
            }
        }
    }

    /// Terminates machines that failed, as only then their tasks may run elsewhere.
    pub(super) fn terminate_lost(&mut self, now: Micros) {
        self.count_steps(self.machines.len());
        let slow_zones = self
            .provisioning_times
            .update(&self.machines, &self.machine_types, now);
        self.events.extend(slow_zones);
        let mut failed = self.failed_by_list_or_provisioning(now);
        let timed_out =
            self.failure_detector
                .detect_failures(&mut self.machines, &self.config, now);
        failed.extend(
            timed_out
                .into_iter()
                .map(|id| (id, LossCause::HeartbeatTimeout)),
        );
        let mut lost: BTreeMap<(LossCause, String, bool), Vec<MachineId>> = BTreeMap::new();
        for (id, cause) in failed {
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            if cause == LossCause::ProvisioningTimeout {
                self.provisioning_times
                    .observe(m, &self.machine_types, false, now);
            }
            m.state = MachineState::Terminating;
            let cause = self.failure_detector.recent_failures.record(m, cause, now);
            let group = (cause, m.zone.clone(), m.spot);
            lost.entry(group).or_default().push(id);
        }
        for ((cause, zone, spot), machines) in lost {
            self.report_lost(cause, &zone, spot, &machines, now);
        }
    }

    /// The machines that the cloud reports gone, or that did not come up in time.
    fn failed_by_list_or_provisioning(&self, now: Micros) -> Vec<(MachineId, LossCause)> {
        let types = &self.machine_types;
        let mut failed = Vec::new();
        for (id, m) in &self.machines {
            if m.state == MachineState::Terminating {
                continue;
            }
            if m.lost {
                failed.push((id.clone(), LossCause::Gone));
            } else if self.provisioning_times.is_timed_out(m, types, now) {
                failed.push((id.clone(), LossCause::ProvisioningTimeout));
            }
        }
        failed
    }

    /// The leader's process was paused for so long: silence from before that is its own.
    ///
    /// Guards against a leader that was paused for much of its workers' leases and still leads, as it may after an outage
    /// of the state service: it would terminate the whole fleet for a silence in which it heard nothing.
    ///
    /// A short pause only moves what was heard along, so that a leader that is slow all the time still detects failures.
    pub fn on_process_pause(&mut self, gap: Micros, now: Micros) {
        let long = gap >= self.config.heartbeat_interval;
        for m in self.machines.values_mut() {
            if long {
                m.suspicion_suppressed_at = now;
                m.reported_at = now;
            } else {
                m.last_contact = now.min(m.last_contact + gap);
                m.reported_at = now.min(m.reported_at + gap);
            }
        }
    }
}
