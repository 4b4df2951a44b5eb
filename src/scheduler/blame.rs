//! Whose fault failures are: a job that fails everywhere, or a machine that fails everything.

use super::Scheduler;
use super::ids::{JobId, MachineId, TaskId};
use super::job_spec::Shape;
use super::machine::Life;
use crate::units::Micros;

/// A job that failed on so many machines is itself at fault.
const JOB_AT_FAULT: usize = 3;
/// A machine that failed tasks of so many jobs, with none succeeding since, is itself at fault.
const MACHINE_AT_FAULT: usize = 2;

impl Scheduler {
    /// Guards against the design's crack: a job that fails everywhere would land on the same low machine for ever,
    /// and a machine that fails everything would be offered every job first.
    ///
    /// Until a job is known to be at fault its failures speak against the machines as well; then they are taken back, so
    /// that two broken jobs that met on a machine do not make it sick.
    pub(super) fn task_failed(&mut self, task: &TaskId, machine: &MachineId, now: Micros) {
        let machines = self.machines.len();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.failed_on.len() * 2 >= machines.max(2 * JOB_AT_FAULT) {
            // Where it failed on most machines, they get another try.
            job.failed_on.clear();
        }
        job.failed_on.insert(machine.clone());
        job.failures += 1;
        if job.at_fault || job.failed_on.len() >= JOB_AT_FAULT {
            let pause = job.pause();
            job.next_try = now + pause;
            // A service shows no success, and a gang can't be tried one task at a time: their failures are judged anew.
            let lasts = job.spec.shape == Shape::Array;
            if job.at_fault {
                return;
            }
            job.at_fault = lasts;
            self.notes.push(format!(
                "event=job_fails_everywhere job={} pause={pause}",
                task.job
            ));
            let blamed = if lasts {
                job.failed_on.clone()
            } else {
                std::mem::take(&mut job.failed_on)
            };
            for m in blamed {
                self.clear_of_blame(&m, &task.job);
            }
            return;
        }
        self.blame(machine, &task.job);
    }

    /// A machine failed a job that is not known to be at fault.
    fn blame(&mut self, machine: &MachineId, job: &JobId) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        m.failed_jobs.insert(job.clone());
        if m.failed_jobs.len() >= MACHINE_AT_FAULT && m.life == Life::Up {
            m.life = Life::Draining;
            self.notes
                .push(format!("event=machine_sick machine={machine}"));
        }
    }

    /// The job was at fault: if that is all there was against a machine, it is as good as any.
    fn clear_of_blame(&mut self, machine: &MachineId, job: &JobId) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let was_sick = m.failed_jobs.len() >= MACHINE_AT_FAULT;
        m.failed_jobs.remove(job);
        if was_sick && m.failed_jobs.len() < MACHINE_AT_FAULT && m.life == Life::Draining {
            m.life = Life::Up;
            self.notes
                .push(format!("event=machine_not_sick machine={machine}"));
        }
    }

    /// A task of the job completed: it is not at fault, so that the machines where it failed are.
    ///
    /// Guards against taking a good job that met only faulty machines for broken, and them for good.
    pub(super) fn note_success(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !std::mem::take(&mut job.at_fault) {
            return;
        }
        for machine in job.failed_on.clone() {
            self.blame(&machine, id);
        }
    }
}
