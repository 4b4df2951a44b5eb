//! Failure attribution: a crash-looping job, which fails everywhere, or a faulty machine, which fails everything.

use super::Scheduler;
use super::events::SchedulerEvent;
use super::job_spec::Shape;
use super::machine::MachineState;
use crate::ids::{JobId, MachineId, TaskId};
use crate::units::Micros;

/// A job that failed on so many machines is itself crash-looping.
const CRASH_LOOP_MACHINES: usize = 3;
/// A machine that failed tasks of so many jobs, with none succeeding since, is quarantined.
const QUARANTINE_AFTER_JOBS: usize = 2;

impl Scheduler {
    /// Attributes a failure to the job or to the machine.
    ///
    /// Guards against a gap of offers in id order: a job that fails everywhere would land on the same low machine for ever,
    /// and a machine that fails everything would be offered every job first.
    ///
    /// Until a job is known to be crash-looping its failures speak against the machines as well; then these are absolved, so
    /// that two broken jobs that met on a machine do not quarantine it.
    pub(super) fn task_failed(&mut self, task: &TaskId, machine: &MachineId, now: Micros) {
        let machines = self.machines.len();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.failed_on.len() * 2 >= machines.max(2 * CRASH_LOOP_MACHINES) {
            // Where it failed on most machines, they get another try.
            job.failed_on.clear();
        }
        job.failed_on.insert(machine.clone());
        job.consecutive_failures += 1;
        if job.crash_looping || job.failed_on.len() >= CRASH_LOOP_MACHINES {
            let pause = job.backoff();
            job.next_offer_at = now + pause;
            // A service shows no success, and a gang can't be tried one task at a time: their failures are judged anew.
            let is_persistent = job.spec.shape == Shape::Array;
            if job.crash_looping {
                return;
            }
            job.crash_looping = is_persistent;
            self.events.push(SchedulerEvent::JobCrashLooping {
                job: task.job.clone(),
                pause,
            });
            let attributed = if is_persistent {
                job.failed_on.clone()
            } else {
                std::mem::take(&mut job.failed_on)
            };
            for m in attributed {
                self.absolve(&m, &task.job);
            }
            return;
        }
        self.attribute_failure(machine, &task.job);
    }

    /// A machine failed a job that is not known to be crash-looping.
    fn attribute_failure(&mut self, machine: &MachineId, job: &JobId) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        m.failed_jobs.insert(job.clone());
        if m.failed_jobs.len() >= QUARANTINE_AFTER_JOBS && m.state == MachineState::Ready {
            m.state = MachineState::Draining;
            self.events.push(SchedulerEvent::MachineQuarantined {
                machine: machine.clone(),
            });
        }
    }

    /// The job was crash-looping: if that is all there was against a machine, it is as good as any.
    fn absolve(&mut self, machine: &MachineId, job: &JobId) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let was_quarantined = m.failed_jobs.len() >= QUARANTINE_AFTER_JOBS;
        m.failed_jobs.remove(job);
        if was_quarantined
            && m.failed_jobs.len() < QUARANTINE_AFTER_JOBS
            && m.state == MachineState::Draining
        {
            m.state = MachineState::Ready;
            self.events.push(SchedulerEvent::MachineQuarantineLifted {
                machine: machine.clone(),
            });
        }
    }

    /// A task of the job completed: it is not crash-looping, so that the machines where it failed are.
    ///
    /// Guards against taking a good job that met only faulty machines for broken, and them for good.
    pub(super) fn on_task_success(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !std::mem::take(&mut job.crash_looping) {
            return;
        }
        for machine in job.failed_on.clone() {
            self.attribute_failure(&machine, id);
        }
    }
}
