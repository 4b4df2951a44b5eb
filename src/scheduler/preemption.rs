//! Preemption: stops tasks in favor of jobs that must not wait, only where the protocol's rules on priorities and
//! guarantees allow it, and with the least loss of work.

use super::events::SchedulerEvent;
use super::job::{Job, StopReason};
use super::job_spec::{JobSpec, Priority, Shape};
use super::machine::Machine;
use super::{Scheduler, spec_of};
use crate::ids::{JobId, MachineId, TaskId};
use crate::units::{Micros, Resources};
use std::collections::BTreeMap;

/// Time that a stopped task needs until it runs again elsewhere. An array task that ran for less than this is not
/// stopped for an array of a higher priority: the restart would cost more than the preemption gains.
const RESTART_TIME: Micros = Micros::secs(45);
/// Maximum number of preemptions for one job in one scheduling cycle, unless `MACHINES_PER_PREEMPTION` allows more.
const MAX_PREEMPTIONS_PER_CYCLE: usize = 16;
/// Number of machines per preemption allowed for one job in one scheduling cycle. Lets large fleets exceed
/// `MAX_PREEMPTIONS_PER_CYCLE`.
const MACHINES_PER_PREEMPTION: usize = 64;

/// What a scheduling cycle knows about the resources that preemption can free.
pub(super) struct PreemptionPass {
    /// Resources about to be free, by machine: those of tasks being stopped there, minus pending reservations.
    pending_free: BTreeMap<MachineId, Resources>,
    /// Machines with tasks that could be preempted for some job. Computed on first use.
    preemptible: Option<Vec<MachineId>>,
}

impl PreemptionPass {
    pub(super) fn new(pending_free: BTreeMap<MachineId, Resources>) -> PreemptionPass {
        PreemptionPass {
            pending_free,
            preemptible: None,
        }
    }
}

impl Scheduler {
    /// Returns the resources about to be free, by machine: those of tasks being stopped there, minus pending
    /// reservations. Drops expired reservations.
    pub(super) fn pending_free_resources(&mut self, now: Micros) -> BTreeMap<MachineId, Resources> {
        let mut pending_free: BTreeMap<MachineId, Resources> = BTreeMap::new();
        for task in self.job_index.stopping() {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let placement = job.placement(task.index);
            if let Some(p) = placement.filter(|p| p.stopping.is_some()) {
                *pending_free.entry(p.machine.clone()).or_default() += job.spec.need();
            }
        }
        for id in self.job_index.pending_reservations() {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            job.reservations.retain(|(_, until)| *until > now);
            for (machine, _) in &job.reservations {
                *pending_free.entry(machine.clone()).or_default() -= job.spec.need();
            }
        }
        self.job_index.prune(&self.jobs);
        pending_free
    }

    /// Preempts tasks for a job that must not wait, where this lets its tasks start. With `with_image`, only on
    /// machines that have the job's image.
    pub(super) fn preempt_for(
        &mut self,
        id: &JobId,
        with_image: bool,
        pass: &mut PreemptionPass,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let unreserved_tasks =
            (job.schedulable_tasks() as usize).saturating_sub(job.reservations.len());
        if !self.config.max_start_delay.contains_key(&spec.class) && !self.is_entitled(id) {
            return;
        }
        let mut planned = spec.need().times(job.reservations.len());
        if unreserved_tasks > 0 && pass.preemptible.is_none() {
            pass.preemptible = Some(self.preemptible(&pass.pending_free));
        }
        let max_preemptions =
            MAX_PREEMPTIONS_PER_CYCLE.max(self.machines.len() / MACHINES_PER_PREEMPTION);
        for _ in 0..unreserved_tasks.min(max_preemptions) {
            planned += spec.need();
            if !self.within_limit(&spec.team, &planned) {
                return;
            }
            let Some((machine, victims)) = self.find_preemption(id, &spec, with_image, pass, now)
            else {
                return;
            };
            let pending_free = pass.pending_free.entry(machine.clone()).or_default();
            for task in &victims {
                if let Some(victim) = self.jobs.get(&task.job) {
                    *pending_free += victim.spec.need();
                }
            }
            *pending_free -= spec.need();
            let save_time = victims
                .iter()
                .filter_map(|t| spec_of(&self.jobs, &t.job))
                .map(|s| Micros::from_secs_f64(s.save_grace_s()))
                .max()
                .unwrap_or_default();
            // The stop is sent in the response to the machine's next heartbeat, the exit is reported within a second
            // after the task has saved its work, and the next scheduling cycle then uses the reservation.
            let until =
                now + self.config.heartbeat_interval.scaled(5, 4) + save_time + Micros::secs(2);
            for task in victims {
                self.preempt_task(&task, id);
            }
            if let Some(job) = self.jobs.get_mut(id) {
                job.reservations.push((machine, until));
                self.job_index.add_pending_reservation(id);
            }
        }
    }

