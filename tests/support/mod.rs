//! What the scenarios about whole controllers share.
#![allow(dead_code, reason = "each test program uses a part of it")]

pub mod invariants;
pub mod keys;
pub mod loopback;
pub mod sim;
pub mod world;
