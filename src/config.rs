//! The platform's settings file (TOML) and the operators' own settings (XML), checked before anything starts.

use crate::cloud::MAX_MACHINES_PER_PROVISIONING;
use crate::scheduler::{SchedulerConfig, TeamQuota};
use crate::units::Micros;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a settings file was refused: the file, the field and the reason, in one line.
#[derive(Debug, Error)]
#[error("{file}: {field}: {reason}", file = .file.display())]
pub struct ConfigError {
    file: PathBuf,
    field: String,
    reason: String,
}

/// Sockets without which a controller can't serve: some for users and workers, the state service and the cloud.
const MIN_SOCKETS: usize = 16;
/// Sockets that each other controller takes besides: its own connections to this one and this one's to it.
const SOCKETS_PER_MEMBER: usize = 16;
/// Idle connections that are always kept to another controller.
const MIN_IDLE_CONNECTIONS: usize = 8;

/// Memory that an accepted job of a few tasks takes, in the cached view and at the leader.
const JOB_KB: f64 = 4.0;
/// It is told where the memory holds fewer jobs than this.
const FEW_JOBS: usize = 1_000;
/// So many jobs are accepted whatever the memory.
const MIN_ADMISSION_CAP: usize = 50;

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Its name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens for the other controllers.
    pub address: SocketAddr,
}

/// A team, what it is guaranteed and what it may use at most; 0 means none.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed processors.
    pub cpus: f64,
    /// Most processors at any time.
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    pub gpus: f64,
    /// Most accelerators at any time.
    pub gpus_max: f64,
}

impl Default for Team {
    fn default() -> Self {
        Team {
            name: String::new(),
            cpus: 0.0,
            cpus_max: 0.0,
            gpus: 0.0,
            gpus_max: 0.0,
        }
    }
}

/// One aim, as the platform repeats it.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Objective {
    /// `wait`, `up`, `finished`, `deadline`, `guarantee` …
    pub kind: String,
    /// The class of jobs it speaks of.
    pub class: String,
    /// The time that counts.
    pub within_s: f64,
}

/// The times that workers keep to.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval of heartbeats.
    pub report_s: f64,
    /// How long a worker lives without an answer.
    pub lease_s: f64,
    /// How long after a cancellation its tasks must be gone.
    pub cancel_s: f64,
}

/// Limits of the state service, for all controllers together.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Largest value in KiB.
    pub value_kb: f64,
    /// Puts and deletes in one transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// How old a list may be.
    pub list_lag_s: f64,
}

/// What this process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Share of one processor core.
    pub core_share: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Open sockets.
    pub max_sockets: usize,
}

