//! Heartbeat paths, from a zone through a controller, and detection of those that have stopped.

use super::{Machine, Machines, Micros, PARTITION_HOLD_DOWN, Timeouts};
use std::collections::BTreeMap;

/// A path is stopped when no heartbeat has arrived on it for longer than this plus [`STOPPED_AFTER_ARRIVALS`] times the
/// mean time between its heartbeats.
const STOPPED_AFTER: Micros = Micros::secs(1);
/// Multiple of the mean time between the heartbeats of a path that is added to [`STOPPED_AFTER`].
const STOPPED_AFTER_ARRIVALS: u64 = 8;
/// How long a zone still counts as unreachable once it contains no monitored machine.
const ZONE_HOLD_DOWN: Micros = Micros::secs(30);

/// Paths that are or recently were stopped, and zones that are or recently were unreachable.
///
/// A zone is unreachable when the last heartbeat of each of its machines, on any path, is older than the heartbeat
/// timeout.
#[derive(Debug, Default)]
pub(super) struct HeartbeatPaths {
    /// Time when each path was last observed as stopped, by controller and then by zone of the machines.
    stopped: BTreeMap<String, BTreeMap<String, Micros>>,
    /// Time when each zone was last observed as unreachable.
    unreachable_zones: BTreeMap<String, Micros>,
}

impl HeartbeatPaths {
    pub(super) fn observe(&mut self, machines: &Machines, timeouts: Timeouts, now: Micros) {
        self.observe_paths(machines, timeouts, now);
        self.observe_zones(machines, timeouts, now);
    }

    /// Detects stopped paths from the time of the newest heartbeat on each path.
    ///
    /// Without this, a path failure that cuts off most workers of a large fleet at once is detected too late: a leader
    /// terminated 235 live machines within two seconds, because the first quarter of them to exceed their grace period
    /// still counted as separate failures.
    fn observe_paths(&mut self, machines: &Machines, timeouts: Timeouts, now: Micros) {
        let mut paths: BTreeMap<(&str, &str), (u64, Micros)> = BTreeMap::new();
        for m in machines.values().filter(|m| m.is_monitored()) {
            let (workers, last) = paths.entry((&m.via, &m.zone)).or_default();
            *workers += 1;
            *last = m.last_heartbeat_at.max(*last);
        }
        for ((controller, zone), (workers, last)) in paths {
            let arrival_time = timeouts
                .heartbeat_interval
                .scaled(STOPPED_AFTER_ARRIVALS, workers);
            if now.since(last) > STOPPED_AFTER + arrival_time {
                let zones = self.stopped.entry(controller.to_owned()).or_default();
                zones.insert(zone.to_owned(), now);
            }
        }
        self.stopped.retain(|_, zones| {
            zones.retain(|_, at| now.since(*at) < PARTITION_HOLD_DOWN);
            !zones.is_empty()
        });
    }

    /// Detects the zones from which no heartbeat arrives.
    ///
    /// Without this, machines would be provisioned behind a partition: the zone there has the fewest machines once its
    /// machines have been terminated, which makes it the preferred one among equally priced pools.
    fn observe_zones(&mut self, machines: &Machines, timeouts: Timeouts, now: Micros) {
        let mut last_heartbeats: BTreeMap<&str, Micros> = BTreeMap::new();
        for m in machines.values().filter(|m| m.is_monitored()) {
            let last = last_heartbeats.entry(&m.zone).or_default();
            *last = m.last_heartbeat_at.max(*last);
        }
        for (zone, last) in last_heartbeats {
            if now.since(last) > timeouts.heartbeat {
                self.unreachable_zones.insert(zone.to_owned(), now);
            } else {
                self.unreachable_zones.remove(zone);
            }
        }
        self.unreachable_zones
            .retain(|_, at| now.since(*at) < ZONE_HOLD_DOWN);
    }

    /// Returns whether the path of a machine's heartbeats is or recently was stopped.
    pub(super) fn is_stopped(&self, m: &Machine) -> bool {
        let zones = self.stopped.get(&m.via);
        zones.is_some_and(|zones| zones.contains_key(&m.zone))
    }

    /// Returns whether a zone is or recently was unreachable.
    pub(super) fn is_zone_unreachable(&self, zone: &str) -> bool {
        self.unreachable_zones.contains_key(zone)
    }

    /// Returns whether the observation made at time `now` found a zone unreachable.
    pub(super) fn is_zone_unreachable_at(&self, zone: &str, now: Micros) -> bool {
        self.unreachable_zones.get(zone) == Some(&now)
    }
}
