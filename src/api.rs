//! The HTTP interfaces: one for users and health checks, one for the agents on machines.

pub mod users;
pub mod workers;
