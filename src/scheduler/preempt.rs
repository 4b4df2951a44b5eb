//! Making room for what must not wait, by the protocol's rules only and at the least loss of work.

use super::offers::zone_takes;
use super::*;

/// Stops ordered in one round.
const STOPS_PER_ROUND: usize = 16;

impl Scheduler {
    /// Stops tasks where that really makes room for due jobs that must not wait.
    pub(super) fn preempt_for(&mut self, due: &[JobId], guaranteed: &HashSet<JobId>, now: Micros) {
        // Room that stops under way will free, by machine; higher jobs count on it first.
        let mut coming: BTreeMap<MachineId, Room> = BTreeMap::new();
        for job in self.jobs.values() {
            for (_, p) in live_tasks(job).filter(|(_, p)| p.stopping.is_some()) {
                *coming.entry(p.machine.clone()).or_default() += job.spec.need();
            }
        }
        let mut stops = 0;
        for id in due {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let spec = job.spec.clone();
            let entitled = guaranteed.contains(id) && self.knobs.guarantee_within.is_some();
            if !self.knobs.wait_within.contains_key(&spec.class) && !entitled {
                continue;
            }
            let mut planned = Room::default();
            for _ in 0..job.waiting() {
                planned += spec.need();
                if stops >= STOPS_PER_ROUND || !self.within_limit(&spec.team, &planned) {
                    break;
                }
                let Some((machine, victims)) = self.room_for(id, &spec, entitled, &coming, now)
                else {
                    break;
                };
                let room = coming.entry(machine).or_default();
                for task in &victims {
                    if let Some(v) = self.jobs.get(&task.job) {
                        *room += v.spec.need();
                    }
                }
                *room -= spec.need();
                stops += victims.len();
                for task in victims {
                    self.stop_for(&task, id);
                }
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
        self.notes.push(format!(
            "event=preempted task={task} machine={} by={by}",
            p.machine
        ));
    }

    /// The machine where room for a task costs least, and the tasks to stop there.
    fn room_for(
        &self,
        id: &JobId,
        spec: &JobSpec,
        entitled: bool,
        coming: &BTreeMap<MachineId, Room>,
        now: Micros,
    ) -> Option<(MachineId, Vec<TaskId>)> {
        let job = self.jobs.get(id)?;
        let need = spec.need();
        let mut best: Option<(Micros, MachineId, Vec<TaskId>)> = None;
        for (machine, m) in &self.machines {
            if m.life != Life::Up
                || m.notice.is_some()
                || m.lost
                || !m.total.holds(&need)
                || !self.accepts(id, spec, machine)
                || !zone_takes(job, &m.zone, 0)
            {
                continue;
            }
            let mut free = m.free() + coming.get(machine).copied().unwrap_or_default();
            let mut victims: Vec<(Micros, &TaskId)> = m
                .held
                .keys()
                .filter_map(|t| Some((self.loss_of(t, spec, entitled, now)?, t)))
                .collect();
            victims.sort();
            let mut loss = Micros::ZERO;
            let mut stopped = Vec::new();
            for (lost, task) in victims {
                if free.holds(&need) {
                    break;
                }
                free += m.held[task];
                loss = loss + lost;
                stopped.push(task.clone());
            }
            if !free.holds(&need) {
                continue;
            }
            // A fetch that is saved is time won for the task that waits.
            if !m.has_image(&spec.image) {
                let rate = self.flavors.get(&m.rig).map_or(1.0, |f| f.fetch_gb_per_s);
                loss = loss + Micros::from_secs_f64(spec.image_gb / rate.max(0.001));
            }
            if best.as_ref().is_none_or(|(l, _, _)| loss < *l) {
                best = Some((loss, machine.clone(), stopped));
            }
        }
        best.map(|(_, machine, victims)| (machine, victims))
    }

    /// The work that stopping a task would lose, or none if it must not be stopped for this job.
    fn loss_of(&self, task: &TaskId, by: &JobSpec, entitled: bool, now: Micros) -> Option<Micros> {
        let job = self.jobs.get(&task.job)?;
        let p = job.placement(task.index)?;
        if p.stopping.is_some() || job.ending {
            return None;
        }
        let lower = job.spec.priority < by.priority;
        let lent = entitled && job.spec.team != by.team && self.borrows(&job.spec.team);
        // Services of the highest priority are spared even where the rules allow to stop them.
        if !lower && !(lent && job.spec.priority < Priority::Critical) {
            return None;
        }
        let ran = p.running_since.map_or(Micros::ZERO, |t| now.since(t));
        let save = Micros::from_secs_f64(job.spec.save_slack());
        Some(if save > Micros::ZERO {
            save.min(ran)
        } else {
            ran
        })
    }
}
