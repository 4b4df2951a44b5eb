//! Consolidation: moves service replicas that are scattered over half-empty machines to fewer machines, one at a time,
//! so that the emptied machines can be terminated. Offers concentrate load on machines with low ids only as tasks
//! arrive; services stay on the machines where they were once placed.

use super::events::SchedulerEvent;
use super::job::{Job, StopReason};
use super::job_spec::{JobSpec, Shape};
use super::machine::{Machine, MachineState};
use super::messages::TaskState;
use super::offers::zone_allows;
use super::reserve::Reserve;
use super::{Scheduler, spec_of};
use crate::ids::{MachineId, TaskId};
use crate::units::{Micros, Resources};
use std::collections::HashMap;

/// Time for which there must have been spare capacity before a machine is consolidated.
const MIN_SPARE_PERIOD: Micros = Micros::secs(30);
/// Maximum interval between two moves, used while there are few replicas. Prevents many of them from being down within
/// a short time.
const MAX_MOVE_INTERVAL: Micros = Micros::secs(30);
/// A move takes a replica down for a second or two. With this many replicas, one may be moved every second.
const REPLICAS_PER_MOVE_PER_SECOND: u64 = 1_000;
/// Number of replicas for which one more machine may be consolidated at the same time.
const REPLICAS_PER_CONSOLIDATION: usize = 20;
/// Time allowed for placing a moved task on its new machine, for which its reservation there is kept.
const MOVE_TIMEOUT: Micros = Micros::secs(5);
/// Maximum number of target machines examined in one plan.
const MAX_TARGETS_EXAMINED: usize = 20_000;
/// Time from stopping a task until its start elsewhere can be sent: its exit is reported within half a second, and its
/// new placement is written in far less.
const HANDOVER_TIME: Micros = Micros::millis(600);

/// The state of consolidation.
#[derive(Debug, Default)]
pub(super) struct Consolidation {
    /// Since when there has been spare capacity without interruption.
    spare_since: Option<Micros>,
    /// When a task was last moved.
    moved_at: Micros,
    /// Number of placed replicas of services, as of the last plan.
    replicas: usize,
}

impl Consolidation {
    fn move_interval(&self) -> Micros {
        let replicas = self.replicas.max(1) as u64;
        MAX_MOVE_INTERVAL.min(Micros::secs(REPLICAS_PER_MOVE_PER_SECOND).scaled(1, replicas))
    }

    /// Returns whether there has been spare capacity for long enough and the last move is long enough ago. Starts the
    /// spare period if it is not running.
    fn is_due(&mut self, now: Micros) -> bool {
        let since = *self.spare_since.get_or_insert(now);
        now.since(since) >= MIN_SPARE_PERIOD && now.since(self.moved_at) >= self.move_interval()
    }
}

/// Machines with free resources, by cached image, and the resources that this plan has reserved on them.
struct Targets<'a> {
    by_image: HashMap<&'a str, Vec<(&'a MachineId, &'a Machine)>>,
    reserved: HashMap<&'a MachineId, Resources>,
    remaining_checks: usize,
}

impl Scheduler {
    /// Selects machines to consolidate, and cancels the consolidation of those whose resources are needed after all.
    pub(super) fn plan_consolidation(&mut self, reserve: Option<&Reserve>, now: Micros) {
        // A task that is being moved also waits, but must not cancel the consolidation of the machine that it leaves.
        let is_waiting = |j: &Job| j.waiting() > 0 && j.moving_until <= now && !j.crash_looping;
        self.count_steps(self.job_index.waiting_count() + self.jobs.len());
        let waiting = self.jobs_with_waiting_tasks().any(is_waiting);
        let services = self
            .jobs
            .values()
            .filter(|j| j.spec.shape == Shape::Service);
        self.consolidation.replicas = services.map(|j| j.live as usize).sum();
        let in_progress = self.review_consolidating(waiting);
        if waiting {
            self.consolidation.spare_since = None;
            return;
        }
        // Nothing is moved while a controller is unreachable, but a single lost ping does not reset the spare period.
        if !self.failure_detector.is_stable() {
            return;
        }
        let max_machines = 1 + self.consolidation.replicas / REPLICAS_PER_CONSOLIDATION;
        if in_progress >= max_machines || !self.consolidation.is_due(now) {
            return;
        }
        for machine in self.machines_to_consolidate(reserve, max_machines - in_progress) {
            if let Some(m) = self.machines.get_mut(&machine) {
                m.consolidating = true;
                m.state = MachineState::Draining;
                self.events
                    .push(SchedulerEvent::MachineConsolidating { machine });
            }
        }
    }

