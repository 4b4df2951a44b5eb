//! The fencing token: what keeps a deposed leader from being obeyed.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a leader's term; a higher one is newer.
///
/// It is the revision of the leader key, plus a base after a loss of stored state. Agents drop answers with a lower token
/// than the highest that they have seen. In JSON and in frames it is a plain number.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Default,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The token that is below all others: nobody has led yet, as far as is known.
    pub const NONE: FencingToken = FencingToken(0);
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
