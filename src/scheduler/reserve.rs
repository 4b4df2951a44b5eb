//! Capacity kept ready for work that can't wait for a machine to be provisioned.

use super::Scheduler;
use super::job::Job;
use super::job_spec::{JobSpec, Shape};
use super::machine_type::MachineType;
use crate::units::Micros;
use std::collections::VecDeque;
use std::rc::Rc;

/// Interval at which the demand of latency-sensitive work is sampled.
const SAMPLE_INTERVAL: Micros = Micros::secs(1);
/// Period for which samples are kept.
const SAMPLE_PERIOD: Micros = Micros::secs(60);
/// Percentile of the samples that the reserve covers.
const COVERED_PERCENT: usize = 75;
/// Period whose arrivals determine the size of the reserve, and for which machines are kept after latency-sensitive
/// work.
const ARRIVAL_WINDOW: Micros = Micros::secs(120);
/// The reserve for classes with a maximum start delay is at most the number of their running tasks divided by this, or
/// `MIN_RESERVE_LIMIT` where that is more.
const RESERVE_DIVISOR: u32 = 8;
/// Number of places that the reserve for classes with a maximum start delay may always have, however few tasks run.
const MIN_RESERVE_LIMIT: u64 = 2;

/// Places to keep free, or occupied only by tasks that may be preempted.
#[derive(Debug, Clone)]
pub(super) struct Reserve {
    /// Spec of the job that the places are sized for.
    pub(super) template: Rc<JobSpec>,
    /// Number of places, each of which fits one of its tasks.
    pub(super) places: usize,
}

/// Recent demand of latency-sensitive work: arrays whose objectives leave less time than it takes to provision a
/// machine.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// When there was last such work that may use spot machines.
    last_spot_at: Option<Micros>,
    /// When there was last such work that may not use spot machines.
    last_on_demand_at: Option<Micros>,
    /// Time and processors (in millionths) of its running and waiting tasks, one entry per sample.
    samples: VecDeque<(Micros, i64)>,
}

impl Demand {
    /// Returns whether there was such work, suited to spot or on-demand machines as given, recently enough to keep
    /// machines for it.
    pub(super) fn is_recent_for(&self, spot: bool, now: Micros) -> bool {
        let last_at = if spot {
            self.last_spot_at
        } else {
            self.last_on_demand_at
        };
        last_at.is_some_and(|at| now.since(at) < ARRIVAL_WINDOW)
    }

    fn sample(&mut self, cores: i64, now: Micros) {
        let is_due = |(at, _): &(Micros, i64)| now.since(*at) >= SAMPLE_INTERVAL;
        if self.samples.back().is_none_or(is_due) {
            self.samples.push_back((now, cores));
        }
        self.samples
            .retain(|(at, _)| now.since(*at) < SAMPLE_PERIOD);
    }

    /// Returns the percentile of the samples that the reserve covers, in millionths of processors.
    fn typical_cores(&self) -> Option<i64> {
        let mut cores: Vec<i64> = self.samples.iter().map(|(_, cores)| *cores).collect();
        cores.sort_unstable();
        cores.get(cores.len() * COVERED_PERCENT / 100).copied()
    }
}

impl Scheduler {
    /// Returns whether a job is an array whose objectives allow it to wait for less time than it takes to provision a
    /// machine.
    pub(super) fn is_latency_sensitive(&self, spec: &JobSpec) -> bool {
        let Some(provisioning_time) = self
            .machine_types
            .values()
            .map(MachineType::provisioning_time)
            .min()
        else {
            return false;
        };
        let slack = |due: f64| Micros::from_secs_f64(due - spec.expected_run_s);
        let start_slack = self.config.max_start_delay.get(&spec.class).copied();
        let deadline_slack = spec.due_s.map(slack);
        let min_slack = start_slack.into_iter().chain(deadline_slack).min();
        spec.shape == Shape::Array
            && min_slack.is_some_and(|min_slack| min_slack < provisioning_time)
    }

    /// Samples the demand of latency-sensitive work.
    pub(super) fn observe_demand(&mut self, now: Micros) {
        let mut cores = 0;
        let (mut any_spot, mut any_on_demand) = (false, false);
        let open_jobs = self.jobs.values().filter(|j| !j.ending);
        for job in open_jobs.filter(|j| self.is_latency_sensitive(&j.spec)) {
            let unfinished_tasks = (job.spec.tasks - job.done) as usize;
            cores += job.spec.need().times(unfinished_tasks).cores;
            any_spot |= job.spec.spot;
            any_on_demand |= !job.spec.spot || job.lost_work_on_spot;
        }
        if any_spot {
            self.demand.last_spot_at = Some(now);
        }
        if any_on_demand {
            self.demand.last_on_demand_at = Some(now);
        }
        self.demand.sample(cores, now);
    }

    /// Returns the places by which running latency-sensitive work falls short of its typical demand, or `None` if there
    /// is no such work.
    fn latency_sensitive_reserve(&self) -> Option<Reserve> {
        let is_counted = |j: &&Job| !j.ending && self.is_latency_sensitive(&j.spec);
        let jobs = || self.jobs.values().filter(is_counted);
        let template = jobs().max_by_key(|j| j.submitted_at)?.spec.clone();
        let typical_cores = self.demand.typical_cores()?;
        let running_cores: i64 = jobs()
            .map(|j| j.spec.need().times(j.live as usize).cores)
            .sum();
        let places = (typical_cores - running_cores).max(0) / template.need().cores.max(1);
        Some(Reserve {
            template,
            places: places as usize,
        })
    }

    /// Returns the places to keep for tasks that can't wait for a machine to be provisioned.
    pub(super) fn reserve(&self, unix_time: u64) -> Option<Reserve> {
        let mut newest: Option<&Job> = None;
        let mut recent_tasks = 0;
        let mut running_tasks = 0;
        for job in self.jobs.values().filter(|j| !j.ending) {
            if !self.config.max_start_delay.contains_key(&job.spec.class) || job.spec.spot {
                continue;
            }
            running_tasks += job.live;
            if unix_time.saturating_sub(job.submitted_at) < ARRIVAL_WINDOW.0 {
                recent_tasks += job.spec.tasks;
            }
            if newest.is_none_or(|n| n.submitted_at < job.submitted_at) {
                newest = Some(job);
            }
        }
        let Some(newest) = newest else {
            return self.latency_sensitive_reserve();
        };
        let template = newest.spec.clone();
        if let Some(configured) = self.config.reserved_places {
            let places = configured as usize;
            return Some(Reserve { template, places });
        }
        let provisioning_time = self
            .machine_types
            .values()
            .map(MachineType::provisioning_time)
            .min()?;
        let max_start_delay = self.config.max_start_delay.get(&template.class)?;
        if provisioning_time < *max_start_delay {
            return None;
        }
        let expected_arrivals =
            (u64::from(recent_tasks) * provisioning_time.0).div_ceil(ARRIVAL_WINDOW.0);
        let max_places = u64::from(running_tasks / RESERVE_DIVISOR).max(MIN_RESERVE_LIMIT);
        let places = expected_arrivals.clamp(1, max_places) as usize;
        Some(Reserve { template, places })
    }
}
