//! The protocol between controllers: `bitcode` frames over TCP, with one request in flight per connection.

mod client;
mod frame;
mod messages;
mod server;

pub use client::{Peer, PeerError};
pub use messages::{Cancellation, ClusterStatus, Frame, PeerReply, PeerRequest, ResidueCleared};
pub use server::serve;

#[cfg(test)]
mod tests;
