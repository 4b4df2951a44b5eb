//! Who rebuilds after a loss, from what, and what has to be written for it.

use std::collections::BTreeMap;

/// What a controller can rebuild from: its view as it was when the loss was found.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// The losses that were rebuilt before this view.
    pub losses: u64,
    /// The revision of the view.
    pub revision: u64,
    /// The controller, which decides among equals.
    pub node: String,
}

/// A candidate's place among all who told of theirs: the one with the newest view comes first, at 0. None where it is not
/// among them.
pub fn rank(own: &Candidate, all: &[Candidate]) -> Option<usize> {
    let mut sorted: Vec<&Candidate> = all.iter().collect();
    sorted.sort_by(|a, b| b.cmp(a));
    sorted.iter().position(|c| *c == own)
}

/// A value with the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
pub struct Stored<V> {
    /// The value.
    pub value: V,
    /// The revision of its last change.
    pub version: u64,
}

/// A key to be restored.
#[derive(Debug, Clone, PartialEq)]
pub struct Restore<V> {
    /// The key.
    pub key: String,
    /// The value that it had.
    pub value: V,
    /// The version that it must have now, 0 where it must not exist.
    pub replaces: u64,
}

/// What has to be written so that everything in the snapshot is there again: keys that are missing, and keys that have an
/// older value, in the order of the snapshot. Nothing is removed, and what is there and is not older stays, so that a
/// snapshot of nothing lost, or an old one, changes nothing that is known better.
pub fn missing<V: PartialEq>(
    snapshot: impl IntoIterator<Item = (String, Stored<V>)>,
    present: &BTreeMap<String, Stored<V>>,
) -> Vec<Restore<V>> {
    let lacks = |(key, known): (String, Stored<V>)| {
        let found = present.get(&key);
        if found.is_some_and(|found| found.version >= known.version || found.value == known.value) {
            return None;
        }
        let replaces = found.map_or(0, |found| found.version);
        Some(Restore {
            key,
            value: known.value,
            replaces,
        })
    };
    snapshot.into_iter().filter_map(lacks).collect()
}

/// The base of the tokens after a loss: a token is the base plus the revision at which its leader was elected. It is above
/// every token known, and above those of any earlier loss, whose base was an earlier time of day in microseconds.
pub fn token_base(unix_time: u64, highest_known: u64) -> u64 {
    unix_time.max(highest_known + 1)
}
