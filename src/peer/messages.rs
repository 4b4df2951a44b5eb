//! What controllers tell each other.
//!
//! The layout of these types is the wire format: `bitcode` writes fields and variants in their order, without names. A
//! field or variant that is added, removed or moved can't be read by controllers of another version.

use crate::fencing::FencingToken;
use crate::scheduler::{AgentCommand, Heartbeat, JobId, MachineId};
use bitcode::{Decode, Encode};

/// What a controller knows of who leads; every frame carries it.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct ClusterStatus {
    /// The highest token known.
    pub token: FencingToken,
    /// Who holds it, if that is known and it is held.
    pub leader: Option<String>,
    /// Whether the sender reaches the state service.
    pub state_reachable: bool,
    /// Whether another controller does not answer the sender.
    pub peer_unreachable: bool,
    /// Drawn anew by every process.
    pub incarnation: u64,
    /// Whether the sender itself leads, with or without a lease.
    pub leads: bool,
}

/// A request to another controller.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerRequest {
    /// The knowledge, and what there is to tell of cancelled jobs.
    Ping {
        /// Those that the receiver has not acknowledged yet.
        cancelled: Vec<Cancellation>,
        /// Cancelled jobs of which nothing is left on these machines.
        cleared: Vec<ResidueCleared>,
    },
    /// A worker's heartbeat, to be answered by the leader.
    Heartbeat {
        /// Whether it may be passed on once more.
        relay: bool,
        /// The controller that the worker reported to.
        via: String,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
}

/// A reply to another controller.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerReply {
    /// Just the knowledge.
    Pong,
    /// The leader's answer to a heartbeat.
    Answer {
        /// Its token.
        token: FencingToken,
        /// Its commands.
        commands: Vec<AgentCommand>,
    },
    /// The leader could not be asked.
    NoLeader,
}

/// A frame with what its sender knows.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Frame<T> {
    /// What the sender knows.
    pub cluster_status: ClusterStatus,
    /// The message.
    pub message: T,
}

/// A cancelled job, as controllers tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Cancellation {
    /// The job.
    pub job: JobId,
    /// When it was committed, by the time of day in microseconds.
    pub at: u64,
    /// The machines on which its tasks were placed by then.
    pub machines: Vec<MachineId>,
}

impl Cancellation {
    /// About how many bytes it takes in a message.
    pub(crate) fn bytes(&self) -> usize {
        let names = self.machines.iter().map(|m| m.0.len() + 1);
        self.job.0.len() + 16 + names.sum::<usize>()
    }
}

/// A machine that was found without tasks of a cancelled job.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ResidueCleared {
    /// The job.
    pub job: JobId,
    /// The machine.
    pub machine: MachineId,
}
