//! The failure detector, which tells failed machines from machines that are alive but unreachable.
//!
//! A machine that misses heartbeats either has failed or is cut off by a partition. The leader can't observe the
//! difference directly, and both errors are costly: the tasks of an undetected failed machine make no progress, and
//! terminating a live machine loses the tasks on it.
//!
//! - **Heartbeat timeout**: a machine whose last heartbeat is older than this is *unreachable*. It gets no offers, and
//!   placements whose start command was not sent yet are moved elsewhere. It is not terminated for this alone.
//! - **Path** (controller, zone): the route of a heartbeat from a machine's zone through the controller that forwards
//!   it. A path is *stopped* when no heartbeat has arrived from any of its machines for several mean arrival intervals.
//! - **Grace period**: how long a machine may be without contact before it is *suspected*. It is longer while a
//!   controller, zone or path is impaired, because workers need time to reconnect to another controller.
//! - **Partition**: many machines of a zone or of a controller are suspected at the same time, or the controller of a
//!   machine is itself unreachable. Suspicion is then *suppressed*, or termination waits for the workers' leases to
//!   expire.
//! - **Failure**: a suspicion that no partition explains. The machine is terminated.
//!
//! Invariants:
//!
//! - The detector never releases a task. It selects machines to terminate; their tasks run elsewhere only after the
//!   cloud has confirmed the termination.
//! - It reads no clock: the caller passes the current time with every observation, and each observation expires on its
//!   own.
//! - It never modifies a machine, except for the time at which suspicion of it was last suppressed.

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

/// Time after which a worker gives up on a controller that does not respond and tries the next one.
const WORKER_RECONNECT_TIME: Micros = Micros::secs(5);
/// Maximum time until another controller has reported its contact with a machine to the leader.
const CONTACT_REPORT_DELAY: Micros = Micros::secs(2);
/// How long a controller or path still counts as impaired after it has recovered: workers need time to reconnect.
const PARTITION_HOLD_DOWN: Micros = Micros::secs(10);
/// Added to 5/4 of the heartbeat interval to get the heartbeat timeout.
const HEARTBEAT_SLACK: Micros = Micros::secs(1);

type Machines = BTreeMap<MachineId, Machine>;

/// Timeouts derived from the scheduler's configuration.
#[derive(Debug, Clone, Copy)]
struct Timeouts {
    heartbeat_interval: Micros,
    /// Heartbeat timeout: a machine whose last heartbeat is older than this is unreachable.
    heartbeat: Micros,
    /// Time since the last contact by which a worker that failed to reach two controllers has reached a third.
    two_reconnects: Micros,
    /// Time since the last contact by which the lease of a worker that gets no responses has expired, and its tasks are
    /// stopped.
    lease_expiry: Micros,
}

impl Timeouts {
    fn new(config: &SchedulerConfig) -> Timeouts {
        let heartbeat = config.heartbeat_interval.scaled(5, 4) + HEARTBEAT_SLACK;
        Timeouts {
            heartbeat_interval: config.heartbeat_interval,
            heartbeat,
            two_reconnects: heartbeat + WORKER_RECONNECT_TIME.scaled(2, 1),
            lease_expiry: config.worker_lease + heartbeat,
        }
    }
}

/// The leader's observations of controllers, heartbeat paths and recent machine failures.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    controllers: ControllerReachability,
    paths: HeartbeatPaths,
    recent_failures: RecentFailures,
    /// Number of workers that this controller may still redirect to other controllers before the next fleet plan.
    redirect_budget: usize,
}

impl FailureDetector {
    /// Returns whether all controllers were reachable, from this one and from each other, at the last observation.
    pub(super) fn is_stable(&self) -> bool {
        self.controllers.stable_since().is_some()
    }

    /// Records that a controller has reported, through the key-value store, the machines that it is in contact with.
    pub(super) fn observe_contacts(&mut self, node: &str, now: Micros) {
        self.controllers.observe_contacts(node, now);
    }

    /// Returns whether a zone is cut off from this controller, in which case commands would not reach a machine
    /// provisioned there.
    pub(super) fn is_zone_unreachable(&self, zone: &str) -> bool {
        self.paths.is_zone_unreachable(zone) || self.controllers.is_zone_isolated(zone)
    }

