//! Revisions of the key-value store.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A revision of the key-value store, which increases with each transaction that changes a key.
///
/// The version of a key is the revision at which it was last written. A revision is a plain number in JSON.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The version of a key that does not exist, and the revision before the first change.
    pub const NONE: Revision = Revision(0);
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
