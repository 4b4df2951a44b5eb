//! What follows from the settings: defaults that depend on the deployment, and the configuration of the scheduler.

use crate::cloud_types::MAX_MACHINES_PER_PROVISIONING;
use crate::config::operator::Settings;
use crate::config::platform::{CloudLimits, MachineLimits, Objective, Platform, Team};
use crate::scheduler::{SchedulerConfig, TeamQuota};
use crate::units::Micros;
use std::collections::BTreeMap;

/// Memory, in KiB, that an accepted job of a few tasks takes in the cached view and at the leader together.
const JOB_KB: f64 = 4.0;
/// Share of the memory that accepted jobs may take.
const JOB_MEMORY_SHARE: f64 = 0.25;
/// Jobs that are accepted however small the memory, so that a small deployment serves at all.
const MIN_ADMISSION_CAP: usize = 50;

/// Share of the sockets that idle connections to the other controllers may take, as a divisor. Heartbeats of thousands of
/// workers wait for the leader side by side, each on a connection of its own.
const IDLE_SOCKETS_DIVISOR: usize = 16;
/// Idle connections that are always kept to another controller.
const MIN_IDLE_CONNECTIONS: usize = 8;

const DEFAULT_LEADER_LEASE_MS: u64 = 2_000;
const DEFAULT_RETRY_MS: u64 = 400;
const DEFAULT_JITTER_MS: u64 = 100;

/// Offers in a cycle for each whole core: a fifth of a second of the process's share, at a microsecond an offer.
const OFFERS_PER_CORE: f64 = 200_000.0;
/// Offers that a cycle may make however small the share.
const MIN_OFFERS_PER_CYCLE: usize = 1_000;

/// Share of a second whose cloud requests one cycle may spend on provisioning.
const SCALE_OUT_SECONDS: f64 = 0.25;
/// Machines that one cycle may provision however few requests the cloud takes.
const MIN_SCALE_OUT_PER_CYCLE: usize = 24;

/// Kind of the objectives that bound the time until a job of a class starts.
const KIND_WAIT: &str = "wait";
/// Kind of the objectives that bound the time until a team has what it is guaranteed.
const KIND_GUARANTEE: &str = "guarantee";

impl Platform {
    /// Returns the quotas of the teams by name.
    pub fn teams(&self) -> BTreeMap<String, TeamQuota> {
        let quota = |t: &Team| TeamQuota::new(t.cpus, t.cpus_max, t.gpus, t.gpus_max);
        let teams = self.facts.teams.iter();
        teams.map(|t| (t.name.clone(), quota(t))).collect()
    }

    /// Returns how many idle connections are kept to each other controller.
    pub fn kept_connections(&self) -> usize {
        let total = self.facts.machine_limits.max_sockets / IDLE_SOCKETS_DIVISOR;
        (total / self.members.len().max(1)).max(MIN_IDLE_CONNECTIONS)
    }

    /// Returns the interval between the heartbeats of a worker.
    pub fn heartbeat_interval(&self) -> Micros {
        Micros::from_secs_f64(self.facts.workers.report_s)
    }
}

impl Settings {
    /// Returns how many jobs may be accepted and not terminal: by default as many as their share of the memory holds.
    pub fn admission_cap(&self, platform: &Platform) -> usize {
        let for_jobs_kb = platform.facts.machine_limits.ram_mb * 1024.0 * JOB_MEMORY_SHARE;
        let derived = (for_jobs_kb / JOB_KB) as usize;
        self.admission_cap.unwrap_or(derived.max(MIN_ADMISSION_CAP))
    }

    /// Returns whether stored state that was lost is rebuilt.
    pub fn rebuilds(&self) -> bool {
        self.rebuild == Some(1)
    }

    /// Returns the time to live of the leader's lease.
    pub fn leader_lease(&self) -> Micros {
        Micros::millis(self.leader_lease_ms.unwrap_or(DEFAULT_LEADER_LEASE_MS))
    }

    /// Returns the configuration of the scheduler.
    pub fn scheduler_config(&self, platform: &Platform) -> SchedulerConfig {
        let facts = &platform.facts;
        SchedulerConfig {
            retry_interval: Micros::millis(self.retry_ms.unwrap_or(DEFAULT_RETRY_MS)),
            max_retry_jitter: Micros::millis(self.jitter_ms.unwrap_or(DEFAULT_JITTER_MS)),
            idle_timeout: self.idle_s.map(Micros::secs),
            reserved_places: self.reserve,
            max_offers_per_cycle: self
                .max_offers_per_cycle
                .unwrap_or_else(|| derive_max_offers(&facts.machine_limits)),
            max_scale_out_per_cycle: self
                .max_scale_out_per_cycle
                .unwrap_or_else(|| derive_max_scale_out(&facts.cloud)),
            recovery_report: self.recovery_report == Some(1),
            controllers: facts.size,
            heartbeat_interval: platform.heartbeat_interval(),
            agent_lease: Micros::from_secs_f64(facts.workers.lease_s),
            cancellation_timeout: Micros::from_secs_f64(facts.workers.cancel_s),
            list_lag: Micros::from_secs_f64(facts.cloud.list_lag_s),
            max_start_delay: shortest_waits(&facts.objectives),
            guarantee_start_delay: guarantee_within(&facts.objectives),
        }
    }
}

fn derive_max_offers(limits: &MachineLimits) -> usize {
    ((limits.core_share * OFFERS_PER_CORE) as usize).max(MIN_OFFERS_PER_CYCLE)
}

fn derive_max_scale_out(limits: &CloudLimits) -> usize {
    let machines = limits.rps * MAX_MACHINES_PER_PROVISIONING as f64 * SCALE_OUT_SECONDS;
    (machines as usize).max(MIN_SCALE_OUT_PER_CYCLE)
}

/// Returns the shortest time to start that is promised to each class.
fn shortest_waits(objectives: &[Objective]) -> BTreeMap<String, Micros> {
    let mut waits: BTreeMap<String, Micros> = BTreeMap::new();
    for objective in objectives.iter().filter(|o| o.kind == KIND_WAIT) {
        let within = Micros::from_secs_f64(objective.within_s);
        let shortest = waits.entry(objective.class.clone()).or_insert(within);
        *shortest = within.min(*shortest);
    }
    waits
}

fn guarantee_within(objectives: &[Objective]) -> Option<Micros> {
    let mut guarantees = objectives.iter().filter(|o| o.kind == KIND_GUARANTEE);
    guarantees.next().map(|o| Micros::from_secs_f64(o.within_s))
}
