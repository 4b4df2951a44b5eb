//! The platform's settings file (TOML): what it says of this controller and of the deployment.

use crate::config::error::{ConfigError, InvalidSetting, Reason};
use crate::config::operator::Settings;
use serde::Deserialize;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// Sockets without which a controller can't serve: some for users and workers, the state service and the cloud.
pub(super) const MIN_SOCKETS: usize = 16;
/// Sockets that each other controller takes besides: its own connections to this one and this one's to it.
pub(super) const SOCKETS_PER_MEMBER: usize = 16;

/// The fewest puts and deletes in one transaction with which a controller can work.
const MIN_TXN_OPS: u32 = 4;
/// The least size, in KiB, of the largest value with which a controller can work.
const MIN_VALUE_KB: u32 = 2;

/// Jobs below which it is worth a warning that the memory is small.
const FEW_JOBS: usize = 1_000;

/// The longest time between two heartbeats, in intervals.
const MAX_HEARTBEAT_INTERVALS: f64 = 1.25;
/// How long, in seconds, a worker waits for an answer that does not come.
const WORKER_ANSWER_TIMEOUT_S: f64 = 4.0;
/// How long, in seconds, a worker pauses before it tries the next controller.
const WORKER_FAILOVER_PAUSE_S: f64 = 1.0;
/// How long, in seconds, the next controller may take for its answer.
const NEXT_ANSWER_S: f64 = 1.0;

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Its name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// The address at which it listens for the other controllers.
    pub address: SocketAddr,
}

/// A team with its guarantee and its limit; a limit of 0 means none.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed processors.
    pub cpus: f64,
    /// Upper bound of its processors at any time.
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    pub gpus: f64,
    /// Upper bound of its accelerators at any time.
    pub gpus_max: f64,
}

/// A service level objective, as the platform repeats it.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Objective {
    /// `wait`, `up`, `finished`, `deadline`, `guarantee` …
    pub kind: String,
    /// The class of jobs that it is about.
    pub class: String,
    /// Its time limit, in seconds.
    pub within_s: f64,
}

/// The times that workers keep to.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between heartbeats, in seconds.
    pub report_s: f64,
    /// How long a worker lives without an answer, in seconds.
    pub lease_s: f64,
    /// How long after a cancellation its tasks must be gone, in seconds.
    pub cancel_s: f64,
}

/// Limits of the state service, shared by all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Size of the largest value, in KiB.
    pub value_kb: f64,
    /// Puts and deletes in one transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// How old a machine list may be, in seconds.
    pub list_lag_s: f64,
}

/// What this process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Share of one processor core.
    pub core_share: f64,
    /// Memory, in MiB.
    pub ram_mb: f64,
    /// Open sockets.
    pub max_sockets: usize,
}

/// Addresses of the regional services.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// What the platform says of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    /// Number of controllers.
    pub size: usize,
    /// Bound of the error of the time of day, in milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The times that workers keep to.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub machine_limits: MachineLimits,
}

/// The platform's settings file. Fields that it has besides are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// Name of this controller.
    pub node: String,
    /// Zone of this controller.
    pub zone: String,
    /// The address for users, workers and health checks.
    pub bind: SocketAddr,
    /// The address for the other controllers.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The regional services.
    pub external: External,
    /// The deployment.
    pub facts: Facts,
}

impl Platform {
    /// Reads and checks the file.
    ///
    /// # Errors
    ///
    /// Fails where the file can't be read or [`Platform::parse`] refuses its text.
    pub fn load(path: &Path) -> Result<Platform, ConfigError> {
        fs::read_to_string(path)
            .map_err(|e| InvalidSetting::new("file", e))
            .and_then(|text| Platform::parse(&text))
            .map_err(|invalid| ConfigError::new(path, invalid))
    }

    /// Reads and checks the text.
    ///
    /// # Errors
    ///
    /// Fails where the text is not TOML, a field is missing, or a value is one with which a controller can't work.
    pub fn parse(text: &str) -> Result<Platform, InvalidSetting> {
        let platform: Platform = toml::from_str(text).map_err(|e| {
            let line = e
                .span()
                .map_or(0, |s| text[..s.start].matches('\n').count() + 1);
            InvalidSetting::new(format!("line {line}"), Box::new(e))
        })?;
        platform.facts.check_rates_and_times()?;
        platform.check_counts()?;
        platform.facts.check_teams()?;
        Ok(platform)
    }

