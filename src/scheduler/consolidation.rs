//! Consolidation: services scattered over half-empty machines are moved together, one at a time, so that machines
//! can be terminated. Offers gather load on low ids only as tasks arrive; services stay where they once were placed.

use super::events::SchedulerEvent;
use super::job::{Job, StopReason};
use super::job_spec::{JobSpec, Shape};
use super::machine::{Machine, MachineState};
use super::messages::TaskState;
use super::offers::zone_takes;
use super::reserve::Reserve;
use super::{Scheduler, spec_of};
use crate::ids::{MachineId, TaskId};
use crate::units::{Micros, Resources};
use std::collections::HashMap;

/// Capacity must have been spare for so long before a machine is consolidated.
const MIN_SPARE_PERIOD: Micros = Micros::secs(30);
/// Time between two moves of few replicas, so that no short while sees many of them down.
const BETWEEN_MOVES: Micros = Micros::secs(30);
/// A move takes a replica down for a second or two: of so many replicas one may move each second.
const REPLICAS_PER_MOVE: u64 = 1_000;
/// Of so many replicas one machine more may be consolidated at the same time.
const REPLICAS_PER_CONSOLIDATION: usize = 20;
/// A moved task is at its new place within this.
const MOVE_TIMEOUT: Micros = Micros::secs(5);
/// Targets examined in one plan.
const MAX_TARGETS_EXAMINED: usize = 20_000;
/// After its stop a task is reported gone within half a second, and its start is written in far less.
const HANDOVER: Micros = Micros::millis(600);

/// The state of consolidation.
#[derive(Debug, Default)]
pub(super) struct Consolidation {
    /// Since when there was always spare capacity.
    spare_since: Option<Micros>,
    /// When a task was last moved.
    moved_at: Micros,
    /// Replicas of services, as of the last plan.
    replicas: usize,
}

impl Consolidation {
    fn between_moves(&self) -> Micros {
        let replicas = self.replicas.max(1) as u64;
        BETWEEN_MOVES.min(Micros::secs(REPLICAS_PER_MOVE).scaled(1, replicas))
    }

    /// Whether capacity has been spare for long enough, counted from now on if it was not, and the last move is past.
    fn is_due(&mut self, now: Micros) -> bool {
        let since = *self.spare_since.get_or_insert(now);
        now.since(since) >= MIN_SPARE_PERIOD && now.since(self.moved_at) >= self.between_moves()
    }
}

/// Machines with free resources by the images that they have, and what is reserved of these in this plan.
struct Targets<'a> {
    by_image: HashMap<&'a str, Vec<(&'a MachineId, &'a Machine)>>,
    reserved: HashMap<&'a MachineId, Resources>,
    remaining: usize,
}

impl Scheduler {
    /// Picks machines to consolidate, or cancels that when their resources are needed after all.
    pub(super) fn plan_consolidation(&mut self, reserve: Option<&Reserve>, now: Micros) {
        // A task that is being moved waits as well; it must not end the consolidation that it comes from.
        let waits = |j: &Job| j.waiting() > 0 && j.moving_until <= now && !j.crash_looping;
        self.count_steps(self.job_index.waiting_count() + self.jobs.len());
        let waiting = self.open_jobs().any(waits);
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
        // Nothing is moved while a controller is unreachable; but one lost ping does not reset the spare period.
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

    /// Cancels the consolidation of machines that are needed or can't be emptied. Returns how many others go on.
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

    /// Whether nothing that a machine still holds can be moved any more.
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

    /// The machines with the fewest services, the highest ids first among equals, if all that they hold are services
    /// that run and would fit elsewhere, the reserve untouched.
    fn machines_to_consolidate(
        &self,
        reserve: Option<&Reserve>,
        max_machines: usize,
    ) -> Vec<MachineId> {
        let mut by_load: Vec<(&MachineId, &Machine)> = self
            .machines
            .iter()
            .rev()
            .filter(|(_, m)| {
                m.state == MachineState::Ready && !m.is_empty() && m.unexpected_tasks.is_empty()
            })
            .collect();
        by_load.sort_by_key(|(_, m)| m.reserved.len());
        let mut targets = self.targets();
        let mut chosen: Vec<MachineId> = Vec::new();
        // What is left after the reserve; counted once, as services are much of one size.
        let mut spare: Option<usize> = None;
        for (id, m) in by_load {
            if chosen.len() >= max_machines || targets.remaining == 0 {
                break;
            }
            let first = m.reserved.keys().next();
            let Some(spec) = first.and_then(|t| spec_of(&self.jobs, &t.job)) else {
                continue;
            };
            let left = *spare.get_or_insert_with(|| {
                let keep = reserve.map_or(0, |r| r.places);
                self.open_places(&spec).saturating_sub(keep)
            });
            let own = m.free().count_of(&spec.need()).min(1_000);
            let needed = m.reserved.len() + own;
            if left < needed || targets.reserved.contains_key(id) {
                continue;
            }
            let mut found = Vec::new();
            for task in m.reserved.keys() {
                let Some((target, need)) = self.find_target(id, task, &mut targets) else {
                    break;
                };
                *targets.reserved.entry(target).or_default() += need;
                found.push((target, need));
            }
            if found.len() == m.reserved.len() {
                spare = Some(left - needed);
                chosen.push(id.clone());
                continue;
            }
            for (target, need) in found {
                if let Some(room) = targets.reserved.get_mut(target) {
                    *room -= need;
                }
            }
        }
        chosen
    }

    /// Free places for such tasks on machines that take offers.
    fn open_places(&self, spec: &JobSpec) -> usize {
        self.machines
            .values()
            .filter(|m| m.accepts_offers() && spec.allows(&m.machine_type, &m.zone, m.spot))
            .map(|m| m.free().count_of(&spec.need()).min(1_000))
            .sum()
    }

    fn targets(&self) -> Targets<'_> {
        self.count_steps(self.machines.len());
        let mut by_image: HashMap<&str, Vec<(&MachineId, &Machine)>> = HashMap::new();
        let with_room = |m: &Machine| m.accepts_offers() && m.free().cores > 0;
        for (id, m) in self.machines.iter().filter(|(_, m)| with_room(m)) {
            for (image, _) in &m.images {
                by_image.entry(image).or_default().push((id, m));
            }
        }
        Targets {
            by_image,
            reserved: HashMap::new(),
            remaining: MAX_TARGETS_EXAMINED,
        }
    }

