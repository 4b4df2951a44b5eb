//! Failure attribution: decides whether task failures are due to a crash-looping job, which fails on every machine, or
//! to a faulty machine, which fails tasks of every job.

use super::Scheduler;
use super::events::SchedulerEvent;
use super::job_spec::Shape;
use super::machine::MachineState;
use crate::ids::{JobId, MachineId, TaskId};
use crate::units::Micros;

/// Number of machines on which a job must have failed to count as crash-looping.
const CRASH_LOOP_MACHINES: usize = 3;
/// Number of jobs of which tasks must have failed on a machine, without a success since, for it to be quarantined.
const QUARANTINE_AFTER_JOBS: usize = 2;

impl Scheduler {
    /// Attributes the failure of a task to its job or to the machine.
    ///
    /// Without this, as machines are offered in the order of their ids, a job that fails on every machine would be
    /// placed on the machine with the lowest id again and again, and a faulty machine with a low id would get every job
    /// first.
    ///
    /// Until a job counts as crash-looping, its failures are attributed to the machines too. When it does, they are
    /// removed from these machines, so that a machine is not quarantined because two faulty jobs ran on it.
    pub(super) fn on_task_failure(&mut self, task: &TaskId, machine: &MachineId, now: Micros) {
        let machine_count = self.machines.len();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.failed_on.len() * 2 >= machine_count.max(2 * CRASH_LOOP_MACHINES) {
            // A job that failed on half of the machines or more may be placed on them again; otherwise few would be
            // left.
            job.failed_on.clear();
        }
        job.failed_on.insert(machine.clone());
        job.consecutive_failures += 1;
        if job.crash_looping || job.failed_on.len() >= CRASH_LOOP_MACHINES {
            let pause = job.backoff();
            job.next_offer_at = now + pause;
            // Only an array stays marked as crash-looping. A service has no completed task that would clear the mark,
            // and a gang can't be retried one task at a time: their failures are counted anew.
            let stays_crash_looping = job.spec.shape == Shape::Array;
            if job.crash_looping {
                return;
            }
            job.crash_looping = stays_crash_looping;
            self.events.push(SchedulerEvent::JobCrashLooping {
                job: task.job.clone(),
                pause,
            });
            let attributed_machines = if stays_crash_looping {
                job.failed_on.clone()
            } else {
                std::mem::take(&mut job.failed_on)
            };
            for m in attributed_machines {
                self.remove_attributed_failure(&m, &task.job);
            }
            return;
        }
        self.attribute_failure(machine, &task.job);
    }

    /// Attributes a failure of a job to a machine, and quarantines the machine if it has failed enough jobs.
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

    /// Removes the failures of a crash-looping job from a machine, and lifts its quarantine if too few failed jobs
    /// remain.
    fn remove_attributed_failure(&mut self, machine: &MachineId, job: &JobId) {
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

    /// Records that a task of the job completed. If the job counted as crash-looping, its failures are attributed to
    /// the machines where it failed instead.
    ///
    /// Without this, a job that was placed only on faulty machines would keep counting as faulty, and the machines as
    /// healthy.
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