/// Where the regional services are.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// What the platform tells of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    /// Number of controllers.
    pub size: usize,
    /// Bound of the time of day's error.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Worker times.
    pub workers: Workers,
    /// State service limits.
    pub state: StateLimits,
    /// Cloud limits.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub machine_limits: MachineLimits,
}

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// This controller's name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Where users, workers and health checks come.
    pub bind: SocketAddr,
    /// Where the other controllers come.
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
    pub fn load(path: &Path) -> Result<Platform, ConfigError> {
        let refuse = |field: &str, reason: String| ConfigError {
            file: path.to_owned(),
            field: field.to_owned(),
            reason,
        };
        let text = std::fs::read_to_string(path).map_err(|e| refuse("file", e.to_string()))?;
        Platform::parse(&text).map_err(|(field, reason)| refuse(&field, reason))
    }

    /// Reads and checks the text; an error is the field and the reason.
    pub fn parse(text: &str) -> Result<Platform, (String, String)> {
        let platform: Platform = toml::from_str(text).map_err(|e| {
            let line = e
                .span()
                .map_or(0, |s| text[..s.start].matches('\n').count() + 1);
            (format!("line {line}"), e.message().replace('\n', " "))
        })?;
        platform
            .check()
            .map_err(|(f, r)| (f.to_owned(), r.to_owned()))?;
        Ok(platform)
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let f = &self.facts;
        let positive = [
            ("facts.workers.report_s", f.workers.report_s),
            ("facts.workers.lease_s", f.workers.lease_s),
            ("facts.workers.cancel_s", f.workers.cancel_s),
            ("facts.state.rps", f.state.rps),
            ("facts.state.write_rps", f.state.write_rps),
            ("facts.state.value_kb", f.state.value_kb),
            ("facts.cloud.rps", f.cloud.rps),
            (
                "facts.machine_limits.core_share",
                f.machine_limits.core_share,
            ),
            ("facts.machine_limits.ram_mb", f.machine_limits.ram_mb),
        ];
        for (name, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err((name, "must be a number above 0"));
            }
        }
        for (name, value) in [
            ("facts.cloud.list_lag_s", f.cloud.list_lag_s),
            ("facts.clock_error_ms", f.clock_error_ms),
        ] {
            if !(value.is_finite() && value >= 0.0) {
                return Err((name, "must not be negative"));
            }
        }
        if self.node.is_empty() {
            return Err(("node", "must not be empty"));
        }
        if f.size == 0 {
            return Err(("facts.size", "must be at least 1"));
        }
        if f.state.txn_ops < 4 {
            return Err(("facts.state.txn_ops", "must be at least 4"));
        }
        if f.state.value_kb < 2.0 {
            return Err(("facts.state.value_kb", "must be at least 2"));
        }
        let least_sockets = MIN_SOCKETS + SOCKETS_PER_MEMBER * self.members.len();
        if f.machine_limits.max_sockets < least_sockets {
            return Err((
                "facts.machine_limits.max_sockets",
                "must be at least 16 and 16 more for each member",
            ));
        }
        for team in &f.teams {
            if team.name.is_empty() {
                return Err(("facts.teams.name", "must not be empty"));
            }
            for v in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                if !(v.is_finite() && v >= 0.0) {
                    return Err(("facts.teams", "amounts must not be negative"));
                }
            }
        }
        Ok(())
    }

    /// What the service can serve with, but not well, in words.
    pub fn warnings(&self) -> Vec<String> {
        let f = &self.facts;
        let mut warnings = Vec::new();
        // A heartbeat, four seconds for an answer that does not come, one until the next controller is tried, and its answer.
        let one_miss_s = f.workers.report_s * 1.25 + 4.0 + 1.0 + 1.0;
        if f.workers.lease_s < one_miss_s {
            warnings.push(format!(
                "facts.workers.lease_s: {} is shorter than the {one_miss_s:.1} s that a worker needs where one answer \
                 is missed",
                f.workers.lease_s
            ));
        }
        let jobs = Settings::default().admission_cap(self);
        if jobs < FEW_JOBS {
            warnings.push(format!(
                "facts.machine_limits.ram_mb: {} is memory for {jobs} jobs only",
                f.machine_limits.ram_mb
            ));
        }
        warnings
    }

    /// The teams' guarantees and limits.
    pub fn teams(&self) -> BTreeMap<String, TeamQuota> {
        let share = |t: &Team| TeamQuota::new(t.cpus, t.cpus_max, t.gpus, t.gpus_max);
        let teams = self.facts.teams.iter();
        teams.map(|t| (t.name.clone(), share(t))).collect()
    }

    /// Idle connections kept to each other controller: a sixteenth of the sockets for all of them together, as the heartbeats
    /// of thousands of workers wait for the leader side by side.
    pub fn kept_connections(&self) -> usize {
        let all = self.facts.machine_limits.max_sockets / 16;
        (all / self.members.len().max(1)).max(MIN_IDLE_CONNECTIONS)
    }

    /// The interval of heartbeats.
    pub fn report(&self) -> Micros {
        Micros::from_secs_f64(self.facts.workers.report_s)
    }
}