    fn preempt_task(&mut self, task: &TaskId, preemptor: &JobId) {
        let Some(p) = self
            .jobs
            .get_mut(&task.job)
            .and_then(|j| j.placement_mut(task.index))
        else {
            return;
        };
        p.stopping = Some(StopReason::Preempted);
        self.job_index.add_stopping(task.clone());
        self.events.push(SchedulerEvent::TaskPreempted {
            task: task.clone(),
            machine: p.machine.clone(),
            preempting_job: preemptor.clone(),
        });
    }

    /// Returns the machines with tasks that could be preempted for some job, or with resources about to be free.
    fn preemptible(&self, pending_free: &BTreeMap<MachineId, Resources>) -> Vec<MachineId> {
        self.count_steps(self.machines.len());
        let is_preemptible = |(id, m): &(&MachineId, &Machine)| {
            m.accepts_offers()
                && (m.has_reserved_below(Priority::Critical) || pending_free.contains_key(*id))
        };
        let machines = self.machines.iter().filter(is_preemptible);
        machines.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the machine where preemption for one task loses the least work, and the tasks to stop there.
    fn find_preemption(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        with_image: bool,
        pass: &PreemptionPass,
        now: Micros,
    ) -> Option<(MachineId, Vec<TaskId>)> {
        let need = spec.need();
        let pending_free = &pass.pending_free;
        let mut best: Option<(Micros, MachineId, Vec<TaskId>)> = None;
        for machine in pass.preemptible.iter().flatten() {
            if self.offers_made >= self.config.max_offers_per_cycle.saturating_mul(2) {
                break;
            }
            self.offers_made += 1;
            let Some(m) = self.machines.get(machine) else {
                continue;
            };
            if !m.accepts_offers()
                || !m.total.can_fit(&need)
                || !self.accepts(id, machine)
                || (with_image && !m.has_image(&spec.image))
            {
                continue;
            }
            let mut free = m.free() + pending_free.get(machine).copied().unwrap_or_default();
            let mut victims: Vec<(Micros, &TaskId)> = m
                .reserved
                .keys()
                .filter_map(|t| Some((self.loss_of_stopping(t, id, with_image, now)?, t)))
                .collect();
            victims.sort();
            let mut loss = Micros::ZERO;
            let mut stopped = Vec::new();
            for (lost_work, task) in victims {
                if free.can_fit(&need) {
                    break;
                }
                free += m.reserved[task];
                loss = loss + lost_work;
                stopped.push(task.clone());
            }
            if !free.can_fit(&need) {
                continue;
            }
            // On a machine without the image, the waiting task loses the time of the fetch.
            if !m.has_image(&spec.image) {
                let rate = self
                    .machine_types
                    .get(&m.machine_type)
                    .map_or(1.0, |f| f.fetch_gb_per_s);
                loss = loss + Micros::from_secs_f64(spec.image_gb / rate.max(0.001));
            }
            if best
                .as_ref()
                .is_none_or(|(least_loss, _, _)| loss < *least_loss)
            {
                best = Some((loss, machine.clone(), stopped));
            }
        }
        best.map(|(_, machine, victims)| (machine, victims))
    }

    /// Returns whether the job is within its team's guarantee and the platform has an objective for guaranteed work.
    fn is_entitled(&self, id: &JobId) -> bool {
        self.config.guarantee_start_delay.is_some()
            && self.jobs.get(id).is_some_and(|j| self.guarantees.covers(j))
    }

    /// Returns the work lost by stopping a task, or `None` if it must not be stopped for the job `preemptor`. A stop
    /// that only avoids an image fetch for that job must not make the stopped task's job miss its deadline.
    fn loss_of_stopping(
        &self,
        task: &TaskId,
        preemptor: &JobId,
        only_avoids_fetch: bool,
        now: Micros,
    ) -> Option<Micros> {
        let preemptor = self.jobs.get(preemptor)?;
        let job = self.jobs.get(&task.job)?;
        let p = job.placement(task.index)?;
        if p.stopping.is_some() || job.ending {
            return None;
        }
        // A task within another team's guarantee would take its resources back again, so the guarantee outweighs the
        // priority of a job that is not within its own. Only critical jobs may preempt it.
        let has_stronger_guarantee = job.spec.team != preemptor.spec.team
            && preemptor.spec.priority < Priority::Critical
            && self.is_entitled(&task.job)
            && !self.guarantees.covers(preemptor);
        let has_lower_priority =
            job.spec.priority < preemptor.spec.priority && !has_stronger_guarantee;
        // A task within its own team's guarantee would be entitled to the resources again, and the two jobs would
        // preempt each other endlessly. Critical jobs are spared even where the rules allow stopping them.
        let is_borrowing = self.is_entitled(&preemptor.spec.id)
            && job.spec.team != preemptor.spec.team
            && job.spec.priority < Priority::Critical
            && self.exceeds_guarantee(&job.spec.team)
            && !self.guarantees.covers(job);
        if !(has_lower_priority || is_borrowing) {
            return None;
        }
        let run_time = p.running_since.map_or(Micros::ZERO, |t| now.since(t));
        // A task that has just started loses the least work, so a steady stream of urgent arrays would stop the same
        // array task again and again, and it would never finish. A guarantee is enforced at once, unless the task that
        // borrows its resources finishes in less time than a restart takes.
        let both_arrays = preemptor.spec.shape == Shape::Array && job.spec.shape == Shape::Array;
        let is_short = Micros::from_secs_f64(job.spec.expected_run_s) <= RESTART_TIME;
        if both_arrays && run_time < RESTART_TIME && (!is_borrowing || is_short) {
            return None;
        }
        let save_time = Micros::from_secs_f64(job.spec.save_grace_s());
        let lost_work = if save_time > Micros::ZERO {
            save_time.min(run_time)
        } else {
            run_time
        };
        let deadline_loss = self.deadline_loss(job, run_time);
        if only_avoids_fetch && deadline_loss > Micros::ZERO {
            return None;
        }
        Some(lost_work + deadline_loss)
    }

    /// Returns what the delay by a restart adds to the loss of a stopped task. This is the task's whole expected run
    /// time if the delay would make its job miss its deadline, or exceed 1.5 times its allowed time, either of which it
    /// would otherwise meet; zero if not.
    fn deadline_loss(&self, job: &Job, run_time: Micros) -> Micros {
        let Some(due_s) = job.spec.due_s else {
            return Micros::ZERO;
        };
        let expected_run_time = Micros::from_secs_f64(job.spec.expected_run_s);
        let remaining = expected_run_time.since(run_time);
        let misses_deadline = [2, 3].into_iter().any(|halves| {
            let due = job.submitted_at + Micros::from_secs_f64(due_s).scaled(halves, 2).0;
            let time_until_due = due.saturating_sub(self.unix_time);
            time_until_due >= remaining.0 && time_until_due < (remaining + RESTART_TIME).0
        });
        if misses_deadline {
            expected_run_time
        } else {
            Micros::ZERO
        }
    }
}
