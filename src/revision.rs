//! Revisions of the key-value store.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A revision of the key-value store: each transaction that changes something makes the next one.
///
/// The version of a key is the revision at which it was last written. In JSON it is a plain number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The version of a key that does not exist, and the revision before all others.
    pub const NONE: Revision = Revision(0);
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