/// The operators' own settings. Every element may be left out; a default stands in for it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Interval at which waiting jobs are offered again.
    pub retry_ms: Option<u64>,
    /// Most that is added to the interval at random.
    pub jitter_ms: Option<u64>,
    /// How long an empty machine is kept.
    pub idle_s: Option<u64>,
    /// Free places kept for classes that can't wait for a boot.
    pub reserve: Option<u32>,
    /// Most jobs that are accepted and not ended.
    pub admission_cap: Option<usize>,
    /// Most offers in one scheduling cycle; beyond, samples of machines are asked.
    pub max_offers_per_cycle: Option<usize>,
    /// Most machines provisioned in one scheduling cycle.
    pub max_scale_out_per_cycle: Option<usize>,
    /// Life of the leader's lease.
    pub leader_lease_ms: Option<u64>,
    /// Whether a new leader tells how much it has confirmed of what it found recorded: 0 or 1.
    pub recovery_report: Option<u64>,
    /// Whether stored state that was lost is rebuilt: 0 or 1.
    pub rebuild: Option<u64>,
}

/// Elements of the operators' settings with the values they may have.
const RANGES: [(&str, u64, u64); 10] = [
    ("retry-ms", 50, 60_000),
    ("jitter-ms", 0, 60_000),
    ("idle-s", 0, 86_400),
    ("reserve", 0, 10_000),
    ("admission-cap", 1, 10_000_000),
    ("offers-per-round", 100, 10_000_000),
    ("rent-per-round", 1, 1_000),
    ("leader-lease-ms", 1_000, 60_000),
    ("recovery-report", 0, 1),
    ("rebuild", 0, 1),
];

impl Settings {
    /// Reads and checks the file.
    pub fn load(path: &Path) -> Result<Settings, ConfigError> {
        let refuse = |field: String, reason: String| ConfigError {
            file: path.to_owned(),
            field,
            reason,
        };
        let text =
            std::fs::read_to_string(path).map_err(|e| refuse("file".to_owned(), e.to_string()))?;
        Settings::parse(&text).map_err(|(field, reason)| refuse(field, reason))
    }

    /// Reads and checks the text; an error is the element and the reason.
    pub fn parse(text: &str) -> Result<Settings, (String, String)> {
        let elements = read_elements(text)?;
        let mut settings = Settings::default();
        for (name, value) in elements {
            let Some((_, low, high)) = RANGES.iter().find(|(n, _, _)| *n == name) else {
                return Err((name, "unknown element".into()));
            };
            let number: u64 = value
                .trim()
                .parse()
                .map_err(|_| (name.clone(), format!("{value:?} is not a whole number")))?;
            if !(*low..=*high).contains(&number) {
                return Err((name, format!("must be {low} to {high}, not {number}")));
            }
            settings.set(&name, number);
        }
        Ok(settings)
    }

    fn set(&mut self, name: &str, number: u64) {
        let size = usize::try_from(number).unwrap_or(usize::MAX);
        match name {
            "retry-ms" => self.retry_ms = Some(number),
            "jitter-ms" => self.jitter_ms = Some(number),
            "idle-s" => self.idle_s = Some(number),
            "reserve" => self.reserve = u32::try_from(number).ok(),
            "admission-cap" => self.admission_cap = Some(size),
            "offers-per-round" => self.max_offers_per_cycle = Some(size),
            "rent-per-round" => self.max_scale_out_per_cycle = Some(size),
            "leader-lease-ms" => self.leader_lease_ms = Some(number),
            "recovery-report" => self.recovery_report = Some(number),
            "rebuild" => self.rebuild = Some(number),
            _ => {}
        }
    }

    /// Most jobs that are accepted and not ended: as many as a quarter of the memory holds.
    pub fn admission_cap(&self, platform: &Platform) -> usize {
        let for_jobs_kb = platform.facts.machine_limits.ram_mb * 1024.0 / 4.0;
        let derived = (for_jobs_kb / JOB_KB) as usize;
        self.admission_cap.unwrap_or(derived.max(MIN_ADMISSION_CAP))
    }

    /// Whether stored state that was lost is rebuilt.
    pub fn rebuilds(&self) -> bool {
        self.rebuild == Some(1)
    }

    /// Life of the leader's lease.
    pub fn leader_lease(&self) -> Micros {
        Micros::millis(self.leader_lease_ms.unwrap_or(2_000))
    }

