//! Fair share: reserves machines for starved jobs, which smaller work would pass for ever.
//!
//! Offers give resources to the first due job that fits, so that a job whose tasks need more than is ever free at
//! once, on a machine, in its zone or within its team's limit, could wait for as long as smaller ones come.

use super::job::Job;
use super::machine::Machine;
use super::{Scheduler, spec_of};
use crate::ids::{JobId, MachineId};
use crate::units::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A job that waits so long without a task placed is starved: machines are reserved for it.
const STARVED_AFTER: Micros = Micros::secs(30);
/// How long later work of a team at its limit is held back for a starved job; what blocks it longer will not end soon.
const TEAM_HOLD_LIMIT: Micros = Micros::secs(120);
/// One in so many machines may be reserved.
const MACHINES_PER_RESERVATION: usize = 50;

/// Interval at which reservations are recomputed: scheduling cycles may come far more often than a job is offered.
const RESERVATION_INTERVAL: Micros = Micros::millis(200);
/// About so many jobs, and the first ones always, search for a machine to reserve in one scheduling cycle.
const SEARCHES_PER_CYCLE: usize = 32;

/// Reservations for starved jobs.
#[derive(Debug, Default)]
pub(super) struct FairShare {
    /// Machines reserved until the job was placed there.
    machines: BTreeMap<MachineId, JobId>,
    /// Teams whose later jobs are held back for one that waits for room within the limit.
    teams: BTreeMap<String, JobId>,
    /// When they were last recomputed.
    updated_at: Micros,
}

impl Scheduler {
    /// Recomputes what is reserved, and for whom.
    pub(super) fn reserve_for_long_waiting(&mut self, now: Micros) {
        if now.since(self.fair_share.updated_at) < RESERVATION_INTERVAL {
            return;
        }
        let waits = |j: &Job| {
            let since = j.unplaced_since?;
            (j.waiting() > 0 && now.since(since) >= STARVED_AFTER).then(|| now.since(since))
        };
        self.count_steps(self.job_index.waiting_count());
        let mut long: Vec<(&Job, Micros)> = self
            .open_jobs()
            .filter_map(|j| Some((j, waits(j)?)))
            .collect();
        if long.is_empty() {
            self.fair_share = FairShare {
                updated_at: now,
                ..FairShare::default()
            };
            return;
        }
        long.sort_by_key(|(j, _)| (Reverse(j.spec.priority), j.queue_position(self.unix_time)));
        let mut teams: BTreeMap<String, JobId> = BTreeMap::new();
        let mut starved: Vec<JobId> = Vec::new();
        for (job, waited) in long {
            let spec = &job.spec;
            if self.within_limit(&spec.team, &spec.need()) {
                starved.push(spec.id.clone());
            } else if waited < STARVED_AFTER + TEAM_HOLD_LIMIT {
                teams
                    .entry(spec.team.clone())
                    .or_insert_with(|| spec.id.clone());
            }
        }
        self.fair_share.teams = teams;
        self.fair_share.updated_at = now;
        self.fair_share.machines = self.machines_for(starved);
    }

    /// The machines reserved for these jobs, the first of which go before the others.
    fn machines_for(&mut self, starved: Vec<JobId>) -> BTreeMap<MachineId, JobId> {
        let mut machines = std::mem::take(&mut self.fair_share.machines);
        let starved_jobs: HashSet<&JobId> = starved.iter().collect();
        machines.retain(|id, job| {
            let takes = self.machines.get(id).is_some_and(Machine::accepts_offers);
            takes && starved_jobs.contains(job)
        });
        let mut kept: HashMap<JobId, usize> = HashMap::new();
        for job in machines.values() {
            *kept.entry(job.clone()).or_default() += 1;
        }
        let jobs = starved.len();
        let max_reserved = self.machines.len() / MACHINES_PER_RESERVATION + 1;
        let waiting = self.open_jobs().filter(|j| j.waiting() > 0);
        let min_need = waiting.map(|j| j.spec.need()).reduce(|a, b| a.min(&b));
        for (place, id) in starved.into_iter().enumerate() {
            let Some(spec) = spec_of(&self.jobs, &id) else {
                continue;
            };
            // Of very many jobs a sample searches.
            if place >= SEARCHES_PER_CYCLE && self.rng.usize(..jobs) >= SEARCHES_PER_CYCLE {
                continue;
            }
            // A gang needs as many as it has tasks, another job one for its next task; what needs least of all is placed
            // without a reservation.
            let needed = match min_need {
                _ if spec.is_gang() => spec.tasks as usize,
                Some(min_need) if min_need != spec.need() && machines.len() < max_reserved => 1,
                _ => 0,
            };
            if kept.get(&id).copied().unwrap_or(0) < needed
                && let Some(machine) = self.machine_to_reserve(&id, &machines)
            {
                machines.insert(machine, id);
            }
        }
        machines
    }

    /// Jobs with waiting tasks, and perhaps some without.
    pub(super) fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.job_index.waiting().filter_map(|id| self.jobs.get(id))
    }

    /// The machine with the fewest tasks that could take one of the job.
    fn machine_to_reserve(
        &self,
        id: &JobId,
        kept: &BTreeMap<MachineId, JobId>,
    ) -> Option<MachineId> {
        let spec = spec_of(&self.jobs, id)?;
        let need = spec.need();
        let zone = kept.iter().find(|(_, job)| *job == id);
        let zone = zone
            .and_then(|(m, _)| self.machines.get(m))
            .map(|m| &m.zone);
        let fits = |(name, m): &(&MachineId, &Machine)| {
            m.accepts_offers()
                && m.total.holds(&need)
                && !kept.contains_key(*name)
                && !(spec.together && zone.is_some_and(|z| *z != m.zone))
                && self.accepts(id, name)
        };
        self.count_steps(self.machines.len());
        let machines = self.machines.iter().filter(fits);
        let best = machines.min_by_key(|(_, m)| m.reserved.len());
        best.map(|(name, _)| name.clone())
    }

    /// Whether a machine is reserved for another job that this one does not outrank.
    pub(super) fn is_reserved_for_another(&self, machine: &MachineId, id: &JobId) -> bool {
        let Some(keeper) = self.fair_share.machines.get(machine) else {
            return false;
        };
        keeper != id && !self.outranks(id, keeper)
    }

    /// Whether a job's team is held back for another of its jobs that this one does not outrank.
    pub(super) fn is_held_back(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(keeper) = self.fair_share.teams.get(&job.spec.team) else {
            return false;
        };
        keeper != id && !self.outranks(id, keeper)
    }

    fn outranks(&self, id: &JobId, other: &JobId) -> bool {
        let rank = |id: &JobId| self.jobs.get(id).map(|j| j.spec.priority);
        rank(id) > rank(other)
    }

    /// Records whether a job that was offered got anything placed.
    pub(super) fn record_offer_result(&mut self, id: &JobId, waiting_before: u32, now: Micros) {
        if let Some(job) = self.jobs.get_mut(id) {
            if job.waiting() == 0 || job.waiting() < waiting_before {
                job.unplaced_since = None;
            } else {
                job.unplaced_since.get_or_insert(now);
            }
        }
    }
}
