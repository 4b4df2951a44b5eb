//! Recovery from a loss of stored state. The latest placements may be missing from the stored state, so nothing is
//! offered until every machine has reported its tasks.

use super::Scheduler;
use super::events::SchedulerEvent;
use super::machine::MachineState;
use super::records::CHUNK_SIZE;
use crate::ids::TaskId;
use crate::units::Micros;

/// Gap between the attempts before and after a loss of stored state. The records may lack the last attempts before the
/// loss, and a worker treats a start with an attempt that it has already had as a duplicate.
const ATTEMPTS_PER_LOSS: u64 = 1 << 32;
/// Interval at which the number of machines that have not reported is logged.
const LOG_INTERVAL: Micros = Micros::secs(10);

/// A rebuild that waits for machines to report.
#[derive(Debug)]
pub(super) struct Rebuild {
    /// Whether a machine list was requested late enough to include every machine provisioned before the loss.
    listed: bool,
    logged_at: Micros,
}

impl Scheduler {
    /// Starts a term after loss number `loss_number` of stored state: offers wait until all machines have reported.
    pub fn begin_rebuild(&mut self, loss_number: u64, now: Micros) {
        self.raise_min_attempt(loss_number);
        self.rebuild = Some(Rebuild {
            listed: false,
            logged_at: now,
        });
    }

    /// Raises the lower bound of attempts above all attempts assigned before the last loss.
    pub fn raise_min_attempt(&mut self, losses: u64) {
        self.min_attempt = losses * ATTEMPTS_PER_LOSS;
    }

    /// Returns whether a rebuild is in progress: offers wait for machines that may run tasks without a record.
    pub fn is_rebuilding(&self) -> bool {
        self.rebuild.is_some()
    }

    /// Records that a machine list was read that was requested at `requested_at`.
    pub(super) fn observe_machine_list_in_rebuild(&mut self, requested_at: Micros) {
        let lag = self.config.list_lag.scaled(2, 1) + Micros::secs(1);
        let is_recent_enough = requested_at.since(self.started_at) > lag;
        if let Some(rebuild) = &mut self.rebuild {
            rebuild.listed |= is_recent_enough;
        }
    }

    /// Completes the rebuild once every machine has reported its tasks or is gone. Returns true if it does so in this
    /// call.
    pub fn check_rebuild(&mut self, now: Micros) -> bool {
        let unreported = self
            .machines
            .values()
            .filter(|m| {
                matches!(
                    m.state,
                    MachineState::Provisioning | MachineState::Terminating
                )
            })
            .count();
        let Some(rebuild) = &mut self.rebuild else {
            return false;
        };
        if rebuild.listed && unreported == 0 {
            self.rebuild = None;
            self.events.push(SchedulerEvent::RebuildConfirmed {
                token: self.token,
                machines: self.machines.len(),
                after: now.since(self.started_at),
            });
            return true;
        }
        if now.since(rebuild.logged_at) >= LOG_INTERVAL {
            rebuild.logged_at = now;
            self.events.push(SchedulerEvent::RebuildWaiting {
                token: self.token,
                listed: rebuild.listed,
                unreported,
            });
        }
        false
    }

    /// Raises a chunk's last attempt to that of a reported task without a record, so that later attempts are higher.
    pub(super) fn raise_last_attempt(&mut self, task: &TaskId, attempt: u64) {
        if self.rebuild.is_none() {
            return;
        }
        let job = self.jobs.get_mut(&task.job);
        if let Some(job) = job.filter(|job| task.index < job.spec.tasks) {
            let chunk = job.chunks.entry(task.index / CHUNK_SIZE).or_default();
            chunk.last_attempt = chunk.last_attempt.max(attempt);
        }
    }
}
