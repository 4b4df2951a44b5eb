//! How long new machines take to come up: which of those that are late are stuck, and which only as late as all are.

use super::Scheduler;
use super::events::SchedulerEvent;
use super::ids::MachineId;
use super::machine::{Machine, MachineState};
use super::machine_type::MachineType;
use crate::units::Micros;
use std::collections::{BTreeMap, VecDeque};

/// In tenths of the usual boot time: nearly all machines are up by then.
const ON_TIME_TENTHS: u64 = 17;
/// How long a late machine is waited for where many are late, before any of them came up.
const MIN_SLOW_TIMEOUT_TENTHS: u64 = 30;
/// The longest that any machine is waited for.
const MAX_TIMEOUT_TENTHS: u64 = 60;
/// A machine stops counting as room to come so much before it is given up.
const REPLACEMENT_LEAD_TENTHS: u64 = 1;
/// Where many are late and none of them came up, others are provisioned in their place after this.
const SLOW_REPLACEMENT_TENTHS: u64 = 24;
/// So many late machines are no sign of anything.
const TOLERATED_LATE: u64 = 2;
/// How long the boots of a zone tell something of the next.
const OBSERVATION_WINDOW: Micros = Micros::secs(300);

/// How the machines of a zone come up.
#[derive(Debug, Clone, Copy, Default)]
struct Zone {
    on_time: u64,
    late: u64,
    /// The slowest of those that came up.
    slowest: u64,
}

impl Zone {
    fn is_slow(&self) -> bool {
        self.late > TOLERATED_LATE.max((self.late + self.on_time) / 4)
    }

    /// When a machine is stuck, in tenths of the usual boot time.
    fn timeout_tenths(&self) -> u64 {
        if self.is_slow() {
            (self.slowest * 3 / 2).clamp(MIN_SLOW_TIMEOUT_TENTHS, MAX_TIMEOUT_TENTHS)
        } else {
            ON_TIME_TENTHS
        }
    }
}

/// What the scheduler remembers of boots.
#[derive(Debug, Default)]
pub(super) struct ProvisioningTimes {
    /// Machines that came up, or were given up: when, where, and after how many tenths of the usual time, if at all.
    observations: VecDeque<(Micros, String, Option<u64>)>,
    zones: BTreeMap<String, Zone>,
}

impl ProvisioningTimes {
    /// Whether much of what was provisioned in the zone of late is late.
    pub(super) fn is_slow(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(Zone::is_slow)
    }
}

impl Scheduler {
    /// How long a machine has been booting, in tenths of the usual time.
    fn provisioning_tenths(&self, m: &Machine, now: Micros) -> u64 {
        let boot = self
            .machine_types
            .get(&m.machine_type)
            .map(MachineType::boot);
        let boot = boot.unwrap_or(Micros::secs(60)).0.max(1);
        now.since(m.since).0.saturating_mul(10) / boot
    }

    /// A machine that this leader provisioned came up, or was given up as stuck.
    pub(super) fn observe_provisioning(&mut self, machine: &MachineId, up: bool, now: Micros) {
        let Some(m) = self
            .machines
            .get(machine)
            .filter(|m| m.is_provisioned_by_this_term)
        else {
            return;
        };
        let took = up.then(|| self.provisioning_tenths(m, now));
        let observations = (now, m.zone.clone(), took);
        self.provisioning_times.observations.push_back(observations);
    }

    /// Looks anew at how machines come up, zone by zone.
    ///
    /// Guards against giving up, and renting again, every new machine of a time in which all take several times as long:
    /// none of them would ever come up.
    pub(super) fn update_provisioning_times(&mut self, now: Micros) {
        let old = |(at, _, _): &(Micros, String, Option<u64>)| now.since(*at) > OBSERVATION_WINDOW;
        while self
            .provisioning_times
            .observations
            .front()
            .is_some_and(old)
        {
            self.provisioning_times.observations.pop_front();
        }
        let mut zones: BTreeMap<String, Zone> = BTreeMap::new();
        for (_, name, took) in &self.provisioning_times.observations {
            let zone = zones.entry(name.clone()).or_default();
            match took {
                Some(tenths) if *tenths <= ON_TIME_TENTHS => zone.on_time += 1,
                Some(tenths) => {
                    zone.late += 1;
                    zone.slowest = zone.slowest.max(*tenths);
                }
                None => zone.late += 1,
            }
        }
        for m in self.machines.values() {
            if m.newest.is_none() && self.is_late(m, now) {
                zones.entry(m.zone.clone()).or_default().late += 1;
            }
        }
        for (name, zone) in &zones {
            if zone.is_slow() != self.provisioning_times.is_slow(name) {
                let (name, late, on_time) = (name.clone(), zone.late, zone.on_time);
                self.events.push(if zone.is_slow() {
                    SchedulerEvent::ProvisioningSlow {
                        zone: name,
                        late,
                        on_time,
                    }
                } else {
                    SchedulerEvent::ProvisioningNormal {
                        zone: name,
                        late,
                        on_time,
                    }
                });
            }
        }
        self.provisioning_times.zones = zones;
    }

    /// Whether a machine is past the usual time of a boot, and nothing that was sent in this leader's time came of it. A
    /// new leader first gives it the time to report.
    fn is_late(&self, m: &Machine, now: Micros) -> bool {
        let boot = self
            .machine_types
            .get(&m.machine_type)
            .map(MachineType::boot);
        let quiet = boot.unwrap_or(Micros::secs(60)).scaled(1, 2);
        m.state == MachineState::Provisioning
            && m.reserved.is_empty()
            && now.since(m.last_contact) > quiet
            && self.provisioning_tenths(m, now) > ON_TIME_TENTHS
    }

    /// Whether a machine will not come up any more, as far as its zone's others tell.
    pub(super) fn is_provisioning_timed_out(&self, m: &Machine, now: Micros) -> bool {
        let zone = self
            .provisioning_times
            .zones
            .get(&m.zone)
            .copied()
            .unwrap_or_default();
        let reported = m.newest.is_some();
        self.is_late(m, now)
            && (reported || self.provisioning_tenths(m, now) > zone.timeout_tenths())
    }

    /// Whether a machine that boots counts as room to come.
    pub(super) fn is_provisioned_soon(&self, m: &Machine, now: Micros) -> bool {
        let zone = self
            .provisioning_times
            .zones
            .get(&m.zone)
            .copied()
            .unwrap_or_default();
        let limit = if zone.is_slow() && zone.slowest == 0 {
            SLOW_REPLACEMENT_TENTHS
        } else {
            zone.timeout_tenths() - REPLACEMENT_LEAD_TENTHS
        };
        self.provisioning_tenths(m, now) < limit
    }
}
