//! Suspicion of machines after their grace period, and the decision whether a suspect has failed or is behind a
//! partition.

use super::controllers::ControllerReachability;
use super::{
    CONTACT_REPORT_DELAY, FailureDetector, Machine, MachineId, MachineState, Machines, Micros,
    Timeouts, WORKER_RECONNECT_TIME,
};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of machines in an unreachable zone for which a partition is assumed rather than separate failures.
const MIN_PARTITION_MACHINES: usize = 8;
/// Time to detect an unreachable controller. Before that, a failed machine can't be told from a stopped path.
const CONTROLLER_DETECTION_TIME: Micros = Micros::secs(2);
/// Maximum time since the last contact for which suspicion is suppressed because of a partition. A machine that fails
/// in this time is detected by the machine list.
const MAX_SUPPRESSION: Micros = Micros::secs(180);

/// Suppresses suspicion of machines whose heartbeats can't arrive because their controller is unreachable.
pub(super) fn suppress_partitioned(
    controllers: &ControllerReachability,
    machines: &mut Machines,
    timeouts: Timeouts,
    now: Micros,
) {
    for m in machines.values_mut() {
        if controllers.is_partitioned(m, timeouts, now)
            && now.since(m.last_contact) < MAX_SUPPRESSION
        {
            m.suspicion_suppressed_at = now;
        }
    }
}

/// Returns the suspects that count as failed: those whose lack of contact no partition explains, those that the cloud
/// has preempted, and those whose worker's lease has expired.
///
/// Without these conditions, a partition or an impaired controller would be mistaken for machine failures. When many
/// machines of a zone or of the fleet are suspected at once, they are terminated only after the workers' leases have
/// expired, except for spot machines that the cloud has preempted in large numbers.
pub(super) fn failed_machines(
    detector: &FailureDetector,
    machines: &Machines,
    timeouts: Timeouts,
    now: Micros,
) -> Vec<MachineId> {
    let grace = GracePeriods::new(detector, timeouts, now);
    let suspects = grace.suspects(machines);
    let tally = SuspectTally::new(detector, machines, &suspects);
    let has_failed = |(id, m): &(&MachineId, &Machine)| {
        m.state != MachineState::Terminating
            && suspects.contains(id)
            && (tally.is_explained_by_failures(m, detector, now)
                || m.preemption_at.is_some_and(|t| t < now)
                || grace.time_since_contact(m) > timeouts.lease_expiry.max(timeouts.two_reconnects))
    };
    let failed = machines.iter().filter(has_failed);
    failed.map(|(id, _)| id.clone()).collect()
}

/// The inputs from which each machine's grace period is computed.
struct GracePeriods<'a> {
    detector: &'a FailureDetector,
    timeouts: Timeouts,
    /// Whether all controllers have been reachable for long enough that every worker has reconnected.
    is_stable: bool,
    now: Micros,
}

impl<'a> GracePeriods<'a> {
    fn new(detector: &'a FailureDetector, timeouts: Timeouts, now: Micros) -> GracePeriods<'a> {
        let controllers = &detector.controllers;
        GracePeriods {
            detector,
            timeouts,
            is_stable: controllers.is_stable_for(timeouts.two_reconnects, now),
            now,
        }
    }

    /// Returns the time since the last contact with a machine, or since suspicion of it was last suppressed if that is
    /// later: after a partition has ended, workers get a full grace period to make contact.
    fn time_since_contact(&self, m: &Machine) -> Micros {
        self.now
            .since(m.last_contact.max(m.suspicion_suppressed_at))
    }

    /// Returns how long a machine may be without contact before it is suspected.
    ///
    /// A worker whose controller is unreachable needs time to reconnect to another one. If its path is stopped, or
    /// several controllers, its own one or one in its zone are or recently were unreachable, it may have to try two
    /// controllers before it reaches a third.
    fn grace_period(&self, m: &Machine) -> Micros {
        let t = &self.timeouts;
        let controllers = &self.detector.controllers;
        // Without this, a new leader terminated 157 live machines: it does not know the path of a machine that has not
        // sent it a heartbeat, and a controller that has lost contact with everything but its workers takes most of
        // their lease to redirect them.
        let is_path_unknown =
            m.newest_heartbeat.is_none() && controllers.any_recently_unreachable();
        if is_path_unknown {
            t.lease_expiry.max(t.two_reconnects)
        } else if self.detector.paths.is_stopped(m)
            || (!self.is_stable && controllers.is_path_impaired(m))
        {
            t.two_reconnects + CONTACT_REPORT_DELAY
        } else if self.is_stable {
            t.heartbeat + CONTROLLER_DETECTION_TIME
        } else {
            t.heartbeat + WORKER_RECONNECT_TIME + CONTACT_REPORT_DELAY
        }
    }

    /// Returns the monitored machines whose grace period is over.
    ///
    /// If many workers of one controller are overdue at once, the path through it is impaired even if it answers pings:
    /// they get the longest grace period of a worker that reconnects.
    fn suspects<'m>(&self, machines: &'m Machines) -> BTreeSet<&'m MachineId> {
        let monitored = || machines.iter().filter(|(_, m)| m.is_monitored());
        let is_overdue = |m: &Machine| self.time_since_contact(m) > self.grace_period(m);
        let mut by_controller: BTreeMap<&str, SuspectCount> = BTreeMap::new();
        for (_, m) in monitored() {
            let count = by_controller.entry(&m.via).or_default();
            count.add(false, is_overdue(m));
        }
        let max_grace_period = self.timeouts.two_reconnects + CONTACT_REPORT_DELAY;
        let is_suspect = |m: &Machine| {
            let below_threshold = by_controller[m.via.as_str()].is_below_threshold(false);
            is_overdue(m) && (below_threshold || self.time_since_contact(m) > max_grace_period)
        };
        let suspects = monitored().filter(|(_, m)| is_suspect(m));
        suspects.map(|(id, _)| id).collect()
    }
}

