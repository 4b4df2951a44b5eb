//! What the scenarios about whole controllers share.
#![allow(dead_code, reason = "each test program uses a part of it")]

pub mod invariants;
pub mod loopback;
pub mod pinned;
pub mod sim;
pub mod wire;
pub mod world;
pub use ravenhead_stand_ins::keys;
