//! Code shared by the tests that run whole controllers.
#![allow(dead_code, reason = "each test binary uses only part of it")]

pub mod loopback;
pub mod pinned;
pub mod sim;
pub mod wire;
pub mod world;
pub use ravenhead_stand_ins::{invariants, keys};
