//! The interfaces of a controller: HTTP for users, health checks and the agents on machines, frames for other controllers.

pub mod admission;
pub mod peers;
pub mod users;
mod wire;
pub mod workers;

/// When users are to come back after a trouble that passes soon, in seconds.
const RETRY_AFTER_TRANSIENT_S: u64 = 1;
