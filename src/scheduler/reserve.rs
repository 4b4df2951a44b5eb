//! Capacity that is kept ready for work which can't wait for a machine to boot.

use super::Scheduler;
use super::job::Job;
use super::job_spec::{JobSpec, Shape};
use super::machine_type::MachineType;
use crate::units::Micros;
use std::collections::VecDeque;
use std::rc::Rc;

/// How often the demand of latency-sensitive work is sampled.
const SAMPLE_EVERY: Micros = Micros::secs(1);
/// How long a sample counts.
const SAMPLES_KEPT: Micros = Micros::secs(60);
/// The percentile of the samples that the reserve covers.
const COVERED_PERCENT: usize = 75;
/// The window of arrivals that size the reserve, and for how long machines are kept after such work.
const ARRIVAL_WINDOW: Micros = Micros::secs(120);
/// The reserve of services is at most this part of what runs of them.
const RESERVE_DIVISOR: u32 = 8;
/// The reserve of services may always be as large as this.
const SMALL_RESERVE: u64 = 2;

/// Places to keep free, or filled with what may be stopped.
#[derive(Debug, Clone)]
pub(super) struct Reserve {
    /// The job whose tasks the places are sized for.
    pub(super) template: Rc<JobSpec>,
    /// For how many of its tasks.
    pub(super) places: usize,
}

/// Recent demand of latency-sensitive work: arrays whose aims leave less time than a boot takes.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// When some of it could use spot machines.
    spot_at: Option<Micros>,
    /// When some of it could not.
    ordinary_at: Option<Micros>,
    /// Processors of its running and waiting tasks, sampled.
    samples: VecDeque<(Micros, i64)>,
}

impl Demand {
    /// Whether there was such work within the window for which machines of this kind are kept.
    pub(super) fn is_recent_for(&self, spot: bool, now: Micros) -> bool {
        let last_at = if spot { self.spot_at } else { self.ordinary_at };
        last_at.is_some_and(|at| now.since(at) < ARRIVAL_WINDOW)
    }

    fn sample(&mut self, cores: i64, now: Micros) {
        let is_due = |(at, _): &(Micros, i64)| now.since(*at) >= SAMPLE_EVERY;
        if self.samples.back().is_none_or(is_due) {
            self.samples.push_back((now, cores));
        }
        self.samples.retain(|(at, _)| now.since(*at) < SAMPLES_KEPT);
    }

    /// The percentile of the samples that the reserve covers, in processors.
    fn typical(&self) -> Option<i64> {
        let mut cores: Vec<i64> = self.samples.iter().map(|(_, cores)| *cores).collect();
        cores.sort_unstable();
        cores.get(cores.len() * COVERED_PERCENT / 100).copied()
    }
}

impl Scheduler {
    /// Whether what a job's aims allow it to wait has ended before a machine that is provisioned for it has booted.
    pub(super) fn is_latency_sensitive(&self, spec: &JobSpec) -> bool {
        let Some(boot) = self
            .machine_types
            .values()
            .map(MachineType::provisioning_time)
            .min()
        else {
            return false;
        };
        let spare = |due: f64| Micros::from_secs_f64(due - spec.expect_s);
        let starts_in_time = self.config.wait_within.get(&spec.class).copied();
        let ends_in_time = spec.due_s.map(spare);
        let min_slack = starts_in_time.into_iter().chain(ends_in_time).min();
        spec.shape == Shape::Array && min_slack.is_some_and(|min_slack| min_slack < boot)
    }

    /// Samples the demand of latency-sensitive work.
    pub(super) fn observe_demand(&mut self, now: Micros) {
        let mut cores = 0;
        let (mut any_spot, mut any_ordinary) = (false, false);
        let open = self.jobs.values().filter(|j| !j.ending);
        for job in open.filter(|j| self.is_latency_sensitive(&j.spec)) {
            let left = (job.spec.tasks - job.done) as usize;
            cores += job.spec.need().times(left).cores;
            any_spot |= job.spec.spot;
            any_ordinary |= !job.spec.spot || job.lost_on_spot;
        }
        if any_spot {
            self.demand.spot_at = Some(now);
        }
        if any_ordinary {
            self.demand.ordinary_at = Some(now);
        }
        self.demand.sample(cores, now);
    }

    /// The places missing to the typical demand of latency-sensitive work.
    fn latency_sensitive_reserve(&self) -> Option<Reserve> {
        let counts = |j: &&Job| !j.ending && self.is_latency_sensitive(&j.spec);
        let jobs = || self.jobs.values().filter(counts);
        let template = jobs().max_by_key(|j| j.at)?.spec.clone();
        let typical = self.demand.typical()?;
        let now: i64 = jobs()
            .map(|j| j.spec.need().times(j.live as usize).cores)
            .sum();
        let places = (typical - now).max(0) / template.need().cores.max(1);
        Some(Reserve {
            template,
            places: places as usize,
        })
    }

    /// The places to keep for tasks that can't wait for a boot.
    pub(super) fn reserve(&self, unix_time: u64) -> Option<Reserve> {
        let mut newest: Option<&Job> = None;
        let mut recent = 0;
        let mut running = 0;
        for job in self.jobs.values().filter(|j| !j.ending) {
            if !self.config.wait_within.contains_key(&job.spec.class) || job.spec.spot {
                continue;
            }
            running += job.live;
            if unix_time.saturating_sub(job.at) < ARRIVAL_WINDOW.0 {
                recent += job.spec.tasks;
            }
            if newest.is_none_or(|n| n.at < job.at) {
                newest = Some(job);
            }
        }
        let Some(newest) = newest else {
            return self.latency_sensitive_reserve();
        };
        let template = newest.spec.clone();
        if let Some(fixed) = self.config.reserve {
            let places = fixed as usize;
            return Some(Reserve { template, places });
        }
        let boot = self
            .machine_types
            .values()
            .map(MachineType::provisioning_time)
            .min()?;
        let within = self.config.wait_within.get(&template.class)?;
        if boot < *within {
            return None;
        }
        let in_a_boot = (u64::from(recent) * boot.0).div_ceil(ARRIVAL_WINDOW.0);
        let max_places = u64::from(running / RESERVE_DIVISOR).max(SMALL_RESERVE);
        let places = in_a_boot.clamp(1, max_places) as usize;
        Some(Reserve { template, places })
    }
}
