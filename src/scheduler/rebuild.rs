//! Recovery from a loss of stored state: the last placements may be missing from it, so nothing is offered before every
//! machine has reported what is on it.

use super::Scheduler;
use super::events::SchedulerEvent;
use super::machine::MachineState;
use super::records::CHUNK_SIZE;
use crate::ids::TaskId;
use crate::units::Micros;

/// Attempts after a loss begin so far above those before it: records may lack the last ones, and a worker takes an attempt
/// that it had before for a repetition.
const ATTEMPTS_PER_LOSS: u64 = 1 << 32;
/// Interval at which it is logged how many machines are waited for.
const LOG_INTERVAL: Micros = Micros::secs(10);

/// A rebuild that waits for machines.
#[derive(Debug)]
pub(super) struct Rebuild {
    /// The list of machines was asked for so late that it has every machine that was provisioned before the loss.
    listed: bool,
    logged_at: Micros,
}

impl Scheduler {
    /// Begins a term after the loss of stored state with this number: offers wait until all machines have reported.
    pub fn begin_rebuild(&mut self, loss_number: u64, now: Micros) {
        self.raise_min_attempt(loss_number);
        self.rebuild = Some(Rebuild {
            listed: false,
            logged_at: now,
        });
    }

    /// Raises the attempts above all that were given out before the last loss.
    pub fn raise_min_attempt(&mut self, losses: u64) {
        self.min_attempt = losses * ATTEMPTS_PER_LOSS;
    }

    /// Whether offers wait for machines that may run what no record shows.
    pub fn is_rebuilding(&self) -> bool {
        self.rebuild.is_some()
    }

    /// The machine list was read, and was asked for at this time.
    pub(super) fn observe_machine_list_in_rebuild(&mut self, requested_at: Micros) {
        let lag = self.config.list_lag.scaled(2, 1) + Micros::secs(1);
        let is_recent_enough = requested_at.since(self.started_at) > lag;
        if let Some(rebuild) = &mut self.rebuild {
            rebuild.listed |= is_recent_enough;
        }
    }

    /// Returns true once every machine has reported what is on it, or is gone.
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

    /// Takes in an attempt that no record shows: later ones must be higher.
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
