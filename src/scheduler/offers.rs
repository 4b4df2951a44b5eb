//! Offers: due jobs are offered to machines in id order, and the first machine that accepts gets the task.

use super::candidates::{Candidates, SearchOrder};
use super::events::SchedulerEvent;
use super::job::{Job, Placement, StopReason};
use super::job_spec::Priority;
use super::preemption::PreemptionPass;
use super::records::CHUNK_SIZE;
use super::{Scheduler, live_tasks, spec_of};
use crate::ids::{JobId, MachineId, TaskId};
use crate::units::{Micros, Resources};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of tasks of one job placed in one scheduling cycle, unless the fleet has more machines than this:
/// then one task per machine. Prevents a huge job from using up the whole cycle.
const MAX_PLACEMENTS_PER_JOB: usize = 512;
/// Number of offers planned for each job in a scheduling cycle. Where more jobs wait than the cycle's maximum of offers
/// allows for, jobs are offered less often.
const OFFERS_PER_JOB: usize = 16;
/// Minimum number of machines in a sample.
const MIN_SAMPLE_SIZE: usize = 8;

/// With at least this many machines per task, a job whose image takes too long to fetch is first placed with at most
/// one task per machine, so that as many machines as it has tasks fetch the image.
const MIN_MACHINES_PER_TASK: usize = 50;

/// Restricts which machines a job is offered to in one pass, and how many of its tasks each machine may get.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OfferPass {
    /// Only machines that have the job's image, are fetching it, or have a pending reservation for the job.
    with_image: bool,
    /// Only spot machines (`true`) or only on-demand machines (`false`); `None` means both.
    pub(super) spot: Option<bool>,
    /// At most one task per machine, so that more machines fetch the image where a fetch is necessary anyway.
    one_per_machine: bool,
    /// Only machines with accelerators in use.
    pub(super) accelerators_in_use: bool,
}

impl Scheduler {
    /// Runs one scheduling cycle: offers every due job to machines, and preempts tasks for jobs that must not wait.
    pub fn run_cycle(&mut self, now: Micros) {
        self.last_event_at = now;
        self.offers_made = 0;
        self.refresh_guarantees();
        if self.is_rebuilding() {
            return;
        }
        let due = self.due_jobs(now);
        if due.is_empty() {
            return;
        }
        self.reserve_for_starved_jobs(now);
        let mut machines = self.candidates(&due);
        let mut preemption = PreemptionPass::new(self.pending_free_resources(now));
        self.accelerator_headroom = self.compute_accelerator_headroom(&due);
        let sample = self.sample_size(due.len(), machines.len());
        if sample < machines.len() {
            self.events.push(SchedulerEvent::OffersSampled {
                jobs: due.len(),
                machines: machines.len(),
                sample,
            });
        }
        for id in &self.jobs_in_queue_order(&due) {
            if !due.contains(id) {
                self.apply_reservations(id, &mut machines);
                continue;
            }
            let waiting_before = self.jobs.get(id).map_or(0, Job::waiting);
            if !self.is_held_back(id) {
                let order = self.search_order(id, &mut machines, sample);
                self.offer_job(id, &mut machines, &order, &mut preemption, now);
            }
            self.record_offer_result(id, waiting_before, now);
            self.schedule_retry(id, now);
        }
        self.count_steps(machines.steps());
    }

    /// Returns the machines that a job is offered to in this scheduling cycle: all candidates, or a sample if offering
    /// the job to all of them would exceed the maximum of offers.
    fn search_order(
        &mut self,
        id: &JobId,
        machines: &mut Candidates,
        sample_size: usize,
    ) -> SearchOrder {
        let need = self.jobs.get(id).map(|job| job.spec.need());
        match need {
            Some(need) if sample_size < machines.len() => {
                SearchOrder::Some(machines.sample(&need, sample_size, &mut self.rng))
            }
            _ => SearchOrder::All,
        }
    }