    /// Cancels the consolidation of machines that are needed or can't be emptied. Returns the number of machines still
    /// being consolidated.
    fn review_consolidating(&mut self, waiting: bool) -> usize {
        let consolidating = self.machines.iter().filter(|(_, m)| m.consolidating);
        let consolidating: Vec<MachineId> = consolidating.map(|(id, _)| id.clone()).collect();
        if consolidating.is_empty() {
            return 0;
        }
        let mut targets = self.targets();
        let blocked = consolidating
            .iter()
            .map(|id| self.is_blocked(id, &mut targets));
        let blocked: Vec<bool> = blocked.collect();
        let mut in_progress = 0;
        for (id, blocked) in consolidating.iter().zip(blocked) {
            let Some(m) = self.machines.get(id) else {
                continue;
            };
            if (waiting && !m.is_empty()) || blocked || m.state != MachineState::Draining {
                self.cancel_consolidation(id);
            } else {
                in_progress += 1;
            }
        }
        in_progress
    }

    /// Returns whether a machine still has tasks, none of which is stopping or can be moved.
    fn is_blocked(&self, id: &MachineId, targets: &mut Targets<'_>) -> bool {
        let reserved = self.machines.get(id).map(|m| m.reserved.keys());
        let mut reserved = reserved.into_iter().flatten().peekable();
        let stopping = |t: &TaskId| self.is_stopping(t);
        reserved.peek().is_some()
            && !reserved.any(|t| stopping(t) || self.find_target(id, t, targets).is_some())
    }

    fn cancel_consolidation(&mut self, id: &MachineId) {
        if let Some(m) = self.machines.get_mut(id) {
            m.consolidating = false;
            if m.state == MachineState::Draining {
                m.state = MachineState::Ready;
            }
        }
    }

    /// Returns machines whose tasks are all running service replicas that fit on other machines without using the
    /// reserve. Prefers the machines with the fewest tasks, and among equals those with the highest ids.
    fn machines_to_consolidate(
        &self,
        reserve: Option<&Reserve>,
        max_machines: usize,
    ) -> Vec<MachineId> {
        let mut by_task_count: Vec<(&MachineId, &Machine)> = self
            .machines
            .iter()
            .rev()
            .filter(|(_, m)| {
                m.state == MachineState::Ready && !m.is_empty() && m.unexpected_tasks.is_empty()
            })
            .collect();
        by_task_count.sort_by_key(|(_, m)| m.reserved.len());
        let mut targets = self.targets();
        let mut chosen: Vec<MachineId> = Vec::new();
        // Free places beyond the reserve. Counted once, as the replicas of services are of similar size.
        let mut spare_places: Option<usize> = None;
        for (id, m) in by_task_count {
            if chosen.len() >= max_machines || targets.remaining_checks == 0 {
                break;
            }
            let first = m.reserved.keys().next();
            let Some(spec) = first.and_then(|t| spec_of(&self.jobs, &t.job)) else {
                continue;
            };
            let remaining_places = *spare_places.get_or_insert_with(|| {
                let reserved_places = reserve.map_or(0, |r| r.places);
                self.count_free_places(&spec)
                    .saturating_sub(reserved_places)
            });
            let own_free_places = m.free().count_fitting(&spec.need()).min(1_000);
            let needed = m.reserved.len() + own_free_places;
            if remaining_places < needed || targets.reserved.contains_key(id) {
                continue;
            }
            let mut moves = Vec::new();
            for task in m.reserved.keys() {
                let Some((target, need)) = self.find_target(id, task, &mut targets) else {
                    break;
                };
                *targets.reserved.entry(target).or_default() += need;
                moves.push((target, need));
            }
            if moves.len() == m.reserved.len() {
                spare_places = Some(remaining_places - needed);
                chosen.push(id.clone());
                continue;
            }
            for (target, need) in moves {
                if let Some(reserved) = targets.reserved.get_mut(target) {
                    *reserved -= need;
                }
            }
        }
        chosen
    }

    /// Returns the number of free places for tasks of this spec on machines that take offers.
    fn count_free_places(&self, spec: &JobSpec) -> usize {
        self.machines
            .values()
            .filter(|m| m.accepts_offers() && spec.allows(&m.machine_type, &m.zone, m.spot))
            .map(|m| m.free().count_fitting(&spec.need()).min(1_000))
            .sum()
    }

