//! The client of the state service: a transactional key-value store with leases and watches.
//!
//! [`KvClient`] is all that a controller sees of the service. Every request has a deadline, takes its share of the
//! controller's request budget, and fails with a [`KvError`] that tells what is certain from what is not. The protocol's
//! own field names stand in serde renames, and in `wire` where a message is nothing else.

mod budget;
mod client;
mod error;
mod items;
mod lease;
mod loss_detector;
mod response;
mod retransmit;
mod transaction;
mod watch;
mod wire;

pub use budget::Urgency;
pub use client::KvClient;
pub use error::KvError;
pub use items::{Item, Lookup, Page};
pub use lease::LeaseId;
pub use retransmit::RetransmitTimer;
pub use transaction::{Change, Condition, MAX_BATCH_BYTES, Outcome};
pub use watch::{Event, WatchResponse};
