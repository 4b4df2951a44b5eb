//! Client of the key-value store, a transactional store with leases and watches.
//!
//! Controllers access the store only through [`KvClient`]. Every request has a timeout and is charged to the
//! controller's request budget. A failed request returns a [`KvError`], which distinguishes requests that were
//! certainly not executed from those with an unknown outcome. Public types map their fields to the protocol's names
//! with serde renames; messages that are only encoded or decoded here are defined in `wire`.

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