    /// The first machine that would take the task without a fetch, and what the task needs.
    fn find_target<'a>(
        &self,
        from: &MachineId,
        task: &TaskId,
        targets: &mut Targets<'a>,
    ) -> Option<(&'a MachineId, Resources)> {
        let job = self.movable(task)?;
        let left = self.machines.get(from)?.zone.as_str();
        let need = job.spec.need();
        for (id, m) in targets.by_image.get(job.spec.image.as_str())? {
            targets.remaining = targets.remaining.checked_sub(1)?;
            let reserved = targets.reserved.get(id).copied().unwrap_or_default();
            if *id != from && self.would_take(job, id, m, &(need + reserved), left) {
                return Some((*id, need));
            }
        }
        None
    }

    /// The job of a task that may be moved: a replica that runs.
    fn movable(&self, task: &TaskId) -> Option<&Job> {
        let job = self.jobs.get(&task.job)?;
        let p = job.placement(task.index)?;
        let runs =
            p.reported_state == Some(TaskState::Running) && p.stopping.is_none() && p.committed;
        (job.spec.shape == Shape::Service && runs && !job.ending).then_some(job)
    }

    /// Whether a machine with these resources free would take a task of the job, which leaves another zone, without a fetch.
    fn would_take(
        &self,
        job: &Job,
        id: &MachineId,
        m: &Machine,
        room: &Resources,
        left: &str,
    ) -> bool {
        m.accepts_offers()
            && m.free().holds(room)
            && m.has_image(&job.spec.image)
            && job.allows(&m.machine_type, &m.zone, m.spot)
            && !job.failed_on.contains(id)
            && zone_takes(job, &m.zone, 0, Some(left))
    }

    /// At a heartbeat of a machine that is being consolidated: the task to stop now, if a machine that would take it reports
    /// next just when the task's exit is known, so that the replica is down as shortly as can be.
    pub(super) fn task_to_move(&mut self, from: &MachineId, now: Micros) -> Option<TaskId> {
        let m = self.machines.get(from)?;
        if !m.consolidating
            || now.since(self.consolidation.moved_at) < self.consolidation.between_moves()
        {
            return None;
        }
        let task = m.reserved.keys().next()?.clone();
        let job = self.movable(&task)?;
        let need = job.spec.need();
        let earliest = self.config.heartbeat_interval.scaled(3, 4);
        let quiet = |m: &Machine| now.since(m.last_heartbeat_at);
        let in_time = |m: &Machine| {
            quiet(m) + HANDOVER <= earliest
                && quiet(m) + HANDOVER.scaled(2, 1) >= earliest.scaled(1, 2)
        };
        let takes = |(id, other): &(&MachineId, &Machine)| {
            *id != from && in_time(other) && self.would_take(job, id, other, &need, &m.zone)
        };
        self.count_steps(self.machines.len());
        let takers = self.machines.iter().filter(takes);
        let target = takers
            .max_by_key(|(_, m)| quiet(m))
            .map(|(id, _)| id.clone())?;
        self.consolidation.moved_at = now;
        let job = self.jobs.get_mut(&task.job)?;
        // The place is reserved until the task has had time to start there.
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
