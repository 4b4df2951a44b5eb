//! The paths of heartbeats, from a zone through a controller, and which of them are stopped.

use super::{Machine, Machines, Micros, PARTITION_LINGER, Timeouts};
use std::collections::BTreeMap;

/// A path on which no heartbeat came for this, and for so many of its usual gaps, is stopped.
const STOPPED_AFTER: Micros = Micros::secs(1);
const STOPPED_AFTER_GAPS: u64 = 8;
/// A zone that is unreachable counts as such for this, though no machine is left there that could be heard.
const UNREACHABLE_LINGER: Micros = Micros::secs(30);

/// Stopped paths and unreachable zones, now or lately.
///
/// A zone is unreachable when the heartbeats of all its machines are overdue, on whatever path.
#[derive(Debug, Default)]
pub(super) struct HeartbeatPaths {
    /// By controller, then the zone of the machines; when the path was last stopped.
    stopped: BTreeMap<String, BTreeMap<String, Micros>>,
    unreachable_zones: BTreeMap<String, Micros>,
}

impl HeartbeatPaths {
    pub(super) fn observe(&mut self, machines: &Machines, timeouts: Timeouts, now: Micros) {
        self.observe_paths(machines, timeouts, now);
        self.observe_zones(machines, timeouts, now);
    }

    /// Finds the paths on which no heartbeat comes any more, though many used to.
    ///
    /// Guards against what terminated 235 live machines within two seconds: a leader that held most of a large fleet's
    /// workers lost them all at once, and a quarter of them was past its grace period before the quarter stood out.
    fn observe_paths(&mut self, machines: &Machines, timeouts: Timeouts, now: Micros) {
        let mut paths: BTreeMap<(&str, &str), (u64, Micros)> = BTreeMap::new();
        for m in machines.values().filter(|m| m.is_counted()) {
            let (workers, last) = paths.entry((&m.via, &m.zone)).or_default();
            *workers += 1;
            *last = m.reported_at.max(*last);
        }
        for ((controller, zone), (workers, last)) in paths {
            let gaps = timeouts
                .heartbeat_interval
                .scaled(STOPPED_AFTER_GAPS, workers);
            if now.since(last) > STOPPED_AFTER + gaps {
                let zones = self.stopped.entry(controller.to_owned()).or_default();
                zones.insert(zone.to_owned(), now);
            }
        }
        self.stopped.retain(|_, zones| {
            zones.retain(|_, at| now.since(*at) < PARTITION_LINGER);
            !zones.is_empty()
        });
    }

    /// Finds the zones of which no machine is heard any more.
    ///
    /// Guards against machines provisioned behind a partition, of all zones, as those there were terminated and it has
    /// the fewest now.
    fn observe_zones(&mut self, machines: &Machines, timeouts: Timeouts, now: Micros) {
        let mut last_heartbeats: BTreeMap<&str, Micros> = BTreeMap::new();
        for m in machines.values().filter(|m| m.is_counted()) {
            let last = last_heartbeats.entry(&m.zone).or_default();
            *last = m.reported_at.max(*last);
        }
        for (zone, last) in last_heartbeats {
            if now.since(last) > timeouts.heartbeat {
                self.unreachable_zones.insert(zone.to_owned(), now);
            } else {
                self.unreachable_zones.remove(zone);
            }
        }
        self.unreachable_zones
            .retain(|_, at| now.since(*at) < UNREACHABLE_LINGER);
    }

    /// Whether the path of a machine's heartbeats is or was lately stopped.
    pub(super) fn is_stopped(&self, m: &Machine) -> bool {
        let zones = self.stopped.get(&m.via);
        zones.is_some_and(|zones| zones.contains_key(&m.zone))
    }

    /// Whether a zone is or was lately unreachable.
    pub(super) fn is_zone_unreachable(&self, zone: &str) -> bool {
        self.unreachable_zones.contains_key(zone)
    }

    /// Whether a zone was found unreachable at this very time.
    pub(super) fn is_zone_unreachable_at(&self, zone: &str, now: Micros) -> bool {
        self.unreachable_zones.get(zone) == Some(&now)
    }
}
