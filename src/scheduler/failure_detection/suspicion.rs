//! From silence to suspicion to failure: grace periods, and partitions that explain the silence of many.

use super::controllers::ControllerReachability;
use super::{
    CONTACT_DELAY, FailureDetector, Machine, MachineId, MachineState, Machines, Micros, Timeouts,
    WORKER_RECONNECT,
};
use std::collections::{BTreeMap, BTreeSet};

/// Fewer machines of an unreachable zone than this may each have failed by itself.
const MIN_PARTITION: usize = 8;
/// Until it is seen that a controller does not answer; sooner a failed machine can't be told from a stopped path.
const CONTROLLER_DETECTION: Micros = Micros::secs(2);
/// How long suspicion is suppressed behind a partition; the machine list shows sooner if a machine failed.
const MAX_SUPPRESSION: Micros = Micros::secs(180);

/// Suppresses the suspicion of machines that can't be heard, because their controller can't.
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

/// Returns the machines quiet for so long that they count as failed.
///
/// Guards against taking a partition, or a controller's own trouble, for failures: when much of a zone, or of all, falls
/// silent together, it is terminated only once the workers' leases have ended; a wave of preempted spot machines excepted.
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
                || m.notice.is_some_and(|t| t < now)
                || grace.quiet(m) > timeouts.lease_expiry.max(timeouts.two_reconnects))
    };
    let failed = machines.iter().filter(has_failed);
    failed.map(|(id, _)| id.clone()).collect()
}

/// How long each machine may be quiet.
struct GracePeriods<'a> {
    detector: &'a FailureDetector,
    timeouts: Timeouts,
    /// Whether all controllers have been reachable for so long that every worker has found one.
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

    /// How long a machine has been quiet. Once a partition has ended, workers need as long as ever to be heard.
    fn quiet(&self, m: &Machine) -> Micros {
        self.now
            .since(m.last_contact.max(m.suspicion_suppressed_at))
    }

    /// How long a machine may be quiet.
    ///
    /// A worker whose controller is unreachable needs a while to find another one; where the path to its zone, or to two
    /// controllers, is broken it may have to try two in vain.
    fn grace_period(&self, m: &Machine) -> Micros {
        let t = &self.timeouts;
        let controllers = &self.detector.controllers;
        // Guards against what terminated 157 live machines: a new leader does not know through whom it would hear those
        // that it never heard, and a controller that lost all but its workers needs most of their lease to hand them on.
        let is_path_unknown = m.newest.is_none() && controllers.any_unreachable();
        if is_path_unknown {
            t.lease_expiry.max(t.two_reconnects)
        } else if self.detector.paths.is_stopped(m) || (!self.is_stable && controllers.impairs(m)) {
            t.two_reconnects + CONTACT_DELAY
        } else if self.is_stable {
            t.heartbeat + CONTROLLER_DETECTION
        } else {
            t.heartbeat + WORKER_RECONNECT + CONTACT_DELAY
        }
    }

    /// The counted machines whose grace period is over.
    ///
    /// Many of one controller's workers late together mean that the path through it is impaired, though it answers
    /// pings: they get the longest grace period of a worker that looks for another controller.
    fn suspects<'m>(&self, machines: &'m Machines) -> BTreeSet<&'m MachineId> {
        let counted = || machines.iter().filter(|(_, m)| m.is_counted());
        let is_late = |m: &Machine| self.quiet(m) > self.grace_period(m);
        let mut by_controller: BTreeMap<&str, SuspectCount> = BTreeMap::new();
        for (_, m) in counted() {
            let count = by_controller.entry(&m.via).or_default();
            count.add(false, is_late(m));
        }
        let longest = self.timeouts.two_reconnects + CONTACT_DELAY;
        let is_suspect = |m: &Machine| {
            let few = by_controller[m.via.as_str()].are_few(false);
            is_late(m) && (few || self.quiet(m) > longest)
        };
        let suspects = counted().filter(|(_, m)| is_suspect(m));
        suspects.map(|(id, _)| id).collect()
    }
}

/// How many machines there are and how many of them are suspected, those that failed lately included.
#[derive(Debug, Default)]
struct SuspectCount {
    machines: usize,
    /// Ordinary and spot ones.
    suspected: [usize; 2],
}

impl SuspectCount {
    fn add(&mut self, spot: bool, suspected: bool) {
        self.machines += 1;
        self.suspected[usize::from(spot)] += usize::from(suspected);
    }

    /// Whether so few of the kind are suspected that each may have failed by itself.
    fn are_few(&self, spot: bool) -> bool {
        self.suspected[usize::from(spot)] <= (self.machines / 4).max(2)
    }
}

/// Suspected machines of each zone and of all.
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
        let counted = machines.iter().filter(|(_, m)| m.is_counted());
        let counted = counted.map(|(id, m)| (m.zone.as_str(), m.spot, suspects.contains(id)));
        let failed = detector.recent_failures.iter();
        let failed = failed.map(|(zone, spot)| (zone, spot, true));
        let mut tally = SuspectTally {
            by_zone: BTreeMap::new(),
            total: SuspectCount::default(),
        };
        for (zone, spot, suspected) in counted.chain(failed) {
            let count = tally.by_zone.entry(zone).or_default();
            count.add(spot, suspected);
            tally.total.add(spot, suspected);
        }
        tally
    }

    /// Whether a suspect has failed rather than been cut off: few of its kind are suspected, or it is one of a wave of
    /// spot machines that the cloud preempted.
    fn is_explained_by_failures(
        &self,
        m: &Machine,
        detector: &FailureDetector,
        now: Micros,
    ) -> bool {
        let zone = &self.by_zone[m.zone.as_str()];
        // Of a zone from which nothing comes the first quarter to be late is no handful of failures.
        let is_partition =
            zone.machines >= MIN_PARTITION && detector.paths.is_zone_unreachable_at(&m.zone, now);
        let few = zone.are_few(m.spot) && self.total.are_few(m.spot) && !is_partition;
        let is_spot_wave = m.spot && zone.suspected[0] == 0 && self.total.are_few(false);
        few || is_spot_wave
    }
}