    /// What the scheduler goes by.
    pub fn scheduler_config(&self, platform: &Platform) -> SchedulerConfig {
        let facts = &platform.facts;
        let aims = |kind: &'static str| facts.objectives.iter().filter(move |o| o.kind == kind);
        // A scheduling cycle takes some microseconds for each offer; a fifth of a second of the processor's share is the most.
        let offers = (facts.machine_limits.core_share * 200_000.0) as usize;
        // A quarter of a second's requests, of fifty machines each.
        let max_scale_out_per_cycle =
            ((facts.cloud.rps * MAX_MACHINES_PER_PROVISIONING as f64 / 4.0) as usize).max(24);
        SchedulerConfig {
            retry: Micros::millis(self.retry_ms.unwrap_or(400)),
            jitter: Micros::millis(self.jitter_ms.unwrap_or(100)),
            idle: self.idle_s.map(Micros::secs),
            reserve: self.reserve,
            max_offers_per_cycle: self.max_offers_per_cycle.unwrap_or(offers.max(1_000)),
            max_scale_out_per_cycle: self
                .max_scale_out_per_cycle
                .unwrap_or(max_scale_out_per_cycle),
            recovery_report: self.recovery_report == Some(1),
            controllers: facts.size,
            report: platform.report(),
            lease: Micros::from_secs_f64(facts.workers.lease_s),
            cancel: Micros::from_secs_f64(facts.workers.cancel_s),
            list_lag: Micros::from_secs_f64(facts.cloud.list_lag_s),
            wait_within: tightest_starts(aims("wait")),
            guarantee_within: aims("guarantee")
                .map(|o| Micros::from_secs_f64(o.within_s))
                .next(),
        }
    }
}

/// The shortest of each class's times to start.
fn tightest_starts<'a>(aims: impl Iterator<Item = &'a Objective>) -> BTreeMap<String, Micros> {
    let mut starts: BTreeMap<String, Micros> = BTreeMap::new();
    for aim in aims {
        let within = Micros::from_secs_f64(aim.within_s);
        let tightest = starts.entry(aim.class.clone()).or_insert(within);
        *tightest = within.min(*tightest);
    }
    starts
}

/// The elements below the root with their texts.
fn read_elements(text: &str) -> Result<Vec<(String, String)>, (String, String)> {
    use quick_xml::events::Event;
    let bad = |reason: String| ("document".to_owned(), reason);
    let mut reader = quick_xml::Reader::from_str(text);
    let mut path: Vec<String> = Vec::new();
    let mut elements: Vec<(String, String)> = Vec::new();
    let mut rooted = false;
    loop {
        match reader.read_event().map_err(|e| bad(e.to_string()))? {
            Event::Start(tag) => {
                let name = String::from_utf8_lossy(tag.name().as_ref()).into_owned();
                match path.len() {
                    0 if name == "ravenhead" && !rooted => rooted = true,
                    0 => return Err((name, "the one root element is ravenhead".into())),
                    1 if elements.iter().any(|(n, _)| *n == name) => {
                        return Err((name, "stands twice".into()));
                    }
                    1 => elements.push((name.clone(), String::new())),
                    _ => return Err((name, "unknown element".into())),
                }
                path.push(name);
            }
            Event::Empty(tag) => {
                let name = String::from_utf8_lossy(tag.name().as_ref()).into_owned();
                if path.is_empty() && name == "ravenhead" && !rooted {
                    rooted = true;
                } else {
                    return Err((name, "is empty".into()));
                }
            }
            Event::End(_) => {
                path.pop();
            }
            Event::Text(t) => {
                let t = t.unescape().map_err(|e| bad(e.to_string()))?;
                match elements.last_mut() {
                    Some((_, value)) if path.len() == 2 => value.push_str(&t),
                    _ if t.trim().is_empty() => {}
                    _ => return Err(bad("text outside an element".into())),
                }
            }
            Event::Eof if rooted && path.is_empty() => return Ok(elements),
            Event::Eof => return Err(bad("the root element ravenhead is missing or open".into())),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
