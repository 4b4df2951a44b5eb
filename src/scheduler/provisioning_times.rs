//! How long machines take to come up: which late ones have timed out, and which are only as late as all of their zone.

use super::events::SchedulerEvent;
use super::machine::{Machine, MachineState};
use super::machine_type::MachineType;
use crate::ids::MachineId;
use crate::units::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The usual boot time in tenths, with a margin: nearly all machines are up by then.
const ON_TIME_TENTHS: u64 = 17;
/// The provisioning timeout of a zone where many are late, before any of them came up.
const MIN_SLOW_TIMEOUT_TENTHS: u64 = 30;
/// The longest provisioning timeout.
const MAX_TIMEOUT_TENTHS: u64 = 60;
/// A machine stops counting as incoming capacity so long before its timeout.
const REPLACEMENT_LEAD_TENTHS: u64 = 1;
/// Where many are late and none of them came up, replacements are provisioned after this.
const SLOW_REPLACEMENT_TENTHS: u64 = 24;
/// So many late machines are no sign of a slow zone.
const TOLERATED_LATE: u64 = 2;
/// How long an observed boot counts.
const OBSERVATION_WINDOW: Micros = Micros::secs(300);

/// Observed boots of a zone.
#[derive(Debug, Clone, Copy, Default)]
struct Zone {
    on_time: u64,
    late: u64,
    /// The slowest boot, in tenths of the usual time.
    slowest: u64,
}

impl Zone {
    fn is_slow(&self) -> bool {
        self.late > TOLERATED_LATE.max((self.late + self.on_time) / 4)
    }

    /// The provisioning timeout, in tenths of the usual boot time.
    fn timeout_tenths(&self) -> u64 {
        if self.is_slow() {
            (self.slowest * 3 / 2).clamp(MIN_SLOW_TIMEOUT_TENTHS, MAX_TIMEOUT_TENTHS)
        } else {
            ON_TIME_TENTHS
        }
    }

    /// Counts a boot of this length, or one that timed out.
    fn count(&mut self, tenths: Option<u64>) {
        if tenths.is_some_and(|t| t <= ON_TIME_TENTHS) {
            self.on_time += 1;
        } else {
            self.late += 1;
            self.slowest = self.slowest.max(tenths.unwrap_or_default());
        }
    }

    fn event(&self, name: &str) -> SchedulerEvent {
        let (zone, late, on_time) = (name.to_owned(), self.late, self.on_time);
        if self.is_slow() {
            SchedulerEvent::ProvisioningSlow {
                zone,
                late,
                on_time,
            }
        } else {
            SchedulerEvent::ProvisioningNormal {
                zone,
                late,
                on_time,
            }
        }
    }
}

/// Machine types by name.
type MachineTypes = BTreeMap<String, MachineType>;

/// The usual boot time of a machine whose type is not known.
const UNKNOWN_BOOT: Micros = Micros::secs(60);

/// A machine that came up or timed out.
#[derive(Debug)]
struct Observation {
    at: Micros,
    zone: String,
    /// How long it took, in tenths of the usual time; none if it did not come up.
    tenths: Option<u64>,
}

/// Recent boots, and what they say of each zone.
///
/// `zones` is as of the last [`update`](ProvisioningTimes::update).
#[derive(Debug, Default)]
pub(super) struct ProvisioningTimes {
    /// The oldest first.
    observations: VecDeque<Observation>,
    zones: BTreeMap<String, Zone>,
}

impl ProvisioningTimes {
    /// Whether many of the zone's recently provisioned machines are late.
    pub(super) fn is_slow(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(Zone::is_slow)
    }

    fn zone(&self, name: &str) -> Zone {
        self.zones.get(name).copied().unwrap_or_default()
    }

    /// Takes in that a machine came up or timed out. What an earlier leader provisioned does not count.
    pub(super) fn observe(&mut self, m: &Machine, types: &MachineTypes, up: bool, now: Micros) {
        if m.is_provisioned_by_this_term {
            self.observations.push_back(Observation {
                at: now,
                zone: m.zone.clone(),
                tenths: up.then(|| provisioning_tenths(m, types, now)),
            });
        }
    }

    /// Updates the observations of each zone. Returns an event for each that became slow, or normal again.
    ///
    /// Guards against replacing, again and again, every new machine of a time in which all take several times as long:
    /// none of them would ever come up.
    pub(super) fn update(
        &mut self,
        machines: &BTreeMap<MachineId, Machine>,
        types: &MachineTypes,
        now: Micros,
    ) -> Vec<SchedulerEvent> {
        let expired = |o: &Observation| now.since(o.at) > OBSERVATION_WINDOW;
        while self.observations.front().is_some_and(expired) {
            self.observations.pop_front();
        }
        let mut zones: BTreeMap<String, Zone> = BTreeMap::new();
        for observation in &self.observations {
            let zone = zones.entry(observation.zone.clone()).or_default();
            zone.count(observation.tenths);
        }
        for m in machines.values() {
            if m.newest_heartbeat.is_none() && is_late(m, types, now) {
                zones.entry(m.zone.clone()).or_default().late += 1;
            }
        }
        let changed = zones
            .iter()
            .filter(|(name, zone)| zone.is_slow() != self.is_slow(name));
        let events = changed.map(|(name, zone)| zone.event(name)).collect();
        self.zones = zones;
        events
    }

    /// Whether a machine has not come up within its zone's provisioning timeout.
    pub(super) fn is_timed_out(&self, m: &Machine, types: &MachineTypes, now: Micros) -> bool {
        let reported = m.newest_heartbeat.is_some();
        let timeout = self.zone(&m.zone).timeout_tenths();
        is_late(m, types, now) && (reported || provisioning_tenths(m, types, now) > timeout)
    }

    /// Whether a machine that boots counts as incoming capacity.
    pub(super) fn is_provisioned_soon(
        &self,
        m: &Machine,
        types: &MachineTypes,
        now: Micros,
    ) -> bool {
        let zone = self.zone(&m.zone);
        let limit = if zone.is_slow() && zone.slowest == 0 {
            SLOW_REPLACEMENT_TENTHS
        } else {
            zone.timeout_tenths() - REPLACEMENT_LEAD_TENTHS
        };
        provisioning_tenths(m, types, now) < limit
    }
}

fn usual_boot(m: &Machine, types: &MachineTypes) -> Micros {
    let known = types.get(&m.machine_type);
    known.map_or(UNKNOWN_BOOT, MachineType::provisioning_time)
}

/// How long a machine has been booting, in tenths of the usual time.
fn provisioning_tenths(m: &Machine, types: &MachineTypes, now: Micros) -> u64 {
    now.since(m.provisioned_at).0.saturating_mul(10) / usual_boot(m, types).0.max(1)
}

/// Whether a machine is past the usual boot time, and this leader has not heard of it meanwhile. A new leader first gives
/// it the time to report.
fn is_late(m: &Machine, types: &MachineTypes, now: Micros) -> bool {
    m.state == MachineState::Provisioning
        && m.reserved.is_empty()
        && now.since(m.last_contact) > usual_boot(m, types).scaled(1, 2)
        && provisioning_tenths(m, types, now) > ON_TIME_TENTHS
}