    /// Returns the machines that count as failed for lack of contact, in the order of their ids.
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
    /// Records which of the other controllers are reachable. While all are, workers have no reason to switch
    /// controllers.
    pub fn set_controllers(&mut self, controllers: &[ControllerStatus], now: Micros) {
        self.failure_detector.controllers.observe(controllers, now);
    }

    /// Restarts the time for which all controllers have been reachable.
    ///
    /// Called when another controller can't reach a controller that is reachable from this one: workers affected by
    /// that partition switch controllers too.
    pub fn reset_stability(&mut self) {
        self.failure_detector.controllers.reset_stability();
    }

    /// Returns whether a worker that has just sent a heartbeat to this controller should be redirected to another one.
    /// If so, the number of redirects that are allowed before the next fleet plan is decremented.
    pub fn take_redirect(&mut self) -> bool {
        self.failure_detector.take_redirect()
    }

    /// Sets the number of workers that may be redirected before the next fleet plan.
    pub(super) fn plan_redirects(&mut self, now: Micros) {
        self.failure_detector
            .plan_redirects(&self.machines, &self.config, now);
    }

    /// Stops offers to machines past the heartbeat timeout, and requeues their placements whose start was not sent yet.
    ///
    /// Without this, tasks would wait on machines behind a partition, in contact with another controller only, while
    /// reachable machines have free resources.
    pub(super) fn mark_unreachable(&mut self, now: Micros) {
        let timeout = Timeouts::new(&self.config).heartbeat;
        let mut affected_tasks = Vec::new();
        for m in self.machines.values_mut() {
            if m.is_reachable && now.since(m.last_heartbeat_at) > timeout {
                m.is_reachable = false;
                affected_tasks.extend(m.reserved.keys().cloned());
            }
        }
        for task in affected_tasks {
            let job = self.jobs.get(&task.job);
            let p = job.and_then(|j| j.placement(task.index));
            if p.is_some_and(|p| !p.inherited && p.sent.is_none()) {
                self.release(&task.job, task.index);
                self.requeue(&task.job, now);
            }
        }
    }

    /// Marks failed machines for termination. Their tasks may run elsewhere only after the machines are terminated.
    pub(super) fn terminate_lost(&mut self, now: Micros) {
        self.count_steps(self.machines.len());
        let slow_zones = self
            .provisioning_times
            .update(&self.machines, &self.machine_types, now);
        self.events.extend(slow_zones);
        let mut failed = self.gone_or_provisioning_timed_out(now);
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

    /// Returns the machines that the cloud reports as gone or failed, and those past their provisioning timeout.
    fn gone_or_provisioning_timed_out(&self, now: Micros) -> Vec<(MachineId, LossCause)> {
        let types = &self.machine_types;
        let mut failed = Vec::new();
        for (id, m) in &self.machines {
            if m.state == MachineState::Terminating {
                continue;
            }
            if m.is_gone {
                failed.push((id.clone(), LossCause::Gone));
            } else if self.provisioning_times.is_timed_out(m, types, now) {
                failed.push((id.clone(), LossCause::ProvisioningTimeout));
            }
        }
        failed
    }

    /// Discounts a pause of the leader's own process, during which it could not receive heartbeats.
    ///
    /// Without this, a leader that was paused for much of its workers' leases and is still the leader, as can happen
    /// after an outage of the key-value store, would time out and terminate the whole fleet.
    ///
    /// After a pause of a heartbeat interval or more, suspicion of every machine is suppressed once. After a shorter
    /// one, the contact times are only moved forward by its length, so that a leader with frequent short pauses still
    /// detects failures.
    pub fn on_process_pause(&mut self, pause: Micros, now: Micros) {
        let is_long = pause >= self.config.heartbeat_interval;
        for m in self.machines.values_mut() {
            if is_long {
                m.suspicion_suppressed_at = now;
                m.last_heartbeat_at = now;
            } else {
                m.last_contact = now.min(m.last_contact + pause);
                m.last_heartbeat_at = now.min(m.last_heartbeat_at + pause);
            }
        }
    }
}
