//! Why machines were lost, and what is remembered and logged of it.

use super::{Machine, MachineId, Micros, Scheduler};
use crate::scheduler::events::SchedulerEvent;
use std::collections::VecDeque;
use std::fmt;

/// How long a machine that failed by its silence counts as suspected, so that a partition is not terminated piece by
/// piece.
const FAILURE_LINGER: Micros = Micros::secs(30);
/// Machines lost together that are named in one line of the log.
const MACHINES_PER_LINE: usize = 25;

/// Why a machine was lost.
///
/// Losses are logged in the order of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// Its heartbeats arrive, but it acknowledges no answer.
    InboundUnreachable,
    /// The cloud reports it gone or failed.
    Gone,
    /// No heartbeat came within its grace period.
    HeartbeatTimeout,
    /// It did not come up in time.
    ProvisioningTimeout,
}

impl fmt::Display for LossCause {
    /// The words of the log, which operators' filters know.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LossCause::InboundUnreachable => "deaf",
            LossCause::Gone => "lost",
            LossCause::HeartbeatTimeout => "silent",
            LossCause::ProvisioningTimeout => "stuck",
        })
    }
}

/// Machines that failed lately by their silence, the oldest first.
#[derive(Debug, Default)]
pub(super) struct RecentFailures(VecDeque<RecentFailure>);

#[derive(Debug)]
struct RecentFailure {
    at: Micros,
    zone: String,
    spot: bool,
}

impl RecentFailures {
    /// Drops those that count no longer.
    pub(super) fn expire(&mut self, now: Micros) {
        self.0
            .retain(|failure| now.since(failure.at) < FAILURE_LINGER);
    }

    /// Remembers a machine if it failed by its silence. Returns the cause, which is more precise for one that sends
    /// heartbeats and hears nothing.
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

    /// The zone of each, and whether it was a spot machine.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&str, bool)> {
        self.0.iter().map(|f| (f.zone.as_str(), f.spot))
    }
}

impl Scheduler {
    /// Logs what was lost: a few machines in a line each, many together in lines that still name all.
    pub(super) fn report_lost(
        &mut self,
        cause: LossCause,
        zone: &str,
        spot: bool,
        machines: &[MachineId],
        now: Micros,
    ) {
        for some in machines.chunks(MACHINES_PER_LINE) {
            let known = || some.iter().filter_map(|id| self.machines.get(id));
            let quiet = known().map(|m| now.since(m.last_contact)).max();
            let event = SchedulerEvent::MachinesLost {
                machines: some.to_vec(),
                cause,
                zone: zone.to_owned(),
                spot,
                since_contact: quiet.unwrap_or_default(),
                tasks: known().flat_map(|m| m.reserved.keys().cloned()).collect(),
            };
            self.events.push(event);
        }
    }
}