    /// Offers one job in the passes that apply to it, and preempts tasks for it if it must not wait.
    fn offer_job(
        &mut self,
        id: &JobId,
        machines: &mut Candidates,
        order: &SearchOrder,
        preemption: &mut PreemptionPass,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let may_use_spot = spec.spot && !job.lost_work_on_spot;
        if spec.is_gang() {
            self.offer_gang(id, machines, order, now);
            return;
        }
        let any = OfferPass::default();
        let cached = OfferPass {
            with_image: true,
            ..any
        };
        // Tasks without accelerators are first placed on the remaining processors and memory of machines whose
        // accelerators are already in use.
        if spec.accelerators == 0.0 {
            let accelerators_in_use = true;
            let with_accelerators_in_use = OfferPass {
                accelerators_in_use,
                ..any
            };
            self.offer(id, machines, order, with_accelerators_in_use, now);
        }
        // Tasks that may use spot machines go to on-demand machines only if no spot machine has enough free resources:
        // spot machines are far cheaper.
        if may_use_spot {
            let spot = Some(true);
            self.offer(id, machines, order, OfferPass { spot, ..cached }, now);
            self.offer(id, machines, order, OfferPass { spot, ..any }, now);
        }
        self.offer(id, machines, order, cached, now);
        // If fetching the image to a free machine would take too long, the task instead preempts another task on a
        // machine that has the image.
        if self.fetch_is_too_slow(id) {
            self.preempt_for(id, true, preemption, now);
            // In a small fleet there are too few machines to give each task a machine of its own.
            let one_per_machine =
                self.machines.len() >= spec.tasks as usize * MIN_MACHINES_PER_TASK;
            self.offer(
                id,
                machines,
                order,
                OfferPass {
                    one_per_machine,
                    ..any
                },
                now,
            );
        }
        self.offer(id, machines, order, any, now);
        self.preempt_for(id, false, preemption, now);
        self.apply_reservations(id, machines);
    }

    /// Returns the due jobs and the jobs with pending reservations, in queue order.
    fn jobs_in_queue_order(&self, due: &BTreeSet<JobId>) -> Vec<JobId> {
        let pending_reservations = self
            .job_index
            .pending_reservations()
            .filter(|id| !due.contains(*id));
        let due_or_reserving = due.iter().chain(pending_reservations);
        let mut all: Vec<&Job> = due_or_reserving
            .filter_map(|id| self.jobs.get(id))
            .collect();
        self.sort_by_queue_position(&mut all);
        all.into_iter().map(|j| j.spec.id.clone()).collect()
    }

    /// Subtracts a job's pending reservations from the candidates' free resources, so that later jobs in the cycle
    /// can't use them.
    ///
    /// Without this, resources that are freed bit by bit for a large task would each be taken by a smaller one:
    /// preemptions would be ordered endlessly, and the large task would never start.
    fn apply_reservations(&self, id: &JobId, machines: &mut Candidates) {
        let Some(job) = self.jobs.get(id) else { return };
        let need = job.spec.need();
        for (machine, _) in &job.reservations {
            if let Some(i) = machines.position(machine) {
                machines.reserve(i, &need);
            }
        }
    }

    /// Returns, by priority, the highest processor and memory need per accelerator among the jobs of that priority or a
    /// higher one.
    ///
    /// On machines with accelerators in use, tasks without accelerators leave this much for each free accelerator.
    /// Without this, thousands of them would use up the processors of machines with free accelerators, which would be
    /// paid for but unusable.
    fn compute_accelerator_headroom(&self, due: &BTreeSet<JobId>) -> BTreeMap<Priority, Resources> {
        let mut headroom: BTreeMap<Priority, Resources> = BTreeMap::new();
        let uses_no_accelerator = |id: &JobId| {
            self.jobs
                .get(id)
                .is_some_and(|j| j.spec.accelerators == 0.0)
        };
        if !due.iter().any(uses_no_accelerator) {
            return headroom;
        }
        self.count_steps(self.jobs.len());
        for job in self
            .jobs
            .values()
            .filter(|j| j.spec.accelerators > 0.0 && !j.ending)
        {
            let spec = &job.spec;
            let per_accelerator = Resources::new(
                spec.cores / spec.accelerators,
                0.0,
                spec.ram_gb / spec.accelerators,
            );
            for priority in [
                Priority::Low,
                Priority::Normal,
                Priority::Urgent,
                Priority::Critical,
            ] {
                if priority <= spec.priority {
                    let max_need = headroom.entry(priority).or_default();
                    max_need.cores = max_need.cores.max(per_accelerator.cores);
                    max_need.memory = max_need.memory.max(per_accelerator.memory);
                }
            }
        }
        headroom
    }

