//! The fencing token, by which workers and controllers reject commands of a deposed leader.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a leader term; a newer term has a higher token.
///
/// It is the version of the leader key, plus a base after a loss of stored state. Workers discard responses with a
/// token lower than the highest they have received. In JSON and in frames it is a plain number.
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
    /// The lowest token: no leader term is known.
    pub const NONE: FencingToken = FencingToken(0);
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
