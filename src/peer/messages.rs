//! The messages between controllers.
//!
//! The layout of these types is the wire format: `bitcode` writes fields and variants in declaration order, without
//! names. Controllers of another version can't read frames after a field or variant was added, removed or moved.

use crate::fencing::FencingToken;
use crate::scheduler::{AgentCommand, Heartbeat, JobId, MachineId};
use bitcode::{Decode, Encode};

/// What a controller knows about the leader and the reachability of others; part of every frame.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct ClusterStatus {
    /// The highest fencing token that the sender knows.
    pub token: FencingToken,
    /// The controller that holds this token; `None` if unknown or if no controller holds it.
    pub leader: Option<String>,
    /// Whether the sender reaches the key-value store.
    pub state_reachable: bool,
    /// Whether at least one other controller does not answer the sender's pings.
    pub peer_unreachable: bool,
    /// Random number that identifies the sender's process.
    pub incarnation: u64,
    /// Whether the sender leads, even if its lease may have expired.
    pub leads: bool,
}

/// A request to another controller.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerRequest {
    /// A periodic exchange of cluster status and news about cancelled jobs.
    Ping {
        /// Cancellations that the receiver has not acknowledged.
        cancelled: Vec<Cancellation>,
        /// Machines that no longer run tasks of a cancelled job.
        cleared: Vec<ResidueCleared>,
    },
    /// A worker's heartbeat, relayed so that the leader can respond to it.
    Heartbeat {
        /// Whether the receiver may relay the heartbeat once more.
        relay: bool,
        /// The controller to which the worker sent the heartbeat.
        via: String,
        /// The heartbeat as the worker sent it.
        heartbeat: Heartbeat,
    },
}

/// A reply to another controller.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerReply {
    /// The answer to a ping; the frame's cluster status is its content.
    Pong,
    /// The leader's response to a heartbeat.
    Answer {
        /// The fencing token of the leader's term.
        token: FencingToken,
        /// The commands for the worker.
        commands: Vec<AgentCommand>,
    },
    /// The leader is unknown or could not be reached.
    NoLeader,
}

/// A message together with its sender's cluster status.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Frame<T> {
    /// The sender's cluster status when it sent the frame.
    pub cluster_status: ClusterStatus,
    /// The request or the reply.
    pub message: T,
}

/// The cancellation of a job, as controllers exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Cancellation {
    /// The cancelled job.
    pub job: JobId,
    /// When the cancellation was committed, in microseconds of Unix time.
    pub at: u64,
    /// The machines on which tasks of the job were placed at that time.
    pub machines: Vec<MachineId>,
}

impl Cancellation {
    /// Returns the approximate encoded size in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let names = self.machines.iter().map(|m| m.0.len() + 1);
        self.job.0.len() + 16 + names.sum::<usize>()
    }
}

/// A report that a machine no longer runs tasks of a cancelled job.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ResidueCleared {
    /// The cancelled job.
    pub job: JobId,
    /// The machine that runs none of its tasks.
    pub machine: MachineId,
}