    /// Sets the time at which a job with waiting tasks is offered again. A crash-looping job waits for its backoff.
    ///
    /// Where more jobs wait than can be offered in one retry interval, jobs below critical priority wait for as many
    /// intervals as it takes to offer all of them. Without this, the offers of a backlog of thousands of jobs would use
    /// up the controller's share of the processor.
    fn schedule_retry(&mut self, id: &JobId, now: Micros) {
        let jitter = self.rng.u64(0..=self.config.max_retry_jitter.0);
        let jobs_per_retry = (self.config.max_offers_per_cycle / OFFERS_PER_JOB).max(1);
        let intervals = 1 + self.job_index.waiting_count() / jobs_per_retry;
        if let Some(job) = self.jobs.get_mut(id)
            && job.waiting() > 0
        {
            let backoff = if job.crash_looping {
                job.backoff()
            } else if job.spec.priority == Priority::Critical {
                self.config.retry_interval
            } else {
                self.config.retry_interval.scaled(intervals as u64, 1)
            };
            job.next_offer_at = now + backoff + Micros(jitter);
            self.job_index.schedule(job);
        }
    }

    /// Offers a gang: places all of its tasks or none. A gang that lost a task is stopped, and starts again as a whole.
    fn offer_gang(
        &mut self,
        id: &JobId,
        machines: &mut Candidates,
        order: &SearchOrder,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.live > 0 {
            self.stop_all(id, StopReason::Drained);
            return;
        }
        let by_zone = if job.spec.together {
            self.machines_by_zone(machines, order)
        } else {
            Vec::new()
        };
        if by_zone.is_empty() {
            self.try_offer_gang(id, machines, order, now);
            return;
        }
        for zone_machines in by_zone {
            if self.try_offer_gang(id, machines, &SearchOrder::Some(zone_machines), now) {
                return;
            }
        }
    }

    /// Offers a gang to these machines. Returns whether all of its tasks were placed; if not, none is.
    fn try_offer_gang(
        &mut self,
        id: &JobId,
        machines: &mut Candidates,
        order: &SearchOrder,
        now: Micros,
    ) -> bool {
        self.offer(id, machines, order, OfferPass::default(), now);
        let Some(job) = self.jobs.get(id) else {
            return true;
        };
        if job.waiting() == 0 {
            return true;
        }
        let need = job.spec.need();
        let placed: Vec<MachineId> = live_tasks(job).map(|(_, p)| p.machine.clone()).collect();
        self.release_unwritten(id);
        for machine in placed {
            if let Some(i) = machines.position(&machine) {
                machines.undo_placement(i, &need);
            }
        }
        false
    }

