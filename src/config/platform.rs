//! The platform's settings file (TOML), which describes this controller and the deployment.

use crate::config::error::{ConfigError, InvalidSetting, Reason};
use crate::config::operator::Settings;
use serde::Deserialize;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// Minimum number of sockets for users, workers, the key-value store and the cloud together.
pub(super) const MIN_SOCKETS: usize = 16;
/// Additional sockets for each other controller: the connections that it opens to this one and those that this one
/// opens to it.
pub(super) const SOCKETS_PER_MEMBER: usize = 16;

/// Minimum number of puts and deletes per transaction that the key-value store must support.
const MIN_TXN_OPS: u32 = 4;
/// Minimum size limit of a stored value, in KiB, that the key-value store must support.
const MIN_VALUE_KB: u32 = 2;

/// Admission cap below which a warning about the small memory limit is logged.
const MIN_RECOMMENDED_ADMISSION_CAP: usize = 1_000;

/// Maximum time between two heartbeats, as a multiple of the heartbeat interval.
const MAX_HEARTBEAT_INTERVALS: f64 = 1.25;
/// Time, in seconds, after which a worker gives up waiting for the response to a heartbeat.
const WORKER_RESPONSE_TIMEOUT_S: f64 = 4.0;
/// Time, in seconds, that a worker waits after a missing response before it tries the next controller.
const WORKER_FAILOVER_PAUSE_S: f64 = 1.0;
/// Time, in seconds, allowed for the response of the next controller.
const FAILOVER_RESPONSE_S: f64 = 1.0;

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Name of the controller.
    pub node: String,
    /// Zone in which the controller runs.
    pub zone: String,
    /// Address on which it accepts connections from the other controllers.
    pub address: SocketAddr,
}

/// A team with its guarantee and limit. A limit of 0 means that there is none.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Team {
    /// Name of the team, not empty.
    pub name: String,
    /// Guaranteed processor cores.
    pub cpus: f64,
    /// Maximum number of processor cores in use at any time.
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    pub gpus: f64,
    /// Maximum number of accelerators in use at any time.
    pub gpus_max: f64,
}

/// A service level objective, as the platform's settings state it.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Objective {
    /// Kind of the objective: `wait`, `up`, `finished`, `deadline`, `guarantee` and others.
    pub kind: String,
    /// Class of the jobs to which it applies.
    pub class: String,
    /// Time limit of the objective, in seconds.
    pub within_s: f64,
}

/// Intervals and time limits of workers.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between heartbeats, in seconds.
    pub report_s: f64,
    /// Worker lease: time without a response after which a worker stops its tasks, in seconds.
    pub lease_s: f64,
    /// Time after a cancellation within which the tasks must have stopped, in seconds.
    pub cancel_s: f64,
}

/// Limits of the key-value store. All controllers together must stay within the rates.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// Maximum puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum puts and deletes in one transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// Maximum age of the machine list that the cloud returns, in seconds.
    pub list_lag_s: f64,
}

/// Resource limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Share of one processor core that the process may use; 1.0 is a whole core.
    pub core_share: f64,
    /// Memory limit, in MiB.
    pub ram_mb: f64,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
}

/// Addresses of the regional services that a controller uses.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Address of the key-value store.
    pub state: SocketAddr,
}

/// The platform's description of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    /// Number of controllers, at least 1.
    pub size: usize,
    /// Maximum error of the time of day, in milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// Teams with their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service level objectives of the deployment.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and time limits of workers.
    pub workers: Workers,
    /// Limits of the key-value store.
    pub state: StateLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Resource limits of this process.
    pub machine_limits: MachineLimits,
}

/// The platform's settings file. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// Name of this controller, not empty.
    pub node: String,
    /// Zone in which this controller runs.
    pub zone: String,
    /// Address on which it serves users, workers and health checks.
    pub bind: SocketAddr,
    /// Address on which it accepts connections from the other controllers.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    /// Addresses of the regional services.
    pub external: External,
    /// Description of the deployment.
    pub facts: Facts,
}

impl Platform {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or [`Platform::parse`] rejects its text.
    pub fn load(path: &Path) -> Result<Platform, ConfigError> {
        fs::read_to_string(path)
            .map_err(|e| InvalidSetting::new("file", e))
            .and_then(|text| Platform::parse(&text))
            .map_err(|invalid| ConfigError::new(path, invalid))
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid TOML, a field is missing, or a value is outside the range that a
    /// controller supports.
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

    /// Returns warnings about valid settings with which a controller works poorly. Each names the field and the
    /// consequence.
    pub fn warnings(&self) -> Vec<String> {
        let warnings = [self.short_lease_warning(), self.small_memory_warning()];
        warnings.into_iter().flatten().collect()
    }

    /// Returns a warning if a worker's lease expires after a single missed response. Such a worker stops its tasks
    /// before it can get a response from the next controller.
    fn short_lease_warning(&self) -> Option<String> {
        let lease_s = self.facts.workers.lease_s;
        let min_lease_s = self.facts.workers.report_s * MAX_HEARTBEAT_INTERVALS
            + WORKER_RESPONSE_TIMEOUT_S
            + WORKER_FAILOVER_PAUSE_S
            + FAILOVER_RESPONSE_S;
        (lease_s < min_lease_s).then(|| {
            format!(
                "facts.workers.lease_s: {lease_s} is shorter than the {min_lease_s:.1} s that a worker needs where \
                 one answer is missed"
            )
        })
    }

    fn small_memory_warning(&self) -> Option<String> {
        let ram_mb = self.facts.machine_limits.ram_mb;
        let jobs = Settings::default().admission_cap(self);
        (jobs < MIN_RECOMMENDED_ADMISSION_CAP).then(|| {
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
            if !is_finite_non_negative(value) {
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
            if !amounts.into_iter().all(is_finite_non_negative) {
                return Err(InvalidSetting::new("facts.teams", Reason::NegativeAmount));
            }
        }
        Ok(())
    }
}

fn is_finite_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
