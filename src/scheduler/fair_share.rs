//! Fair share: reserves machines for starved jobs, which would otherwise be overtaken by smaller ones indefinitely.
//!
//! Offers give resources to the first due job that fits. A job whose tasks need more than is ever free at once (on a
//! machine, in its zone or within its team's limit) could wait for as long as smaller jobs keep coming.

use super::job::Job;
use super::machine::Machine;
use super::{Scheduler, spec_of};
use crate::ids::{JobId, MachineId};
use crate::units::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A job that was offered for this long without any task being placed is starved, and machines are reserved for it.
const STARVED_AFTER: Micros = Micros::secs(30);
/// Time for which later jobs of a team at its limit are held back for a starved job. Tasks that block it for longer
/// will not end soon.
const MAX_TEAM_HOLD: Micros = Micros::secs(120);
/// Divisor of the fleet size. A machine is reserved for a job other than a gang only while the number of reserved
/// machines is below the quotient plus one.
const MACHINES_PER_RESERVATION: usize = 50;

/// Interval at which reservations are recomputed. Scheduling cycles may be far more frequent than offers of a single
/// job.
const RESERVATION_INTERVAL: Micros = Micros::millis(200);
/// Number of starved jobs that always search for a machine to reserve in a scheduling cycle. About as many of the
/// others, chosen at random, search too.
const SEARCHES_PER_CYCLE: usize = 32;

/// Reservations for starved jobs.
#[derive(Debug, Default)]
pub(super) struct FairShare {
    /// Machines reserved for a job until it is placed there.
    machines: BTreeMap<MachineId, JobId>,
    /// Teams whose later jobs are held back for a starved job that exceeds the team's limit.
    teams: BTreeMap<String, JobId>,
    /// When the reservations were last recomputed.
    updated_at: Micros,
}

impl Scheduler {
    /// Recomputes which machines and teams are reserved for starved jobs.
    pub(super) fn reserve_for_starved_jobs(&mut self, now: Micros) {
        if now.since(self.fair_share.updated_at) < RESERVATION_INTERVAL {
            return;
        }
        let starved_for = |j: &Job| {
            let since = j.unplaced_since?;
            (j.waiting() > 0 && now.since(since) >= STARVED_AFTER).then(|| now.since(since))
        };
        self.count_steps(self.job_index.waiting_count());
        let mut long_waiting: Vec<(&Job, Micros)> = self
            .jobs_with_waiting_tasks()
            .filter_map(|j| Some((j, starved_for(j)?)))
            .collect();
        if long_waiting.is_empty() {
            self.fair_share = FairShare {
                updated_at: now,
                ..FairShare::default()
            };
            return;
        }
        long_waiting
            .sort_by_key(|(j, _)| (Reverse(j.spec.priority), j.queue_position(self.unix_time)));
        let mut teams: BTreeMap<String, JobId> = BTreeMap::new();
        let mut starved: Vec<JobId> = Vec::new();
        for (job, waited) in long_waiting {
            let spec = &job.spec;
            if self.within_limit(&spec.team, &spec.need()) {
                starved.push(spec.id.clone());
            } else if waited < STARVED_AFTER + MAX_TEAM_HOLD {
                teams
                    .entry(spec.team.clone())
                    .or_insert_with(|| spec.id.clone());
            }
        }
        self.fair_share.teams = teams;
        self.fair_share.updated_at = now;
        self.fair_share.machines = self.update_reserved_machines(starved);
    }

    /// Returns the machines reserved for these jobs, of which the first take precedence.
    fn update_reserved_machines(&mut self, starved: Vec<JobId>) -> BTreeMap<MachineId, JobId> {
        let mut machines = std::mem::take(&mut self.fair_share.machines);
        let starved_jobs: HashSet<&JobId> = starved.iter().collect();
        machines.retain(|id, job| {
            let takes_offers = self.machines.get(id).is_some_and(Machine::accepts_offers);
            takes_offers && starved_jobs.contains(job)
        });
        let mut reserved_count: HashMap<JobId, usize> = HashMap::new();
        for job in machines.values() {
            *reserved_count.entry(job.clone()).or_default() += 1;
        }
        let starved_count = starved.len();
        let max_reserved = self.machines.len() / MACHINES_PER_RESERVATION + 1;
        let waiting = self.jobs_with_waiting_tasks().filter(|j| j.waiting() > 0);
        let min_need = waiting.map(|j| j.spec.need()).reduce(|a, b| a.min(&b));
        for (position, id) in starved.into_iter().enumerate() {
            let Some(spec) = spec_of(&self.jobs, &id) else {
                continue;
            };
            // Bounds the cost with very many starved jobs: beyond the first ones, only a random sample searches.
            if position >= SEARCHES_PER_CYCLE
                && self.rng.usize(..starved_count) >= SEARCHES_PER_CYCLE
            {
                continue;
            }
            // A gang needs a machine per task, any other job one machine for its next task. Jobs with the smallest
            // tasks are placed without a reservation.
            let needed = match min_need {
                _ if spec.is_gang() => spec.tasks as usize,
                Some(min_need) if min_need != spec.need() && machines.len() < max_reserved => 1,
                _ => 0,
            };
            if reserved_count.get(&id).copied().unwrap_or(0) < needed
                && let Some(machine) = self.machine_to_reserve(&id, &machines)
            {
                machines.insert(machine, id);
            }
        }
        machines
    }

    /// Returns the jobs with waiting tasks, possibly with stale entries of jobs without any.
    pub(super) fn jobs_with_waiting_tasks(&self) -> impl Iterator<Item = &Job> {
        self.job_index.waiting().filter_map(|id| self.jobs.get(id))
    }

    /// Returns the machine with the fewest tasks that is large enough for a task of the job and accepts it.
    fn machine_to_reserve(
        &self,
        id: &JobId,
        reserved: &BTreeMap<MachineId, JobId>,
    ) -> Option<MachineId> {
        let spec = spec_of(&self.jobs, id)?;
        let need = spec.need();
        let zone = reserved.iter().find(|(_, job)| *job == id);
        let zone = zone
            .and_then(|(m, _)| self.machines.get(m))
            .map(|m| &m.zone);
        let fits = |(machine_id, m): &(&MachineId, &Machine)| {
            m.accepts_offers()
                && m.total.can_fit(&need)
                && !reserved.contains_key(*machine_id)
                && !(spec.together && zone.is_some_and(|z| *z != m.zone))
                && self.accepts(id, machine_id)
        };
        self.count_steps(self.machines.len());
        let machines = self.machines.iter().filter(fits);
        let least_loaded = machines.min_by_key(|(_, m)| m.reserved.len());
        least_loaded.map(|(machine_id, _)| machine_id.clone())
    }

    /// Returns whether a machine is reserved for another job of the same or a higher priority.
    pub(super) fn is_reserved_for_another(&self, machine: &MachineId, id: &JobId) -> bool {
        let Some(holder) = self.fair_share.machines.get(machine) else {
            return false;
        };
        holder != id && !self.outranks(id, holder)
    }

    /// Returns whether a job is held back for another job of its team with the same or a higher priority.
    pub(super) fn is_held_back(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(holder) = self.fair_share.teams.get(&job.spec.team) else {
            return false;
        };
        holder != id && !self.outranks(id, holder)
    }

    fn outranks(&self, id: &JobId, other: &JobId) -> bool {
        let priority = |id: &JobId| self.jobs.get(id).map(|j| j.spec.priority);
        priority(id) > priority(other)
    }

    /// Records whether any task of a job was placed when the job was offered.
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