    /// Stops all tasks of a job that are on machines.
    fn stop_all(&mut self, id: &JobId, reason: StopReason) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for (number, chunk) in &mut job.chunks {
            for (i, p) in &mut chunk.live {
                p.stopping.get_or_insert(reason);
                let index = number * CHUNK_SIZE + u32::from(*i);
                let job = id.clone();
                self.job_index.add_stopping(TaskId { job, index });
            }
        }
    }

    /// Returns the machines of a search order grouped by zone.
    fn machines_by_zone(&self, machines: &Candidates, order: &SearchOrder) -> Vec<Vec<usize>> {
        let all: Vec<usize> = match order {
            SearchOrder::Some(positions) => positions.clone(),
            SearchOrder::All | SearchOrder::WithImage { .. } => (0..machines.len()).collect(),
        };
        let mut by_zone: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for i in all {
            let zone = &self.machines[&machines.get(i).id].zone;
            by_zone.entry(zone).or_default().push(i);
        }
        by_zone.into_values().collect()
    }

    /// Returns whether fetching the job's image would delay a task's start beyond the maximum start delay of its class,
    /// even on the machine type with the fastest fetch.
    fn fetch_is_too_slow(&self, id: &JobId) -> bool {
        let Some(spec) = spec_of(&self.jobs, id) else {
            return false;
        };
        let Some(max_start_delay) = self.config.max_start_delay.get(&spec.class) else {
            return false;
        };
        let fetch_rates = self.machine_types.values().map(|f| f.fetch_gb_per_s);
        let fetch_gb_per_s = fetch_rates.fold(0.001, f64::max);
        Micros::from_secs_f64(spec.image_gb / fetch_gb_per_s) + self.config.heartbeat_interval
            > *max_start_delay
    }

    /// Sorts jobs in queue order: critical jobs first, then jobs within their team's guarantee, then by priority, then
    /// by deadline or age.
    ///
    /// Guarantees go before priority: an urgent job that borrows another team's guaranteed resources and that team's
    /// guaranteed job would otherwise preempt each other endlessly.
    pub(super) fn sort_by_queue_position(&self, jobs: &mut [&Job]) {
        jobs.sort_by_cached_key(|j| {
            let is_below_critical = j.spec.priority < Priority::Critical;
            let exceeds_guarantee = !self.guarantees.covers(j);
            let priority = Reverse(j.spec.priority);
            let queue_position = j.queue_position(self.unix_time);
            (
                is_below_critical,
                exceeds_guarantee,
                priority,
                queue_position,
                j.spec.id.clone(),
            )
        });
    }

    /// Takes the jobs that are due to be offered from the job index.
    fn due_jobs(&mut self, now: Micros) -> BTreeSet<JobId> {
        let (due, steps) = self.job_index.take_due(&self.jobs, now);
        self.count_steps(steps);
        due
    }

    /// Returns the machines, in id order, that take offers and whose free resources fit the smallest task of these
    /// jobs. No other machine could accept any of them.
    fn candidates(&self, due: &BTreeSet<JobId>) -> Candidates {
        self.count_steps(self.machines.len());
        let task_needs = due.iter().filter_map(|id| self.jobs.get(id));
        let task_needs = task_needs.map(|job| job.spec.need());
        let smallest = task_needs.reduce(|a, b| a.min(&b)).unwrap_or_default();
        Candidates::new(&self.machines, &smallest)
    }

    /// Returns the number of machines that each job may be offered to within the cycle's maximum of offers.
    fn sample_size(&self, jobs: usize, machines: usize) -> usize {
        let machines_per_job = self.config.max_offers_per_cycle / jobs.max(1);
        if machines_per_job >= machines {
            machines
        } else {
            machines_per_job.max(MIN_SAMPLE_SIZE)
        }
    }

    /// Offers a job's waiting tasks to the machines of a pass. In a pass that does not ask for the image, leaves out as
    /// many tasks as the job has pending reservations.
    fn offer(
        &mut self,
        id: &JobId,
        machines: &mut Candidates,
        order: &SearchOrder,
        pass: OfferPass,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.reservations.retain(|(_, until)| *until > now);
        let spec = job.spec.clone();
        let need = spec.need();
        let accelerator_headroom = self.accelerator_headroom.get(&spec.priority);
        let accelerator_headroom = accelerator_headroom.copied().unwrap_or_default();
        let mut budget = job.schedulable_tasks() as usize;
        if !spec.is_gang() {
            budget = budget.min(MAX_PLACEMENTS_PER_JOB.max(self.machines.len()));
        }
        if !pass.with_image {
            budget = budget.saturating_sub(job.reservations.len());
        }
        let with_image = pass
            .with_image
            .then(|| self.machines_with_image(id, machines, order, now));
        let order = with_image.as_ref().unwrap_or(order);
        let mut next_task = 0;
        let mut from_position = 0;
        while budget > 0 {
            let Some((position, i)) = machines.next(order, from_position, &need, &pass) else {
                return;
            };
            from_position = position + 1;
            self.offers_made += 1;
            let machine = machines.get(i).id.clone();
            if pass.accelerators_in_use && !machines.get(i).uses_accelerators()
                || self.is_reserved_for_another(&machine, id)
            {
                continue;
            }
            while budget > 0
                && machines.get(i).holds(&need, accelerator_headroom)
                && self.accepts(id, &machine)
            {
                let waiting = self.jobs.get(id).and_then(|j| j.next_waiting(next_task));
                let Some(index) = waiting else {
                    return;
                };
                if !self.within_limit(&spec.team, &need) {
                    return;
                }
                self.place(id, index, &machine, now);
                machines.place(i, &need);
                machines.record_image(i, &spec.image);
                next_task = index + 1;
                budget -= 1;
                if pass.one_per_machine {
                    break;
                }
            }
        }
    }

    /// Returns the machines of a search order that have the job's image, are fetching it, or have a pending reservation
    /// for the job. A task that is being moved is offered only to the machines reserved for the job.
    fn machines_with_image(
        &self,
        id: &JobId,
        machines: &mut Candidates,
        order: &SearchOrder,
        now: Micros,
    ) -> SearchOrder {
        let Some(job) = self.jobs.get(id) else {
            return SearchOrder::Some(Vec::new());
        };
        let reserved = job
            .reservations
            .iter()
            .filter_map(|(m, _)| machines.position(m));
        let mut reserved: Vec<usize> = reserved.collect();
        reserved.sort_unstable();
        if job.moving_until > now && !reserved.is_empty() {
            return SearchOrder::Some(reserved);
        }
        machines.index_image(&job.spec.image, &self.machines);
        machines.with_image(order, &job.spec.image, reserved)
    }

    /// Returns whether a machine may get one more task of the job, apart from free resources and the team's limit.
    pub(super) fn accepts(&self, id: &JobId, machine: &MachineId) -> bool {
        let (Some(m), Some(job)) = (self.machines.get(machine), self.jobs.get(id)) else {
            return false;
        };
        job.allows(&m.machine_type, &m.zone, m.spot)
            && !job.failed_on.contains(machine)
            && zone_allows(job, &m.zone, 0, None)
    }

    /// Places a waiting task on a machine, and drops one of the job's pending reservations: the one on this machine if
    /// there is one.
    fn place(&mut self, id: &JobId, index: u32, machine: &MachineId, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = job.spec.clone();
        let attempt = job.next_attempt(index / CHUNK_SIZE, self.min_attempt);
        let chunk = job.chunks.entry(index / CHUNK_SIZE).or_default();
        chunk.last_attempt = attempt;
        let reservation = job.reservations.iter().position(|(m, _)| m == machine);
        if let Some(i) = reservation.or(job.reservations.len().checked_sub(1)) {
            job.reservations.swap_remove(i);
        }
        chunk.live.insert(
            (index % CHUNK_SIZE) as u8,
            Placement {
                machine: machine.clone(),
                attempt: chunk.last_attempt,
                committed: false,
                inherited: false,
                sent: None,
                reported_state: None,
                running_since: None,
                stopping: None,
            },
        );
        self.events.push(SchedulerEvent::TaskPlaced {
            task: TaskId {
                job: id.clone(),
                index,
            },
            machine: machine.clone(),
            attempt,
        });
        self.mark_dirty(id, index / CHUNK_SIZE);
        self.reserve_on_machine(id, index, machine, now);
        self.record_image(machine, &spec);
    }
}

/// Returns whether one more task of the job may be placed in the zone, in addition to those placed there and `planned`
/// more. With `leaving`, one task that moves away from that zone does not count.
///
/// Tasks on machines whose zone is not known yet count against every zone.
pub(super) fn zone_allows(job: &Job, zone: &str, planned: u32, leaving: Option<&str>) -> bool {
    let zone_unknown = job.live_by_zone.get("").copied().unwrap_or(0);
    let mut in_zone = job.live_by_zone.get(zone).copied().unwrap_or(0);
    let mut total = job.live;
    if let Some(leaving) = leaving {
        total -= 1;
        in_zone -= u32::from(leaving == zone && in_zone > 0);
    }
    if job.spec.together && total > in_zone {
        return false;
    }
    in_zone + zone_unknown + planned < job.spec.max_tasks_per_zone()
}
