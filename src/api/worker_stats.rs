//! Which commands workers were given, and why others were given none.

use crate::metrics::{Counter, ReasonCounter};
use crate::scheduler::AgentCommand;
use std::fmt;

/// By which right a heartbeat was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResponseBasis {
    /// As the leader with a valid lease: all commands.
    LeaseValid,
    /// As the leader, whose lease may have expired: only stops of cancelled tasks.
    LeaseUncertain,
    /// As the leader, to a heartbeat that is older than one before it: no commands.
    StaleHeartbeat,
    /// By the leader, to which the heartbeat was forwarded.
    Forwarded,
    /// Without a leader: only stops of cancelled tasks.
    WithoutLeader,
    /// The worker was redirected to another controller.
    Redirected,
    /// Refused, as the worker has seen a higher fencing token than this controller knows.
    TokenBehind,
}

impl fmt::Display for ResponseBasis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResponseBasis::LeaseValid => "lease_valid",
            ResponseBasis::LeaseUncertain => "lease_uncertain",
            ResponseBasis::StaleHeartbeat => "stale_heartbeat",
            ResponseBasis::Forwarded => "forwarded",
            ResponseBasis::WithoutLeader => "without_leader",
            ResponseBasis::Redirected => "redirected",
            ResponseBasis::TokenBehind => "token_behind",
        })
    }
}

/// Counters of the responses to heartbeats, for the log.
#[derive(Default)]
pub struct WorkerStats {
    /// Responses to heartbeats.
    pub responses: ReasonCounter<ResponseBasis>,
    /// Start commands sent as the leader.
    pub starts: Counter,
    /// Stop commands sent as the leader.
    pub stops: Counter,
}

impl WorkerStats {
    /// Counts the commands of a response that this controller gives as the leader.
    pub(super) fn count_commands(&self, commands: &[AgentCommand]) {
        for command in commands {
            match command {
                AgentCommand::Run { .. } => self.starts.increment(),
                AgentCommand::Stop { .. } => self.stops.increment(),
                AgentCommand::Clear { .. } => {}
            }
        }
    }
}
