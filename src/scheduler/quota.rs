//! Team quotas: limits that hold at every moment, and guarantees that go before borrowing.

use super::job::Job;
use super::{Scheduler, TeamQuota};
use crate::ids::JobId;
use crate::units::Resources;
use std::collections::{BTreeMap, BTreeSet, HashSet};

impl TeamQuota {
    /// From the settings, where 0 means none.
    pub fn new(cpus: f64, cpus_max: f64, gpus: f64, gpus_max: f64) -> TeamQuota {
        let room = |cores, cards| Resources::new(cores, cards, 0.0);
        let (low, high) = (room(cpus, gpus), room(cpus_max, gpus_max));
        let some = |v: i64| (v > 0).then_some(v);
        TeamQuota {
            guarantee: [some(low.cores), some(low.accelerators)],
            limit: [some(high.cores), some(high.accelerators)],
        }
    }

    /// Whether this use is within the limit.
    pub fn allows(&self, used: &Resources) -> bool {
        fits(self.limit, used)
    }

    /// Whether anything is guaranteed, and this use is within the guarantee.
    pub fn guarantees(&self, used: &Resources) -> bool {
        self.guarantee.iter().any(Option::is_some) && fits(self.guarantee, used)
    }
}

fn fits(bounds: [Option<i64>; 2], used: &Resources) -> bool {
    bounds[0].is_none_or(|b| used.cores <= b) && bounds[1].is_none_or(|b| used.accelerators <= b)
}

impl Scheduler {
    /// Whether the team may use so much more. Everything that may still be on a machine counts, stopped or not.
    pub(super) fn within_limit(&self, team: &str, more: &Resources) -> bool {
        let used = self.team_used.get(team).copied().unwrap_or_default() + *more;
        self.teams.get(team).is_none_or(|t| t.allows(&used))
    }

    /// Whether the team uses more than it is guaranteed.
    pub(super) fn exceeds_guarantee(&self, team: &str) -> bool {
        let used = self.team_used.get(team).copied().unwrap_or_default();
        self.teams.get(team).is_some_and(|t| !t.guarantees(&used))
    }

    /// How many more tasks of this size the team may use beside `planned`.
    pub(super) fn tasks_within_limit(
        &self,
        team: &str,
        planned: &Resources,
        need: &Resources,
    ) -> usize {
        let Some(share) = self.teams.get(team) else {
            return usize::MAX;
        };
        let used = self.team_used.get(team).copied().unwrap_or_default() + *planned;
        let more = |limit: Option<i64>, used: i64, need: i64| match limit {
            Some(limit) if need > 0 => ((limit - used) / need).max(0) as usize,
            Some(limit) if used > limit => 0,
            _ => usize::MAX,
        };
        more(share.limit[0], used.cores, need.cores).min(more(
            share.limit[1],
            used.accelerators,
            need.accelerators,
        ))
    }

    /// Recomputes the guarantees of teams of which a job came, went or got smaller.
    pub(super) fn refresh_guarantees(&mut self) {
        let steps = self.guarantees.refresh(&self.teams, &self.jobs);
        self.count_steps(steps);
    }
}

/// The jobs that fit into their team's guarantee together with the team's earlier ones.
#[derive(Debug, Default)]
pub(super) struct Guarantees {
    /// Each team's jobs in the order of their submission.
    by_age: BTreeMap<String, BTreeSet<(u64, JobId)>>,
    within: BTreeMap<String, HashSet<JobId>>,
    /// Teams to be recomputed.
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

    /// A job of the team was ended, or part of it finished.
    pub(super) fn mark_stale(&mut self, team: &str) {
        if !self.stale.contains(team) {
            self.stale.insert(team.to_owned());
        }
    }

    /// Whether a job is within its team's guarantee, as of the last refresh.
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
            let Some(share) = teams.get(&team) else {
                continue;
            };
            let mut sum = Resources::default();
            for (_, id) in self.by_age.get(&team).into_iter().flatten() {
                steps += 1;
                let Some(job) = jobs.get(id).filter(|j| !j.ending) else {
                    continue;
                };
                sum += job.spec.need().times((job.spec.tasks - job.done) as usize);
                // The sum only grows, so nothing that comes later fits any more.
                if !share.guarantees(&sum) {
                    break;
                }
                within.insert(id.clone());
            }
        }
        steps
    }
}