    fn targets(&self) -> Targets<'_> {
        self.count_steps(self.machines.len());
        let mut by_image: HashMap<&str, Vec<(&MachineId, &Machine)>> = HashMap::new();
        let has_free_cores = |m: &Machine| m.accepts_offers() && m.free().cores > 0;
        for (id, m) in self.machines.iter().filter(|(_, m)| has_free_cores(m)) {
            for (image, _) in &m.images {
                by_image.entry(image).or_default().push((id, m));
            }
        }
        Targets {
            by_image,
            reserved: HashMap::new(),
            remaining_checks: MAX_TARGETS_EXAMINED,
        }
    }

    /// Returns the first machine that would accept the task without an image fetch, and the resources that the task
    /// needs.
    fn find_target<'a>(
        &self,
        from: &MachineId,
        task: &TaskId,
        targets: &mut Targets<'a>,
    ) -> Option<(&'a MachineId, Resources)> {
        let job = self.movable_job(task)?;
        let from_zone = self.machines.get(from)?.zone.as_str();
        let need = job.spec.need();
        for (id, m) in targets.by_image.get(job.spec.image.as_str())? {
            targets.remaining_checks = targets.remaining_checks.checked_sub(1)?;
            let reserved = targets.reserved.get(id).copied().unwrap_or_default();
            if *id != from && self.accepts_move(job, id, m, &(need + reserved), from_zone) {
                return Some((*id, need));
            }
        }
        None
    }

    /// Returns the job of a task that can be moved, which must be a running service replica.
    fn movable_job(&self, task: &TaskId) -> Option<&Job> {
        let job = self.jobs.get(&task.job)?;
        let p = job.placement(task.index)?;
        let is_running =
            p.reported_state == Some(TaskState::Running) && p.stopping.is_none() && p.committed;
        (job.spec.shape == Shape::Service && is_running && !job.ending).then_some(job)
    }

    /// Returns whether a machine would accept a task of the job that leaves the zone `from_zone`, without an image
    /// fetch and with these resources free.
    fn accepts_move(
        &self,
        job: &Job,
        id: &MachineId,
        m: &Machine,
        required: &Resources,
        from_zone: &str,
    ) -> bool {
        m.accepts_offers()
            && m.free().can_fit(required)
            && m.has_image(&job.spec.image)
            && job.allows(&m.machine_type, &m.zone, m.spot)
            && !job.failed_on.contains(id)
            && zone_allows(job, &m.zone, 0, Some(from_zone))
    }

    /// Starts to move the next task of a machine that is being consolidated, when the response to the machine's
    /// heartbeat is built: marks the task to be stopped and reserves resources for it on a target machine. Returns the
    /// task, or `None` if no task can be moved at this time.
    ///
    /// A task is moved only if a target machine is expected to send its next heartbeat just when the task's exit is
    /// known, which keeps the replica's downtime as short as possible.
    pub(super) fn start_move(&mut self, from: &MachineId, now: Micros) -> Option<TaskId> {
        let m = self.machines.get(from)?;
        if !m.consolidating
            || now.since(self.consolidation.moved_at) < self.consolidation.move_interval()
        {
            return None;
        }
        let task = m.reserved.keys().next()?.clone();
        let job = self.movable_job(&task)?;
        let need = job.spec.need();
        let min_heartbeat_gap = self.config.heartbeat_interval.scaled(3, 4);
        let since_report = |m: &Machine| now.since(m.last_heartbeat_at);
        let reports_in_time = |m: &Machine| {
            since_report(m) + HANDOVER_TIME <= min_heartbeat_gap
                && since_report(m) + HANDOVER_TIME.scaled(2, 1) >= min_heartbeat_gap.scaled(1, 2)
        };
        let is_target = |(id, other): &(&MachineId, &Machine)| {
            *id != from
                && reports_in_time(other)
                && self.accepts_move(job, id, other, &need, &m.zone)
        };
        self.count_steps(self.machines.len());
        let targets = self.machines.iter().filter(is_target);
        let target = targets
            .max_by_key(|(_, m)| since_report(m))
            .map(|(id, _)| id.clone())?;
        self.consolidation.moved_at = now;
        let job = self.jobs.get_mut(&task.job)?;
        // The resources stay reserved until the task has had time to start there.
        job.moving_until = now + MOVE_TIMEOUT;
        job.reservations.push((target, job.moving_until));
        self.job_index.add_pending_reservation(&task.job);
        job.placement_mut(task.index)?.stopping = Some(StopReason::Drained);
        self.job_index.add_stopping(task.clone());
        self.events.push(SchedulerEvent::TaskMoving {
            task: task.clone(),
            from: from.clone(),
        });
        Some(task)
    }
}
