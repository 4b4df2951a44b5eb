//! Which of the other controllers are reachable, and which were not lately.

use super::super::ControllerStatus;
use super::{CONTACT_DELAY, Machine, Micros, PARTITION_LINGER, Timeouts};
use std::collections::{BTreeMap, BTreeSet};

/// The other controllers, as seen from this one.
///
/// Invariants: `stable_since` is none while any controller is unreachable. What is dated counts for
/// [`PARTITION_LINGER`] after it was last so, `last_contacts` excepted, of which only the newest matters.
#[derive(Debug, Default)]
pub(super) struct ControllerReachability {
    /// Since when all controllers have been reachable, from here and from each other.
    stable_since: Option<Micros>,
    /// Controllers that are or were unreachable, and when they last were.
    unreachable: BTreeMap<String, Micros>,
    /// Zones with such a controller, and when it last was unreachable.
    degraded_zones: BTreeMap<String, Micros>,
    /// When two controllers or more were last unreachable together.
    several_unreachable_at: Option<Micros>,
    /// Zones of which no controller is reachable now.
    isolated_zones: BTreeSet<String>,
    /// When each controller last reported through the state service which machines it hears.
    last_contacts: BTreeMap<String, Micros>,
}

impl ControllerReachability {
    pub(super) fn observe(&mut self, controllers: &[ControllerStatus], now: Micros) {
        let unreachable = controllers.iter().filter(|c| !c.is_reachable);
        self.isolated_zones = unreachable.clone().map(|c| c.zone.clone()).collect();
        for other in controllers.iter().filter(|c| c.is_reachable) {
            self.isolated_zones.remove(&other.zone);
        }
        for c in unreachable.clone() {
            self.degraded_zones.insert(c.zone.clone(), now);
            self.unreachable.insert(c.node.clone(), now);
        }
        let count = unreachable.count();
        self.stable_since = (count == 0).then(|| self.stable_since.unwrap_or(now));
        if count >= 2 {
            self.several_unreachable_at = Some(now);
        }
        self.expire(now);
    }

    fn expire(&mut self, now: Micros) {
        let is_recent = |at: &Micros| now.since(*at) < PARTITION_LINGER;
        self.degraded_zones.retain(|_, at| is_recent(at));
        self.unreachable.retain(|_, at| is_recent(at));
        self.several_unreachable_at = self.several_unreachable_at.filter(is_recent);
    }

    pub(super) fn observe_contacts(&mut self, node: &str, now: Micros) {
        self.last_contacts.insert(node.to_owned(), now);
    }

    /// Since when all controllers have been reachable; none while one is not.
    pub(super) fn stable_since(&self) -> Option<Micros> {
        self.stable_since
    }

    /// Another controller sees a partition that this one does not.
    pub(super) fn reset_stability(&mut self) {
        self.stable_since = None;
    }

    pub(super) fn is_stable_for(&self, period: Micros, now: Micros) -> bool {
        self.stable_since.is_some_and(|t| now.since(t) > period)
    }

    /// Whether no controller of a zone is reachable now.
    pub(super) fn is_zone_isolated(&self, zone: &str) -> bool {
        self.isolated_zones.contains(zone)
    }

    /// Whether any controller is or was lately unreachable.
    pub(super) fn any_unreachable(&self) -> bool {
        !self.unreachable.is_empty()
    }

    /// Whether a machine's worker may have to try more than one controller before one answers.
    pub(super) fn impairs(&self, m: &Machine) -> bool {
        self.several_unreachable_at.is_some()
            || self.degraded_zones.contains_key(&m.zone)
            || self.unreachable.contains_key(&m.via)
    }

    /// Whether a machine is silent because the controller that it reports to is: that one keeps its lease alive, and
    /// the machine list shows if it fails all the same.
    ///
    /// Guards against terminating what runs well behind a partition, or with a controller that lost everything but its
    /// workers.
    pub(super) fn is_partitioned(&self, m: &Machine, timeouts: Timeouts, now: Micros) -> bool {
        let is_unreachable_now = |node: &str| {
            let at = self.unreachable.get(node);
            at.is_some_and(|at| now.since(*at) < CONTACT_DELAY)
        };
        let reports_contacts = |node: &str| {
            let limit = timeouts.heartbeat_interval.scaled(2, 1) + CONTACT_DELAY;
            let at = self.last_contacts.get(node);
            at.is_some_and(|at| now.since(*at) < limit)
        };
        (is_unreachable_now(&m.via) && !reports_contacts(&m.via)) || self.is_zone_isolated(&m.zone)
    }
}
