//! Preemption: stops tasks for jobs that must not wait, only as the protocol allows and at the least loss of work.

use super::events::SchedulerEvent;
use super::job::{Job, StopReason};
use super::job_spec::{JobSpec, Priority, Shape};
use super::machine::Machine;
use super::{Scheduler, spec_of};
use crate::ids::{JobId, MachineId, TaskId};
use crate::units::{Micros, Resources};
use std::collections::BTreeMap;

/// What a stopped task needs until it runs again elsewhere. An array's task that ran for less is not stopped for an array
/// of a higher priority: the restart would cost more than it achieved.
const MIN_RUN_TIME: Micros = Micros::secs(45);
/// Preemptions for one job in one scheduling cycle; or one for so many machines, where that is more.
const MAX_PREEMPTIONS_PER_CYCLE: usize = 16;
const MACHINES_EXAMINED_PER_PREEMPTION: usize = 64;

/// What a scheduling cycle knows of the resources that preemption can free.
pub(super) struct PreemptionPass {
    /// Resources about to be free, by machine: what is being stopped there, less what is reserved of it.
    incoming: BTreeMap<MachineId, Resources>,
    /// Machines with tasks that may be preempted for some job; computed when first needed.
    stoppable: Option<Vec<MachineId>>,
}

impl PreemptionPass {
    pub(super) fn new(incoming: BTreeMap<MachineId, Resources>) -> PreemptionPass {
        PreemptionPass {
            incoming,
            stoppable: None,
        }
    }
}

impl Scheduler {
    /// Resources about to be free, by machine: what is being stopped there, less what is reserved of it.
    pub(super) fn incoming_resources(&mut self, now: Micros) -> BTreeMap<MachineId, Resources> {
        let mut incoming: BTreeMap<MachineId, Resources> = BTreeMap::new();
        for task in self.job_index.stopping() {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let placement = job.placement(task.index);
            if let Some(p) = placement.filter(|p| p.stopping.is_some()) {
                *incoming.entry(p.machine.clone()).or_default() += job.spec.need();
            }
        }
        for id in self.job_index.pending_reservations() {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            job.reservations.retain(|(_, until)| *until > now);
            for (machine, _) in &job.reservations {
                *incoming.entry(machine.clone()).or_default() -= job.spec.need();
            }
        }
        self.job_index.prune(&self.jobs);
        incoming
    }

    /// Preempts tasks where that lets a job start that must not wait; with `with_image` only on machines
    /// that have its image.
    pub(super) fn preempt_for(
        &mut self,
        id: &JobId,
        with_image: bool,
        room: &mut PreemptionPass,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let open = (job.open() as usize).saturating_sub(job.reservations.len());
        if !self.config.wait_within.contains_key(&spec.class) && !self.is_entitled(id) {
            return;
        }
        let mut planned = spec.need().times(job.reservations.len());
        if open > 0 && room.stoppable.is_none() {
            room.stoppable = Some(self.stoppable(&room.incoming));
        }
        let max_preemptions =
            MAX_PREEMPTIONS_PER_CYCLE.max(self.machines.len() / MACHINES_EXAMINED_PER_PREEMPTION);
        for _ in 0..open.min(max_preemptions) {
            planned += spec.need();
            if !self.within_limit(&spec.team, &planned) {
                return;
            }
            let Some((machine, victims)) = self.room_for(id, &spec, with_image, room, now) else {
                return;
            };
            let incoming = room.incoming.entry(machine.clone()).or_default();
            for task in &victims {
                if let Some(v) = self.jobs.get(&task.job) {
                    *incoming += v.spec.need();
                }
            }
            *incoming -= spec.need();
            let save = victims
                .iter()
                .filter_map(|t| spec_of(&self.jobs, &t.job))
                .map(|s| Micros::from_secs_f64(s.save_slack()))
                .max()
                .unwrap_or_default();
            // The stop waits for a heartbeat, the exit is reported within a second, and then the reservation is used.
            let until = now + self.config.heartbeat_interval.scaled(5, 4) + save + Micros::secs(2);
            for task in victims {
                self.stop_for(&task, id);
            }
            if let Some(job) = self.jobs.get_mut(id) {
                job.reservations.push((machine, until));
                self.job_index.add_pending_reservation(id);
            }
        }
    }

