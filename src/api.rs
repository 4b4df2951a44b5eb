//! The server APIs of a controller: HTTP for users, health checks and workers, and framed requests from other
//! controllers.

pub mod admission;
pub mod answers;
pub mod commits;
pub mod peers;
pub mod users;
mod wire;
pub mod worker_stats;
pub mod workers;

/// `Retry-After` value, in seconds, for conditions that are expected to pass quickly.
const RETRY_AFTER_TRANSIENT_S: u64 = 1;