/// Number of machines and number of suspects among them.
#[derive(Debug, Default)]
struct SuspectCount {
    machines: usize,
    /// Number of suspected on-demand machines and number of suspected spot machines. Counts by controller do not
    /// distinguish the two and use the first number only.
    suspected: [usize; 2],
}

impl SuspectCount {
    fn add(&mut self, spot: bool, suspected: bool) {
        self.machines += 1;
        self.suspected[usize::from(spot)] += usize::from(suspected);
    }

    /// Returns whether the suspects of a kind (spot or on-demand) are few enough to be separate failures: at most a
    /// quarter of all machines, or two if that is more.
    fn is_below_threshold(&self, spot: bool) -> bool {
        self.suspected[usize::from(spot)] <= (self.machines / 4).max(2)
    }
}

/// Counts of machines and suspects, by zone and in total. Both include the machines that failed recently.
struct SuspectTally<'a> {
    by_zone: BTreeMap<&'a str, SuspectCount>,
    total: SuspectCount,
}

impl<'a> SuspectTally<'a> {
    fn new(
        detector: &'a FailureDetector,
        machines: &'a Machines,
        suspects: &BTreeSet<&MachineId>,
    ) -> SuspectTally<'a> {
        let monitored = machines.iter().filter(|(_, m)| m.is_monitored());
        let monitored = monitored.map(|(id, m)| (m.zone.as_str(), m.spot, suspects.contains(id)));
        let failed = detector.recent_failures.iter();
        let failed = failed.map(|(zone, spot)| (zone, spot, true));
        let mut tally = SuspectTally {
            by_zone: BTreeMap::new(),
            total: SuspectCount::default(),
        };
        for (zone, spot, suspected) in monitored.chain(failed) {
            let count = tally.by_zone.entry(zone).or_default();
            count.add(spot, suspected);
            tally.total.add(spot, suspected);
        }
        tally
    }

    /// Returns whether a suspect counts as failed rather than partitioned: either few machines of its kind are
    /// suspected, or it is a spot machine and the on-demand machines in its zone are in contact, as is the case when
    /// the cloud preempts many spot machines at once.
    fn is_explained_by_failures(
        &self,
        m: &Machine,
        detector: &FailureDetector,
        now: Micros,
    ) -> bool {
        let zone = &self.by_zone[m.zone.as_str()];
        // If no heartbeat arrives from a zone, the first suspects are part of a partition even while they are below
        // a quarter of the machines.
        let is_partition = zone.machines >= MIN_PARTITION_MACHINES
            && detector.paths.is_zone_unreachable_at(&m.zone, now);
        let are_separate_failures = zone.is_below_threshold(m.spot)
            && self.total.is_below_threshold(m.spot)
            && !is_partition;
        let is_mass_preemption =
            m.spot && zone.suspected[0] == 0 && self.total.is_below_threshold(false);
        are_separate_failures || is_mass_preemption
    }
}
