//! Values computed from the settings: defaults that depend on the deployment, and the configuration of the scheduler.

use crate::cloud_types::MAX_MACHINES_PER_PROVISIONING;
use crate::config::operator::Settings;
use crate::config::platform::{CloudLimits, MachineLimits, Objective, Platform, Team};
use crate::scheduler::{SchedulerConfig, TeamQuota};
use crate::units::Micros;
use std::collections::BTreeMap;

/// Memory, in KiB, that an accepted job with a few tasks uses, in the cached view and in the leader's state together.
const JOB_MEMORY_KIB: f64 = 4.0;
/// Share of the memory limit that accepted jobs may use.
const JOB_MEMORY_SHARE: f64 = 0.25;
/// Lower bound of the derived admission cap, so that a controller with very little memory still accepts jobs.
const MIN_ADMISSION_CAP: usize = 50;

/// Divisor of the socket limit that gives the total number of idle connections kept to the other controllers. Many
/// are needed, because thousands of forwarded heartbeats may wait for the leader at the same time, each on its own
/// connection.
const IDLE_SOCKETS_DIVISOR: usize = 16;
/// Lower bound of the number of idle connections kept to each other controller.
const MIN_IDLE_PEER_CONNECTIONS: usize = 8;

const DEFAULT_LEADER_LEASE_MS: u64 = 2_000;
const DEFAULT_RETRY_MS: u64 = 400;
const DEFAULT_JITTER_MS: u64 = 100;

/// Offers per scheduling cycle for a core share of 1.0: 0.2 s of processor time at 1 µs per offer.
const OFFERS_PER_CORE: f64 = 200_000.0;
/// Lower bound of the derived number of offers per scheduling cycle.
const MIN_OFFERS_PER_CYCLE: usize = 1_000;

/// Number of seconds of the cloud's request rate that one scheduling cycle may spend on provisioning.
const SCALE_OUT_SECONDS: f64 = 0.25;
/// Lower bound of the derived number of machines provisioned per scheduling cycle.
const MIN_SCALE_OUT_PER_CYCLE: usize = 24;

/// Kind of the objectives that limit the time until a job of a class starts.
const KIND_WAIT: &str = "wait";
/// Kind of the objectives that limit the time until a team gets its guaranteed resources.
const KIND_GUARANTEE: &str = "guarantee";

impl Platform {
    /// Returns the quotas of the teams, by team name.
    pub fn teams(&self) -> BTreeMap<String, TeamQuota> {
        let quota = |t: &Team| TeamQuota::new(t.cpus, t.cpus_max, t.gpus, t.gpus_max);
        let teams = self.facts.teams.iter();
        teams.map(|t| (t.name.clone(), quota(t))).collect()
    }

    /// Returns the maximum number of idle connections kept to each other controller.
    pub fn max_idle_peer_connections(&self) -> usize {
        let total = self.facts.machine_limits.max_sockets / IDLE_SOCKETS_DIVISOR;
        (total / self.members.len().max(1)).max(MIN_IDLE_PEER_CONNECTIONS)
    }

    /// Returns the interval between the heartbeats of a worker.
    pub fn heartbeat_interval(&self) -> Micros {
        Micros::from_secs_f64(self.facts.workers.report_s)
    }
}

impl Settings {
    /// Returns the maximum number of accepted jobs that have not reached a terminal state. The default is the number of
    /// jobs that fit into their share of the memory limit.
    pub fn admission_cap(&self, platform: &Platform) -> usize {
        let job_memory_kib = platform.facts.machine_limits.ram_mb * 1024.0 * JOB_MEMORY_SHARE;
        let derived = (job_memory_kib / JOB_MEMORY_KIB) as usize;
        self.admission_cap.unwrap_or(derived.max(MIN_ADMISSION_CAP))
    }

    /// Returns whether the controller rebuilds stored state that the key-value store has lost. The default is not to.
    pub fn rebuilds_lost_state(&self) -> bool {
        self.rebuild == Some(1)
    }

    /// Returns the time to live of the leader's lease.
    pub fn leader_lease(&self) -> Micros {
        Micros::millis(self.leader_lease_ms.unwrap_or(DEFAULT_LEADER_LEASE_MS))
    }

    /// Returns the configuration of the scheduler for this deployment, with the defaults of settings that are not
    /// given.
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
            worker_lease: Micros::from_secs_f64(facts.workers.lease_s),
            cancellation_timeout: Micros::from_secs_f64(facts.workers.cancel_s),
            list_lag: Micros::from_secs_f64(facts.cloud.list_lag_s),
            max_start_delay: max_start_delays(&facts.objectives),
            guarantee_start_delay: guarantee_start_delay(&facts.objectives),
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

/// Returns the maximum time until a job starts, by job class: the shortest if several objectives apply to a class.
fn max_start_delays(objectives: &[Objective]) -> BTreeMap<String, Micros> {
    let mut delays: BTreeMap<String, Micros> = BTreeMap::new();
    for objective in objectives.iter().filter(|o| o.kind == KIND_WAIT) {
        let delay = Micros::from_secs_f64(objective.within_s);
        let shortest = delays.entry(objective.class.clone()).or_insert(delay);
        *shortest = delay.min(*shortest);
    }
    delays
}

fn guarantee_start_delay(objectives: &[Objective]) -> Option<Micros> {
    let mut guarantees = objectives.iter().filter(|o| o.kind == KIND_GUARANTEE);
    guarantees.next().map(|o| Micros::from_secs_f64(o.within_s))
}
