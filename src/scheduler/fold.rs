//! Folding: services that stand scattered over half-empty machines are moved together, one at a time, so that machines
//! can go back. The ordinary path gathers load on low ids only as tasks come; services stay where they once were.

use super::offers::zone_takes;
use super::*;

/// Room must have been to spare for so long before a machine is folded.
const SPARE_FOR: Micros = Micros::secs(30);
/// Time between two moves, so that no short while sees many replicas down.
const BETWEEN_MOVES: Micros = Micros::secs(12);
/// After its stop a task is told as gone within half a second, and its start is written in far less.
const HANDOVER: Micros = Micros::millis(600);

/// What folding remembers.
#[derive(Debug, Default)]
pub(super) struct Fold {
    /// Since when there was always room to spare.
    spare_since: Option<Micros>,
    /// When a task was last moved.
    moved_at: Micros,
}

impl Scheduler {
    /// Picks a machine to fold, or lets go of it when its room is needed after all.
    pub(super) fn plan_fold(&mut self, reserve: Option<&(Rc<JobSpec>, usize)>, now: Micros) {
        let waiting = self.jobs.values().any(|j| j.waiting() > 0);
        let current = self.machines.iter().find(|(_, m)| m.folding);
        if let Some((id, m)) = current {
            let id = id.clone();
            let empty = m.is_empty();
            if (waiting && !empty) || m.life != Life::Draining {
                self.let_go(&id);
            }
            return;
        }
        if waiting || self.steady_since.is_none() {
            self.fold.spare_since = None;
            return;
        }
        let Some(machine) = self.foldable(reserve) else {
            self.fold.spare_since = None;
            return;
        };
        let since = *self.fold.spare_since.get_or_insert(now);
        if now.since(since) < SPARE_FOR || now.since(self.fold.moved_at) < BETWEEN_MOVES {
            return;
        }
        if let Some(m) = self.machines.get_mut(&machine) {
            m.folding = true;
            m.life = Life::Draining;
            self.notes
                .push(format!("event=machine_folding machine={machine}"));
        }
    }

    fn let_go(&mut self, id: &MachineId) {
        if let Some(m) = self.machines.get_mut(id) {
            m.folding = false;
            if m.life == Life::Draining {
                m.life = Life::Up;
            }
        }
    }

    /// The machine with the fewest services, the highest id among equals, if all it holds are services that run and
    /// would find room elsewhere, the reserve untouched.
    fn foldable(&self, reserve: Option<&(Rc<JobSpec>, usize)>) -> Option<MachineId> {
        let mut best: Option<(usize, &MachineId)> = None;
        for (id, m) in self.machines.iter().rev() {
            if m.life != Life::Up || m.is_empty() || !m.extra.is_empty() {
                continue;
            }
            if best.is_some_and(|(n, _)| n <= m.held.len()) {
                continue;
            }
            let movable = m.held.keys().all(|t| self.target(id, t).is_some());
            if movable && self.leaves_reserve(id, m, reserve) {
                best = Some((m.held.len(), id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Whether without the machine, and with its tasks elsewhere, there are as many places as before the reserve needs.
    fn leaves_reserve(
        &self,
        id: &MachineId,
        m: &Machine,
        reserve: Option<&(Rc<JobSpec>, usize)>,
    ) -> bool {
        let keep = reserve.map_or(0, |(_, places)| *places);
        let first = m.held.keys().next();
        let Some(spec) = first.and_then(|t| spec_of(&self.jobs, &t.job)) else {
            return false;
        };
        let elsewhere: usize = self
            .machines
            .iter()
            .filter(|(other, o)| *other != id && o.takes_offers())
            .filter(|(_, o)| spec.allows(&o.rig, &o.zone, o.spot))
            .map(|(_, o)| o.free().count_of(&spec.need()).min(1_000))
            .sum();
        elsewhere >= m.held.len() + keep
    }

    /// The machine that would accept the task now if it were waiting, and starts it without a fetch.
    fn target(&self, from: &MachineId, task: &TaskId) -> Option<&MachineId> {
        let job = self.jobs.get(&task.job)?;
        let spec = &job.spec;
        let p = job.placement(task.index)?;
        let runs = p.seen == Some(TaskState::Running) && p.stopping.is_none() && p.committed;
        if spec.shape != Shape::Service || !runs || job.ending {
            return None;
        }
        let need = spec.need();
        let left = self.machines.get(from)?.zone.as_str();
        self.machines.iter().find_map(|(id, m)| {
            let fits = id != from
                && m.takes_offers()
                && m.free().holds(&need)
                && m.has_image(&spec.image)
                && job.allows(&m.rig, &m.zone, m.spot)
                && !job.failed_on.contains(id)
                && zone_takes(job, &m.zone, 0, Some(left));
            fits.then_some(id)
        })
    }

    /// At a report of a machine that is being folded: the task to stop now, if the machine that will take it reports
    /// next just when the task's exit is known, so that the replica is down as shortly as can be.
    pub(super) fn task_to_move(&mut self, from: &MachineId, now: Micros) -> Option<TaskId> {
        let m = self.machines.get(from)?;
        if !m.folding || now.since(self.fold.moved_at) < BETWEEN_MOVES {
            return None;
        }
        let task = m.held.keys().next()?.clone();
        let target = self.target(from, &task)?.clone();
        let earliest = self.knobs.report.scaled(3, 4);
        let quiet = now.since(self.machines.get(&target)?.heard_at);
        if quiet + HANDOVER > earliest || quiet + HANDOVER.scaled(2, 1) < earliest.scaled(1, 2) {
            return None;
        }
        self.fold.moved_at = now;
        let job = self.jobs.get_mut(&task.job)?;
        // The place is spoken for until the task has had time to come.
        job.claims.push((target, now + Micros::secs(5)));
        job.placement_mut(task.index)?.stopping = Some(StopReason::Drained);
        self.details
            .push(format!("event=moving task={task} from={from}"));
        Some(task)
    }
}
