//! What the stories about whole controllers share.
#![allow(dead_code, reason = "each test program uses a part of it")]

pub mod keys;
pub mod ledger;
pub mod sim;
pub mod world;
