//! Provisioning times by zone, and provisioning timeouts that adapt to zones in which provisioning is slow.

use super::events::SchedulerEvent;
use super::machine::{Machine, MachineState};
use super::machine_type::MachineType;
use crate::ids::MachineId;
use crate::units::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Provisioning time up to which a machine is on time, in tenths of the usual time. Nearly all machines are ready by
/// then. Also the provisioning timeout of a zone that is not slow.
const ON_TIME_TENTHS: u64 = 17;
/// Minimum provisioning timeout of a slow zone, in tenths of the usual time.
const MIN_SLOW_TIMEOUT_TENTHS: u64 = 30;
/// Maximum provisioning timeout, in tenths of the usual time.
const MAX_TIMEOUT_TENTHS: u64 = 60;
/// How long before its timeout a machine stops counting as incoming capacity, in tenths of the usual time.
const REPLACEMENT_LEAD_TENTHS: u64 = 1;
/// Provisioning time after which a machine stops counting as incoming capacity in a slow zone where no late machine has
/// become ready, in tenths of the usual time.
const SLOW_REPLACEMENT_TENTHS: u64 = 24;
/// Maximum number of late machines in a zone that does not count as slow, however few are on time.
const TOLERATED_LATE: u64 = 2;
/// How long an observation is kept.
const OBSERVATION_WINDOW: Micros = Micros::secs(300);

/// Recent provisioning times of a zone.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneTimes {
    /// Number of machines that became ready on time.
    on_time: u64,
    /// Number of machines that became ready late, timed out, or are still being provisioned and late.
    late: u64,
    /// Longest provisioning time of a late machine that became ready, in tenths of the usual time; 0 if there is none.
    slowest_tenths: u64,
}

impl ZoneTimes {
    /// Returns whether more than a quarter of the machines are late, and more than [`TOLERATED_LATE`].
    fn is_slow(&self) -> bool {
        self.late > TOLERATED_LATE.max((self.late + self.on_time) / 4)
    }

    /// Returns the provisioning timeout, in tenths of the usual provisioning time.
    fn timeout_tenths(&self) -> u64 {
        if self.is_slow() {
            (self.slowest_tenths * 3 / 2).clamp(MIN_SLOW_TIMEOUT_TENTHS, MAX_TIMEOUT_TENTHS)
        } else {
            ON_TIME_TENTHS
        }
    }

    /// Counts a machine that became ready after this time, in tenths of the usual time, or that timed out (`None`).
    fn count(&mut self, tenths: Option<u64>) {
        if tenths.is_some_and(|t| t <= ON_TIME_TENTHS) {
            self.on_time += 1;
        } else {
            self.late += 1;
            self.slowest_tenths = self.slowest_tenths.max(tenths.unwrap_or_default());
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

/// Machine types by their names.
type MachineTypes = BTreeMap<String, MachineType>;

/// Provisioning time that is assumed for a machine whose type is not known.
const UNKNOWN_TYPE_PROVISIONING_TIME: Micros = Micros::secs(60);

/// The outcome of provisioning one machine.
#[derive(Debug)]
struct Observation {
    at: Micros,
    zone: String,
    /// Provisioning time in tenths of the usual time; `None` if the machine timed out.
    tenths: Option<u64>,
}

/// Recent observations of provisioning, and their summary by zone.
///
/// `zones` is recomputed by [`update`](ProvisioningTimes::update) only.
#[derive(Debug, Default)]
pub(super) struct ProvisioningTimes {
    /// Observations, oldest first.
    observations: VecDeque<Observation>,
    zones: BTreeMap<String, ZoneTimes>,
}

impl ProvisioningTimes {
    /// Returns whether many of the zone's recently provisioned machines are late.
    pub(super) fn is_slow(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(ZoneTimes::is_slow)
    }

    fn zone(&self, name: &str) -> ZoneTimes {
        self.zones.get(name).copied().unwrap_or_default()
    }

    /// Records that a machine became ready (`is_ready`) or timed out. Machines provisioned by an earlier leader are
    /// ignored.
    pub(super) fn observe(
        &mut self,
        m: &Machine,
        types: &MachineTypes,
        is_ready: bool,
        now: Micros,
    ) {
        if m.is_provisioned_by_this_term {
            self.observations.push_back(Observation {
                at: now,
                zone: m.zone.clone(),
                tenths: is_ready.then(|| provisioning_tenths(m, types, now)),
            });
        }
    }

    /// Updates the summary of each zone. Returns an event for each zone that became slow or is no longer slow.
    ///
    /// Without the longer timeouts of slow zones, when every machine takes several times the usual time, each would be
    /// terminated and replaced before it is ready, and none would ever become ready.
    pub(super) fn update(
        &mut self,
        machines: &BTreeMap<MachineId, Machine>,
        types: &MachineTypes,
        now: Micros,
    ) -> Vec<SchedulerEvent> {
        let is_expired = |o: &Observation| now.since(o.at) > OBSERVATION_WINDOW;
        while self.observations.front().is_some_and(is_expired) {
            self.observations.pop_front();
        }
        let mut zones: BTreeMap<String, ZoneTimes> = BTreeMap::new();
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

    /// Returns whether a machine has not become ready within its zone's provisioning timeout. A machine that is late
    /// although this leader has received a heartbeat from it counts as timed out at once.
    pub(super) fn is_timed_out(&self, m: &Machine, types: &MachineTypes, now: Micros) -> bool {
        let has_reported = m.newest_heartbeat.is_some();
        let timeout = self.zone(&m.zone).timeout_tenths();
        is_late(m, types, now) && (has_reported || provisioning_tenths(m, types, now) > timeout)
    }

    /// Returns whether a machine that is being provisioned counts as incoming capacity.
    pub(super) fn counts_as_incoming(
        &self,
        m: &Machine,
        types: &MachineTypes,
        now: Micros,
    ) -> bool {
        let zone = self.zone(&m.zone);
        let limit = if zone.is_slow() && zone.slowest_tenths == 0 {
            SLOW_REPLACEMENT_TENTHS
        } else {
            zone.timeout_tenths() - REPLACEMENT_LEAD_TENTHS
        };
        provisioning_tenths(m, types, now) < limit
    }
}

fn usual_provisioning_time(m: &Machine, types: &MachineTypes) -> Micros {
    let machine_type = types.get(&m.machine_type);
    machine_type.map_or(
        UNKNOWN_TYPE_PROVISIONING_TIME,
        MachineType::provisioning_time,
    )
}

/// Returns the time since a machine was provisioned, in tenths of the usual provisioning time.
fn provisioning_tenths(m: &Machine, types: &MachineTypes, now: Micros) -> u64 {
    now.since(m.provisioned_at).0.saturating_mul(10) / usual_provisioning_time(m, types).0.max(1)
}

/// Returns whether a machine without tasks is still being provisioned after [`ON_TIME_TENTHS`] and has had no contact
/// for half the usual provisioning time. The latter gives machines time to report to a new leader.
fn is_late(m: &Machine, types: &MachineTypes, now: Micros) -> bool {
    m.state == MachineState::Provisioning
        && m.reserved.is_empty()
        && now.since(m.last_contact) > usual_provisioning_time(m, types).scaled(1, 2)
        && provisioning_tenths(m, types, now) > ON_TIME_TENTHS
}
