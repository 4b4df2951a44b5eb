//! Rebuilding after a loss of state: which controller rebuilds, which records it writes, and the next fencing tokens.

use std::collections::BTreeMap;

/// A controller that can rebuild lost state from its snapshot, which is its view at the time when it detected the loss.
///
/// Candidates are ordered by their fields in declaration order; the greatest has the newest view.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Number of losses that were rebuilt before the snapshot. Only revisions after the same number of losses are
    /// comparable.
    pub losses: u64,
    /// Revision of the snapshot.
    pub revision: u64,
    /// Node name of the controller, which breaks ties.
    pub node: String,
}

/// Returns the position of a candidate among all announced candidates, in descending order: 0 is the one with the
/// newest view. Returns `None` if the candidate is not announced.
pub fn rank(own: &Candidate, all: &[Candidate]) -> Option<usize> {
    let mut sorted: Vec<&Candidate> = all.iter().collect();
    sorted.sort_by(|a, b| b.cmp(a));
    sorted.iter().position(|c| *c == own)
}

/// The value of a key together with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedValue<V> {
    /// Value of the key.
    pub value: V,
    /// Revision of the key's last change.
    pub version: u64,
}

/// A write that restores one key.
#[derive(Debug, Clone, PartialEq)]
pub struct Restore<V> {
    /// Key to restore.
    pub key: String,
    /// Value from the snapshot.
    pub value: V,
    /// Compare-and-set condition: the version that the key must have, or 0 if it must not exist.
    pub expected_version: u64,
}

/// Returns the writes that restore the snapshot, in its order: one for each key that is missing and each key that has
/// an older version with a different value.
///
/// No key is deleted, and keys whose version is at least as new are kept. An outdated snapshot, or one taken although
/// nothing was lost, therefore overwrites no newer record.
pub fn records_to_restore<V: PartialEq>(
    snapshot: impl IntoIterator<Item = (String, VersionedValue<V>)>,
    present: &BTreeMap<String, VersionedValue<V>>,
) -> Vec<Restore<V>> {
    let to_restore = |(key, known): (String, VersionedValue<V>)| {
        let found = present.get(&key);
        if found.is_some_and(|found| found.version >= known.version || found.value == known.value) {
            return None;
        }
        let expected_version = found.map_or(0, |found| found.version);
        Some(Restore {
            key,
            value: known.value,
            expected_version,
        })
    };
    snapshot.into_iter().filter_map(to_restore).collect()
}

/// Returns the base for fencing tokens after a loss. A fencing token is the base plus the revision at which its leader
/// was elected.
///
/// The base is `unix_time`, in microseconds, or one more than the highest known token if the clock is behind that. It
/// exceeds every known token, and also tokens issued after earlier losses, whose base was an earlier time.
pub fn token_base(unix_time: u64, highest_known: u64) -> u64 {
    unix_time.max(highest_known + 1)
}
