//! Offers: due jobs are offered to machines in id order, and the first that accepts takes the task.

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

/// Tasks of one job placed in one scheduling cycle, so that one huge job can't take all of it; or one for each machine, where
/// they are more.
const TASKS_PER_JOB: usize = 512;
/// Each job's share of a scheduling cycle's offers; where more jobs wait, they are offered less often.
const OFFERS_PER_JOB: usize = 16;
/// A sample holds at least so many machines.
const MIN_SAMPLE: usize = 8;

/// With so many machines for each task of a job, what must be fetched anyway is fetched by as many as it has tasks.
const MACHINES_PER_TASK: usize = 50;

/// Which machines a job is offered to in one pass, and how many of its tasks each may take.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pass {
    /// Only those that have its image, are fetching it, or were cleared for it.
    with_image: bool,
    /// Only spot machines, or only ordinary ones.
    pub(super) spot: Option<bool>,
    /// One task a machine: what must be fetched anyway is then had by more machines.
    one_each: bool,
    /// Only those with accelerators in use.
    pub(super) accelerators_in_use: bool,
}

impl Scheduler {
    /// Runs one scheduling cycle: offers every due job, and preempts for what must not wait.
    pub fn run_cycle(&mut self, now: Micros) {
        self.latest = now;
        self.offers_made = 0;
        self.refresh_guarantees();
        if self.is_rebuilding() {
            return;
        }
        let due = self.due_jobs(now);
        if due.is_empty() {
            return;
        }
        self.reserve_for_long_waiting(now);
        let mut machines = self.candidates(&due);
        let mut room = PreemptionPass::new(self.incoming_resources(now));
        self.accelerator_headroom = self.compute_accelerator_headroom(&due);
        let sample = self.sample_size(due.len(), machines.len());
        if sample < machines.len() {
            self.events.push(SchedulerEvent::OffersSampled {
                jobs: due.len(),
                machines: machines.len(),
                sample,
            });
        }
        for id in &self.with_pending_reservations(&due) {
            if !due.contains(id) {
                self.apply_reservations(id, &mut machines);
                continue;
            }
            let before = self.jobs.get(id).map_or(0, Job::waiting);
            if !self.is_held_back(id) {
                let order = self.order_for(id, &mut machines, sample);
                self.offer_job(id, &mut machines, &order, &mut room, now);
            }
            self.record_offer_result(id, before, now);
            self.delay(id, now);
        }
        self.count_steps(machines.steps());
    }

    /// The machines that a job is offered to in this scheduling cycle: all of them, or a sample where that would be too many offers.
    fn order_for(&mut self, id: &JobId, machines: &mut Candidates, sample: usize) -> SearchOrder {
        let need = self.jobs.get(id).map(|job| job.spec.need());
        match need {
            Some(need) if sample < machines.len() => {
                SearchOrder::Some(machines.sample(&need, sample, &mut self.rng))
            }
            _ => SearchOrder::All,
        }
    }

    /// Offers one job in the passes that it needs, and preempts for it where it must not wait.
    fn offer_job(
        &mut self,
        id: &JobId,
        machines: &mut Candidates,
        order: &SearchOrder,
        room: &mut PreemptionPass,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let may_use_spot = spec.spot && !job.lost_work_on_spot;
        if spec.is_gang() {
            self.offer_whole(id, machines, order, now);
            return;
        }
        let any = Pass::default();
        let cached = Pass {
            with_image: true,
            ..any
        };
        // What takes no accelerators first takes what is left beside those in use.
        if spec.accelerators == 0.0 {
            let accelerators_in_use = true;
            let headroom = Pass {
                accelerators_in_use,
                ..any
            };
            self.offer(id, machines, order, headroom, now);
        }
        // Ordinary machines decline what may use spot ones, which are far cheaper, while these have room.
        if may_use_spot {
            let spot = Some(true);
            self.offer(id, machines, order, Pass { spot, ..cached }, now);
            self.offer(id, machines, order, Pass { spot, ..any }, now);
        }
        self.offer(id, machines, order, cached, now);
        // A task that would wait too long for its image on a free machine rather takes the place of another on
        // a machine that has it.
        if self.fetch_is_too_slow(id) {
            self.preempt_for(id, true, room, now);
            // In a small fleet the machines are too few to give each task one of its own.
            let one_each = self.machines.len() >= spec.tasks as usize * MACHINES_PER_TASK;
            self.offer(id, machines, order, Pass { one_each, ..any }, now);
        }
        self.offer(id, machines, order, any, now);
        self.preempt_for(id, false, room, now);
        self.apply_reservations(id, machines);
    }

    /// These jobs and those with pending reservations, in queue order.
    fn with_pending_reservations(&self, due: &BTreeSet<JobId>) -> Vec<JobId> {
        let pending_reservations = self
            .job_index
            .pending_reservations()
            .filter(|id| !due.contains(*id));
        let concerned = due.iter().chain(pending_reservations);
        let mut all: Vec<&Job> = concerned.filter_map(|id| self.jobs.get(id)).collect();
        self.sort_by_queue_position(&mut all);
        all.into_iter().map(|j| j.spec.id.clone()).collect()
    }

