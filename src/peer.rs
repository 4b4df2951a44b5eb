//! Controllers among themselves: `bitcode` frames over TCP, one request and one reply at a time on a connection.

mod client;
mod frame;
mod messages;
mod server;

pub use client::{Peer, PeerError};
pub use messages::{Cancellation, ClusterStatus, Frame, PeerReply, PeerRequest, ResidueCleared};
pub use server::serve;

#[cfg(test)]
mod tests;
