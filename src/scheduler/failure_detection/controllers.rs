//! Reachability of the other controllers, at present and in the recent past.

use super::super::ControllerStatus;
use super::{CONTACT_REPORT_DELAY, Machine, Micros, PARTITION_HOLD_DOWN, Timeouts};
use std::collections::{BTreeMap, BTreeSet};

/// The reachability of the other controllers from this one.
///
/// Invariants: `stable_since` is `None` while any controller is unreachable. An entry with a time expires
/// [`PARTITION_HOLD_DOWN`] after that time, except for those of `last_contacts`, which are only ever replaced.
#[derive(Debug, Default)]
pub(super) struct ControllerReachability {
    /// Time since which all controllers have been reachable from this one and from each other.
    stable_since: Option<Micros>,
    /// Controllers that are or recently were unreachable, with the time when this was last observed.
    unreachable: BTreeMap<String, Micros>,
    /// Zones of these controllers, with the time when one was last observed as unreachable.
    degraded_zones: BTreeMap<String, Micros>,
    /// Time when two or more controllers were last unreachable at once.
    several_unreachable_at: Option<Micros>,
    /// Zones in which there are other controllers, none of which is reachable.
    isolated_zones: BTreeSet<String>,
    /// Time when each controller last reported, through the key-value store, the machines that it is in contact with.
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
        let is_recent = |at: &Micros| now.since(*at) < PARTITION_HOLD_DOWN;
        self.degraded_zones.retain(|_, at| is_recent(at));
        self.unreachable.retain(|_, at| is_recent(at));
        self.several_unreachable_at = self.several_unreachable_at.filter(is_recent);
    }

    pub(super) fn observe_contacts(&mut self, node: &str, now: Micros) {
        self.last_contacts.insert(node.to_owned(), now);
    }

    /// Returns the time since which all controllers have been reachable, or `None` if one is not.
    pub(super) fn stable_since(&self) -> Option<Micros> {
        self.stable_since
    }

    /// Records that another controller observes a partition that this one does not.
    pub(super) fn reset_stability(&mut self) {
        self.stable_since = None;
    }

    pub(super) fn is_stable_for(&self, period: Micros, now: Micros) -> bool {
        self.stable_since.is_some_and(|t| now.since(t) > period)
    }

    /// Returns whether a zone has other controllers, none of which is reachable.
    pub(super) fn is_zone_isolated(&self, zone: &str) -> bool {
        self.isolated_zones.contains(zone)
    }

    /// Returns whether any controller is or recently was unreachable.
    pub(super) fn any_recently_unreachable(&self) -> bool {
        !self.unreachable.is_empty()
    }

    /// Returns whether a machine's worker may have to try more than one controller to get a response.
    pub(super) fn is_path_impaired(&self, m: &Machine) -> bool {
        self.several_unreachable_at.is_some()
            || self.degraded_zones.contains_key(&m.zone)
            || self.unreachable.contains_key(&m.via)
    }

    /// Returns whether a machine's heartbeats can't arrive because its controller, or every controller in its zone, is
    /// unreachable.
    ///
    /// That controller still renews the worker's lease, and the machine list shows whether the machine fails meanwhile.
    /// Without this, machines would be terminated that run behind a partition, or whose controller has lost contact
    /// with everything but its workers.
    pub(super) fn is_partitioned(&self, m: &Machine, timeouts: Timeouts, now: Micros) -> bool {
        let is_unreachable_now = |node: &str| {
            let at = self.unreachable.get(node);
            at.is_some_and(|at| now.since(*at) < CONTACT_REPORT_DELAY)
        };
        let reports_contacts = |node: &str| {
            let limit = timeouts.heartbeat_interval.scaled(2, 1) + CONTACT_REPORT_DELAY;
            let at = self.last_contacts.get(node);
            at.is_some_and(|at| now.since(*at) < limit)
        };
        (is_unreachable_now(&m.via) && !reports_contacts(&m.via)) || self.is_zone_isolated(&m.zone)
    }
}