    /// Withholds from the jobs after this one what is reserved for it.
    ///
    /// Guards against resources for a large task that free bit by bit, each taken by a smaller one: preemptions would be
    /// ordered for ever, and the large task would never begin.
    fn apply_reservations(&self, id: &JobId, machines: &mut Candidates) {
        let Some(job) = self.jobs.get(id) else { return };
        let need = job.spec.need();
        for (machine, _) in &job.reservations {
            if let Some(i) = machines.position(machine) {
                machines.take(i, &need);
            }
        }
    }

    /// By priority, the processors and memory that a task with one accelerator takes at the most, of jobs that are not
    /// lower.
    ///
    /// Guards against thousands of tasks without accelerators that use up the processors beside free ones: those would
    /// be paid for, and of no use to anybody.
    fn compute_accelerator_headroom(&self, due: &BTreeSet<JobId>) -> BTreeMap<Priority, Resources> {
        let mut headroom: BTreeMap<Priority, Resources> = BTreeMap::new();
        let takes_none = |id: &JobId| {
            self.jobs
                .get(id)
                .is_some_and(|j| j.spec.accelerators == 0.0)
        };
        if !due.iter().any(takes_none) {
            return headroom;
        }
        self.count_steps(self.jobs.len());
        for job in self
            .jobs
            .values()
            .filter(|j| j.spec.accelerators > 0.0 && !j.ending)
        {
            let spec = &job.spec;
            let one = Resources::new(
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
                    max_need.cores = max_need.cores.max(one.cores);
                    max_need.memory = max_need.memory.max(one.memory);
                }
            }
        }
        headroom
    }

    /// Sets the next try of a job with waiting tasks.
    ///
    /// Guards against a backlog of thousands of jobs whose offers take all of the processor's share: where more wait than
    /// may be offered in an interval, those below critical wait for as many intervals as it takes.
    fn delay(&mut self, id: &JobId, now: Micros) {
        let jitter = self.rng.u64(0..=self.config.jitter.0);
        let jobs_per_retry = (self.config.max_offers_per_cycle / OFFERS_PER_JOB).max(1);
        let intervals = 1 + self.job_index.waiting_count() / jobs_per_retry;
        if let Some(job) = self.jobs.get_mut(id)
            && job.waiting() > 0
        {
            let pause = if job.crash_looping {
                job.backoff()
            } else if job.spec.priority == Priority::Critical {
                self.config.retry
            } else {
                self.config.retry.scaled(intervals as u64, 1)
            };
            job.next_offer_at = now + pause + Micros(jitter);
            self.job_index.schedule(job);
        }
    }

    /// Offers a gang: all its tasks are placed or none. One that lost a member is stopped, and starts whole again.
    fn offer_whole(
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
        let parts = if job.spec.together {
            self.order_by_zone(machines, order)
        } else {
            Vec::new()
        };
        if parts.is_empty() {
            self.offer_whole_to(id, machines, order, now);
            return;
        }
        for part in parts {
            if self.offer_whole_to(id, machines, &SearchOrder::Some(part), now) {
                return;
            }
        }
    }

    /// Offers a gang to these machines; whether it was placed.
    fn offer_whole_to(
        &mut self,
        id: &JobId,
        machines: &mut Candidates,
        order: &SearchOrder,
        now: Micros,
    ) -> bool {
        self.offer(id, machines, order, Pass::default(), now);
        let Some(job) = self.jobs.get(id) else {
            return true;
        };
        if job.waiting() == 0 {
            return true;
        }
        let need = job.spec.need();
        let placed: Vec<MachineId> = live_tasks(job).map(|(_, p)| p.machine.clone()).collect();
        self.drop_unwritten(id);
        for machine in placed {
            if let Some(i) = machines.position(&machine) {
                machines.take_back(i, &need);
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

    /// The machines of a search order, zone by zone.
    fn order_by_zone(&self, machines: &Candidates, order: &SearchOrder) -> Vec<Vec<usize>> {
        let all: Vec<usize> = match order {
            SearchOrder::Some(some) => some.clone(),
            SearchOrder::All | SearchOrder::WithImage { .. } => (0..machines.len()).collect(),
        };
        let mut by_zone: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for i in all {
            let zone = &self.machines[&machines.get(i).id].zone;
            by_zone.entry(zone).or_default().push(i);
        }
        by_zone.into_values().collect()
    }

    /// Whether a task of the job could not start within its class's time where its image must be fetched first.
    fn fetch_is_too_slow(&self, id: &JobId) -> bool {
        let Some(spec) = spec_of(&self.jobs, id) else {
            return false;
        };
        let Some(within) = self.config.wait_within.get(&spec.class) else {
            return false;
        };
        let rates = self.machine_types.values().map(|f| f.fetch_gb_per_s);
        let rate = rates.fold(0.001, f64::max);
        Micros::from_secs_f64(spec.image_gb / rate) + self.config.heartbeat_interval > *within
    }

    /// Sorts jobs: what is critical first, then guarantees before borrowing, then by priority, then by deadline or age.
    ///
    /// Guards against urgent work that another team lends room to, in front of what that team is guaranteed: the two
    /// would stop each other's tasks for ever.
    pub(super) fn sort_by_queue_position(&self, jobs: &mut [&Job]) {
        jobs.sort_by_cached_key(|j| {
            let waits = j.spec.priority < Priority::Critical;
            let exceeds_guarantee = !self.guarantees.covers(j);
            let priority = Reverse(j.spec.priority);
            let queue_position = j.queue_position(self.unix_time);
            (
                waits,
                exceeds_guarantee,
                priority,
                queue_position,
                j.spec.id.clone(),
            )
        });
    }

    /// Jobs to offer now.
    fn due_jobs(&mut self, now: Micros) -> BTreeSet<JobId> {
        let (due, steps) = self.job_index.due(&self.jobs, now);
        self.count_steps(steps);
        due
    }

    /// Machines that take offers and fit the smallest of these jobs' tasks, in id order: the others need not
    /// be asked.
    fn candidates(&self, due: &BTreeSet<JobId>) -> Candidates {
        self.count_steps(self.machines.len());
        let needs = due.iter().filter_map(|id| self.jobs.get(id));
        let needs = needs.map(|job| job.spec.need());
        let smallest = needs.reduce(|a, b| a.min(&b)).unwrap_or_default();
        Candidates::new(&self.machines, &smallest)
    }

    /// How many machines each job may be offered to within the scheduling cycle's allowance.
    fn sample_size(&self, jobs: usize, machines: usize) -> usize {
        let fair = self.config.max_offers_per_cycle / jobs.max(1);
        if fair >= machines {
            machines
        } else {
            fair.max(MIN_SAMPLE)
        }
    }

    /// Offers a job's waiting tasks to the machines of a pass; tasks that wait for a place being cleared are left out
    /// where the image is not asked for.
    fn offer(
        &mut self,
        id: &JobId,
        machines: &mut Candidates,
        order: &SearchOrder,
        pass: Pass,
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
            budget = budget.min(TASKS_PER_JOB.max(self.machines.len()));
        }
        if !pass.with_image {
            budget = budget.saturating_sub(job.reservations.len());
        }
        let ready = pass
            .with_image
            .then(|| self.ready_machines(id, machines, order, now));
        let order = ready.as_ref().unwrap_or(order);
        let mut next_task = 0;
        let mut from = 0;
        while budget > 0 {
            let Some((place, i)) = machines.next(order, from, &need, &pass) else {
                return;
            };
            from = place + 1;
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
                if pass.one_each {
                    break;
                }
            }
        }
    }

    /// Those machines of a search order that have a job's image, are fetching it or were cleared for it. What is moved goes
    /// where it has its reservation.
    fn ready_machines(
        &self,
        id: &JobId,
        machines: &mut Candidates,
        order: &SearchOrder,
        now: Micros,
    ) -> SearchOrder {
        let Some(job) = self.jobs.get(id) else {
            return SearchOrder::Some(Vec::new());
        };
        let cleared = job
            .reservations
            .iter()
            .filter_map(|(m, _)| machines.position(m));
        let mut cleared: Vec<usize> = cleared.collect();
        cleared.sort_unstable();
        if job.moving_until > now && !cleared.is_empty() {
            return SearchOrder::Some(cleared);
        }
        machines.index_image(&job.spec.image, &self.machines);
        machines.with_image(order, &job.spec.image, cleared)
    }

    /// Whether a machine may take one more task of the job, free resources and team limit aside.
    pub(super) fn accepts(&self, id: &JobId, machine: &MachineId) -> bool {
        let (Some(m), Some(job)) = (self.machines.get(machine), self.jobs.get(id)) else {
            return false;
        };
        job.allows(&m.machine_type, &m.zone, m.spot)
            && !job.failed_on.contains(machine)
            && zone_takes(job, &m.zone, 0, None)
    }

    fn place(&mut self, id: &JobId, index: u32, machine: &MachineId, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = job.spec.clone();
        let attempt = job.next_attempt(index / CHUNK_SIZE, self.min_attempt);
        let chunk = job.chunks.entry(index / CHUNK_SIZE).or_default();
        chunk.last_attempt = attempt;
        let claim = job.reservations.iter().position(|(m, _)| m == machine);
        if let Some(i) = claim.or(job.reservations.len().checked_sub(1)) {
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

/// Whether one more task of the job may be in the zone, beside those placed and `planned` more there; a task that
/// moves away from the zone `leaving` does not count.
///
/// Tasks on machines whose zone is not known yet count against every zone.
pub(super) fn zone_takes(job: &Job, zone: &str, planned: u32, leaving: Option<&str>) -> bool {
    let unknown = job.live_by_zone.get("").copied().unwrap_or(0);
    let mut here = job.live_by_zone.get(zone).copied().unwrap_or(0);
    let mut all = job.live;
    if let Some(left) = leaving {
        all -= 1;
        here -= u32::from(left == zone && here > 0);
    }
    if job.spec.together && all > here {
        return false;
    }
    here + unknown + planned < job.spec.max_tasks_per_zone()
}