    fn stop_for(&mut self, task: &TaskId, by: &JobId) {
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
            by: by.clone(),
        });
    }

    /// Machines with tasks that may be preempted for one job or another, or with resources about to be free.
    fn stoppable(&self, incoming: &BTreeMap<MachineId, Resources>) -> Vec<MachineId> {
        self.count_steps(self.machines.len());
        let worth = |(id, m): &(&MachineId, &Machine)| {
            m.accepts_offers()
                && (m.has_reserved_below(Priority::Critical) || incoming.contains_key(*id))
        };
        let machines = self.machines.iter().filter(worth);
        machines.map(|(id, _)| id.clone()).collect()
    }

    /// The machine where preemption for a task loses the least work, and the tasks to stop there.
    fn room_for(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        with_image: bool,
        room: &PreemptionPass,
        now: Micros,
    ) -> Option<(MachineId, Vec<TaskId>)> {
        let need = spec.need();
        let incoming = &room.incoming;
        let mut best: Option<(Micros, MachineId, Vec<TaskId>)> = None;
        for machine in room.stoppable.iter().flatten() {
            if self.offers_made >= self.config.max_offers_per_cycle.saturating_mul(2) {
                break;
            }
            self.offers_made += 1;
            let Some(m) = self.machines.get(machine) else {
                continue;
            };
            if !m.accepts_offers()
                || !m.total.holds(&need)
                || !self.accepts(id, machine)
                || (with_image && !m.has_image(&spec.image))
            {
                continue;
            }
            let mut free = m.free() + incoming.get(machine).copied().unwrap_or_default();
            let mut victims: Vec<(Micros, &TaskId)> = m
                .reserved
                .keys()
                .filter_map(|t| Some((self.loss_of(t, id, with_image, now)?, t)))
                .collect();
            victims.sort();
            let mut loss = Micros::ZERO;
            let mut stopped = Vec::new();
            for (lost, task) in victims {
                if free.holds(&need) {
                    break;
                }
                free += m.reserved[task];
                loss = loss + lost;
                stopped.push(task.clone());
            }
            if !free.holds(&need) {
                continue;
            }
            // A fetch that is saved is time won for the task that waits.
            if !m.has_image(&spec.image) {
                let rate = self
                    .machine_types
                    .get(&m.machine_type)
                    .map_or(1.0, |f| f.fetch_gb_per_s);
                loss = loss + Micros::from_secs_f64(spec.image_gb / rate.max(0.001));
            }
            if best.as_ref().is_none_or(|(l, _, _)| loss < *l) {
                best = Some((loss, machine.clone(), stopped));
            }
        }
        best.map(|(_, machine, victims)| (machine, victims))
    }

    /// Whether the job is to get its team's guarantee, and the platform has an aim for that.
    fn is_entitled(&self, id: &JobId) -> bool {
        self.config.guarantee_within.is_some()
            && self.jobs.get(id).is_some_and(|j| self.guarantees.covers(j))
    }

    /// The work that stopping a task would lose, or none if it must not be stopped for this job. Where stopping only
    /// spares the other a fetch, it must not cost a job its deadline.
    fn loss_of(
        &self,
        task: &TaskId,
        by: &JobId,
        spares_fetch: bool,
        now: Micros,
    ) -> Option<Micros> {
        let by = self.jobs.get(by)?;
        let job = self.jobs.get(&task.job)?;
        let p = job.placement(task.index)?;
        if p.stopping.is_some() || job.ending {
            return None;
        }
        // What another team is guaranteed it would take back again: of the two the guarantee is the stronger, but for
        // services of the highest priority.
        let owed = job.spec.team != by.spec.team
            && by.spec.priority < Priority::Critical
            && self.is_entitled(&task.job)
            && !self.guarantees.covers(by);
        let lower = job.spec.priority < by.spec.priority && !owed;
        // A job within its own team's guarantee would be entitled to the place again, and the two would take it from
        // each other for ever. Services of the highest priority are spared even where the rules allow to stop them.
        let lent = self.is_entitled(&by.spec.id)
            && job.spec.team != by.spec.team
            && job.spec.priority < Priority::Critical
            && self.exceeds_guarantee(&job.spec.team)
            && !self.guarantees.covers(job);
        if !(lower || lent) {
            return None;
        }
        let ran = p.running_since.map_or(Micros::ZERO, |t| now.since(t));
        // An array's task that was stopped and started again is the one that loses least: urgent arrays that come all the
        // time would stop it again and again, and it would never end. A guarantee takes its room at once, unless what
        // borrows it has ended in less time than a restart takes.
        let both_arrays = by.spec.shape == Shape::Array && job.spec.shape == Shape::Array;
        let is_short = Micros::from_secs_f64(job.spec.expect_s) <= MIN_RUN_TIME;
        if both_arrays && ran < MIN_RUN_TIME && (!lent || is_short) {
            return None;
        }
        let save = Micros::from_secs_f64(job.spec.save_slack());
        let lost = if save > Micros::ZERO {
            save.min(ran)
        } else {
            ran
        };
        let lateness = self.lateness(job, ran);
        if spares_fetch && lateness > Micros::ZERO {
            return None;
        }
        Some(lost + lateness)
    }

    /// What it adds to the loss of a stopped task that its job would miss its deadline by it, or the time half as long
    /// again: as much as the task takes in all.
    fn lateness(&self, job: &Job, ran: Micros) -> Micros {
        let Some(due_s) = job.spec.due_s else {
            return Micros::ZERO;
        };
        let whole = Micros::from_secs_f64(job.spec.expect_s);
        let left = whole.since(ran);
        let breaks = [2, 3].into_iter().any(|halves| {
            let due = job.at + Micros::from_secs_f64(due_s).scaled(halves, 2).0;
            let spare = due.saturating_sub(self.unix_time);
            spare >= left.0 && spare < (left + MIN_RUN_TIME).0
        });
        if breaks { whole } else { Micros::ZERO }
    }
}