    fn check_counts(&self) -> Result<(), InvalidSetting> {
        let state = &self.facts.state;
        if self.node.is_empty() {
            return Err(InvalidSetting::new("node", Reason::EmptyName));
        }
        if self.facts.size == 0 {
            return Err(InvalidSetting::new("facts.size", Reason::BelowMinimum(1)));
        }
        if state.txn_ops < MIN_TXN_OPS as usize {
            let reason = Reason::BelowMinimum(MIN_TXN_OPS);
            return Err(InvalidSetting::new("facts.state.txn_ops", reason));
        }
        if state.value_kb < f64::from(MIN_VALUE_KB) {
            let reason = Reason::BelowMinimum(MIN_VALUE_KB);
            return Err(InvalidSetting::new("facts.state.value_kb", reason));
        }
        let min_sockets = MIN_SOCKETS + SOCKETS_PER_MEMBER * self.members.len();
        if self.facts.machine_limits.max_sockets < min_sockets {
            let reason = Reason::TooFewSockets {
                base: MIN_SOCKETS,
                per_member: SOCKETS_PER_MEMBER,
            };
            return Err(InvalidSetting::new(
                "facts.machine_limits.max_sockets",
                reason,
            ));
        }
        Ok(())
    }

    /// Returns what a controller can work with, but not well: each as the field and the consequence.
    pub fn warnings(&self) -> Vec<String> {
        let warnings = [self.short_lease_warning(), self.small_memory_warning()];
        warnings.into_iter().flatten().collect()
    }

    /// A worker whose lease ends before it can reach the next controller stops its tasks for one missed answer.
    fn short_lease_warning(&self) -> Option<String> {
        let lease_s = self.facts.workers.lease_s;
        let missed_answer_s = self.facts.workers.report_s * MAX_HEARTBEAT_INTERVALS
            + WORKER_ANSWER_TIMEOUT_S
            + WORKER_FAILOVER_PAUSE_S
            + NEXT_ANSWER_S;
        (lease_s < missed_answer_s).then(|| {
            format!(
                "facts.workers.lease_s: {lease_s} is shorter than the {missed_answer_s:.1} s that a worker needs where \
                 one answer is missed"
            )
        })
    }

    fn small_memory_warning(&self) -> Option<String> {
        let ram_mb = self.facts.machine_limits.ram_mb;
        let jobs = Settings::default().admission_cap(self);
        (jobs < FEW_JOBS).then(|| {
            format!("facts.machine_limits.ram_mb: {ram_mb} is memory for {jobs} jobs only")
        })
    }
}

impl Facts {
    fn check_rates_and_times(&self) -> Result<(), InvalidSetting> {
        let positive = [
            ("facts.workers.report_s", self.workers.report_s),
            ("facts.workers.lease_s", self.workers.lease_s),
            ("facts.workers.cancel_s", self.workers.cancel_s),
            ("facts.state.rps", self.state.rps),
            ("facts.state.write_rps", self.state.write_rps),
            ("facts.state.value_kb", self.state.value_kb),
            ("facts.cloud.rps", self.cloud.rps),
            (
                "facts.machine_limits.core_share",
                self.machine_limits.core_share,
            ),
            ("facts.machine_limits.ram_mb", self.machine_limits.ram_mb),
        ];
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(InvalidSetting::new(field, Reason::NotPositive));
            }
        }
        let not_negative = [
            ("facts.cloud.list_lag_s", self.cloud.list_lag_s),
            ("facts.clock_error_ms", self.clock_error_ms),
        ];
        for (field, value) in not_negative {
            if !is_finite_amount(value) {
                return Err(InvalidSetting::new(field, Reason::Negative));
            }
        }
        Ok(())
    }

    fn check_teams(&self) -> Result<(), InvalidSetting> {
        for team in &self.teams {
            if team.name.is_empty() {
                return Err(InvalidSetting::new("facts.teams.name", Reason::EmptyName));
            }
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if !amounts.into_iter().all(is_finite_amount) {
                return Err(InvalidSetting::new("facts.teams", Reason::NegativeAmount));
            }
        }
        Ok(())
    }
}

fn is_finite_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
