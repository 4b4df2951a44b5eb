//! Teams: limits that hold at every moment, and guarantees that go before borrowing.

use super::*;

impl TeamShare {
    /// From the settings, where 0 means none.
    pub fn new(cpus: f64, cpus_max: f64, gpus: f64, gpus_max: f64) -> TeamShare {
        let room = |cores, cards| Room::new(cores, cards, 0.0);
        let (low, high) = (room(cpus, gpus), room(cpus_max, gpus_max));
        let some = |v: i64| (v > 0).then_some(v);
        TeamShare {
            guaranteed: [some(low.cores), some(low.cards)],
            most: [some(high.cores), some(high.cards)],
        }
    }

    /// Whether so much is allowed.
    pub fn allows(&self, used: &Room) -> bool {
        fits(self.most, used)
    }

    /// Whether anything is guaranteed, and so much fits into it.
    pub fn guarantees(&self, used: &Room) -> bool {
        self.guaranteed.iter().any(Option::is_some) && fits(self.guaranteed, used)
    }
}

fn fits(bounds: [Option<i64>; 2], used: &Room) -> bool {
    bounds[0].is_none_or(|b| used.cores <= b) && bounds[1].is_none_or(|b| used.cards <= b)
}

impl Scheduler {
    /// Whether the team may use so much more. Everything that may still be on a machine counts, stopped or not.
    pub(super) fn within_limit(&self, team: &str, more: &Room) -> bool {
        let used = self.team_used.get(team).copied().unwrap_or_default() + *more;
        self.teams.get(team).is_none_or(|t| t.allows(&used))
    }

    /// Whether the team uses more than it is guaranteed.
    pub(super) fn borrows(&self, team: &str) -> bool {
        let used = self.team_used.get(team).copied().unwrap_or_default();
        self.teams.get(team).is_some_and(|t| !t.guarantees(&used))
    }

    /// The jobs that fit into their team's guarantee together with the team's earlier ones.
    pub(super) fn guaranteed_jobs(&self) -> HashSet<JobId> {
        let mut by_age: Vec<&Job> = self.jobs.values().filter(|j| !j.ending).collect();
        by_age.sort_by(|a, b| (a.at, &a.spec.id).cmp(&(b.at, &b.spec.id)));
        let mut sums: BTreeMap<&str, Room> = BTreeMap::new();
        let mut within = HashSet::new();
        for job in by_age {
            let Some(share) = self.teams.get(&job.spec.team) else {
                continue;
            };
            let sum = sums.entry(&job.spec.team).or_default();
            let left = (job.spec.tasks - job.done) as usize;
            *sum += job.spec.need().times(left);
            if share.guarantees(sum) {
                within.insert(job.spec.id.clone());
            }
        }
        within
    }
}
