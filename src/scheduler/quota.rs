//! Team quotas: limits that are never exceeded, and guarantees that go before borrowed use.

use super::job::Job;
use super::{Scheduler, TeamQuota};
use crate::ids::JobId;
use crate::units::Resources;
use std::collections::{BTreeMap, BTreeSet, HashSet};

impl TeamQuota {
    /// Creates a quota from settings, in which 0 means no guarantee or no limit.
    pub fn new(cpus: f64, cpus_max: f64, gpus: f64, gpus_max: f64) -> TeamQuota {
        let resources = |cores, accelerators| Resources::new(cores, accelerators, 0.0);
        let (guarantee, limit) = (resources(cpus, gpus), resources(cpus_max, gpus_max));
        let if_positive = |v: i64| (v > 0).then_some(v);
        TeamQuota {
            guarantee: [
                if_positive(guarantee.cores),
                if_positive(guarantee.accelerators),
            ],
            limit: [if_positive(limit.cores), if_positive(limit.accelerators)],
        }
    }

    /// Returns whether this use is within the limit.
    pub fn allows(&self, used: &Resources) -> bool {
        within_bounds(self.limit, used)
    }

    /// Returns whether the team has any guarantee and this use is within it.
    pub fn guarantees(&self, used: &Resources) -> bool {
        self.guarantee.iter().any(Option::is_some) && within_bounds(self.guarantee, used)
    }
}

fn within_bounds(bounds: [Option<i64>; 2], used: &Resources) -> bool {
    bounds[0].is_none_or(|b| used.cores <= b) && bounds[1].is_none_or(|b| used.accelerators <= b)
}

impl Scheduler {
    /// Returns whether the team may use these additional resources. Every task that may still be on a machine counts as
    /// use, even if it is being stopped.
    pub(super) fn within_limit(&self, team: &str, additional: &Resources) -> bool {
        let used = self.team_used.get(team).copied().unwrap_or_default() + *additional;
        self.teams.get(team).is_none_or(|t| t.allows(&used))
    }

    /// Returns whether the team has a quota and uses more than it is guaranteed.
    pub(super) fn exceeds_guarantee(&self, team: &str) -> bool {
        let used = self.team_used.get(team).copied().unwrap_or_default();
        self.teams.get(team).is_some_and(|t| !t.guarantees(&used))
    }

    /// Returns how many more tasks with this need fit within the team's limit, in addition to the resources in use and
    /// `planned`.
    pub(super) fn tasks_within_limit(
        &self,
        team: &str,
        planned: &Resources,
        need: &Resources,
    ) -> usize {
        let Some(quota) = self.teams.get(team) else {
            return usize::MAX;
        };
        let used = self.team_used.get(team).copied().unwrap_or_default() + *planned;
        let tasks_that_fit = |limit: Option<i64>, used: i64, need: i64| match limit {
            Some(limit) if need > 0 => ((limit - used) / need).max(0) as usize,
            Some(limit) if used > limit => 0,
            _ => usize::MAX,
        };
        tasks_that_fit(quota.limit[0], used.cores, need.cores).min(tasks_that_fit(
            quota.limit[1],
            used.accelerators,
            need.accelerators,
        ))
    }

    /// Recomputes the guarantees of teams that had a job added, removed or shrunk.
    pub(super) fn refresh_guarantees(&mut self) {
        let steps = self.guarantees.refresh(&self.teams, &self.jobs);
        self.count_steps(steps);
    }
}

/// The jobs that fit into their team's guarantee together with all earlier jobs of the team.
#[derive(Debug, Default)]
pub(super) struct Guarantees {
    /// Each team's jobs in order of submission.
    by_age: BTreeMap<String, BTreeSet<(u64, JobId)>>,
    /// Each team's jobs within its guarantee, as of the last refresh.
    within: BTreeMap<String, HashSet<JobId>>,
    /// Teams to recompute.
    stale: BTreeSet<String>,
}

impl Guarantees {
    /// Adds a job.
    pub(super) fn add(&mut self, job: &Job) {
        let team = self.by_age.entry(job.spec.team.clone()).or_default();
        team.insert((job.submitted_at, job.spec.id.clone()));
        self.mark_stale(&job.spec.team);
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, job: &Job) {
        if let Some(team) = self.by_age.get_mut(&job.spec.team) {
            team.remove(&(job.submitted_at, job.spec.id.clone()));
        }
        self.mark_stale(&job.spec.team);
    }

    /// Marks a team to be recomputed, after a job of it was added, removed or ended, or some of its tasks finished.
    pub(super) fn mark_stale(&mut self, team: &str) {
        if !self.stale.contains(team) {
            self.stale.insert(team.to_owned());
        }
    }

    /// Returns whether a job is within its team's guarantee, as of the last refresh.
    pub(super) fn covers(&self, job: &Job) -> bool {
        let within = self.within.get(&job.spec.team);
        within.is_some_and(|jobs| jobs.contains(&job.spec.id))
    }

    /// Recomputes the stale teams. Returns the number of jobs examined.
    fn refresh(
        &mut self,
        teams: &BTreeMap<String, TeamQuota>,
        jobs: &BTreeMap<JobId, Job>,
    ) -> usize {
        let mut steps = 0;
        for team in std::mem::take(&mut self.stale) {
            let within = self.within.entry(team.clone()).or_default();
            within.clear();
            let Some(quota) = teams.get(&team) else {
                continue;
            };
            let mut sum = Resources::default();
            for (_, id) in self.by_age.get(&team).into_iter().flatten() {
                steps += 1;
                let Some(job) = jobs.get(id).filter(|j| !j.ending) else {
                    continue;
                };
                sum += job.spec.need().times((job.spec.tasks - job.done) as usize);
                // The sum only grows, so no later job fits either.
                if !quota.guarantees(&sum) {
                    break;
                }
                within.insert(id.clone());
            }
        }
        steps
    }
}
