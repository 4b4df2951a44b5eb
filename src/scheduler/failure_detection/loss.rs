//! Causes of machine losses, the record of recent failures and the log events for lost machines.

use super::{Machine, MachineId, Micros, Scheduler};
use crate::scheduler::events::SchedulerEvent;
use std::collections::VecDeque;
use std::fmt;

/// How long a machine that failed for lack of contact still counts as suspected. Without this, the machines behind a
/// partition would be terminated in small groups, each below the partition threshold.
const RECENT_FAILURE_WINDOW: Micros = Micros::secs(30);
/// Maximum number of machines named in one log line.
const MACHINES_PER_LINE: usize = 25;

/// Why a machine was lost.
///
/// Losses found at the same time are logged in the order of these variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// Its heartbeats arrive, but they acknowledge none of the leader's responses.
    InboundUnreachable,
    /// The cloud's machine list shows it as failed or no longer has it.
    Gone,
    /// There was no contact with it within its grace period.
    HeartbeatTimeout,
    /// It did not become ready within its provisioning timeout.
    ProvisioningTimeout,
}

impl fmt::Display for LossCause {
    /// Writes the value of the log key `why`, which operators' log filters match.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LossCause::InboundUnreachable => "deaf",
            LossCause::Gone => "lost",
            LossCause::HeartbeatTimeout => "silent",
            LossCause::ProvisioningTimeout => "stuck",
        })
    }
}

/// Machines that recently failed for lack of contact, oldest first.
#[derive(Debug, Default)]
pub(super) struct RecentFailures(VecDeque<RecentFailure>);

#[derive(Debug)]
struct RecentFailure {
    at: Micros,
    zone: String,
    spot: bool,
}

impl RecentFailures {
    /// Removes failures older than [`RECENT_FAILURE_WINDOW`].
    pub(super) fn expire(&mut self, now: Micros) {
        self.0
            .retain(|failure| now.since(failure.at) < RECENT_FAILURE_WINDOW);
    }

    /// Records the failure of a machine if its cause is a heartbeat timeout. Returns the cause, refined to
    /// [`LossCause::InboundUnreachable`] if its heartbeats still arrive but acknowledge no responses.
    pub(super) fn record(&mut self, m: &Machine, cause: LossCause, now: Micros) -> LossCause {
        if cause != LossCause::HeartbeatTimeout {
            return cause;
        }
        self.0.push_back(RecentFailure {
            at: now,
            zone: m.zone.clone(),
            spot: m.spot,
        });
        if m.is_inbound_unreachable() {
            LossCause::InboundUnreachable
        } else {
            cause
        }
    }

    /// Returns the zone of each failed machine, and whether it was a spot machine.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&str, bool)> {
        self.0.iter().map(|f| (f.zone.as_str(), f.spot))
    }
}

impl Scheduler {
    /// Logs the loss of machines of one cause, zone and kind, in lines of at most [`MACHINES_PER_LINE`] machines.
    pub(super) fn report_lost(
        &mut self,
        cause: LossCause,
        zone: &str,
        spot: bool,
        machines: &[MachineId],
        now: Micros,
    ) {
        for batch in machines.chunks(MACHINES_PER_LINE) {
            let batch_machines = || batch.iter().filter_map(|id| self.machines.get(id));
            let max_time_since_contact = batch_machines().map(|m| now.since(m.last_contact)).max();
            let event = SchedulerEvent::MachinesLost {
                machines: batch.to_vec(),
                cause,
                zone: zone.to_owned(),
                spot,
                since_contact: max_time_since_contact.unwrap_or_default(),
                tasks: batch_machines()
                    .flat_map(|m| m.reserved.keys().cloned())
                    .collect(),
            };
            self.events.push(event);
        }
    }
}
