//! Detection of lost state in the key-value store, as distinct from an outage, a stale view and a first start.
//!
//! The key-value store is linearizable: a request sent after a response was received can't be answered as of an earlier
//! revision, and a key that a watch reported as written exists until a watch reports its removal. Any violation means
//! that state was lost. Missing responses, refused requests and slow responses are not evidence of a loss.

use std::fmt;

/// An observation that is only possible if stored state was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evidence {
    /// A response had an older revision than one received before its request was sent.
    RevisionWentBack {
        /// Highest revision known when the request was sent.
        known: u64,
        /// Revision of the response.
        found: u64,
    },
    /// A key is missing although no watch reported its removal.
    RecordGone {
        /// The missing key.
        key: String,
        /// Revision of its last change, as reported by a watch.
        version: u64,
    },
    /// A key has an older version than the one that a watch reported.
    RecordOlder {
        /// The key with the older version.
        key: String,
        /// Revision of its last change, as reported by a watch.
        version: u64,
        /// Version found in the key-value store.
        found: u64,
    },
    /// A key has a version that no watch reported, although watches have reported all changes up to a later revision.
    RecordUnseen {
        /// The key with the unreported version.
        key: String,
        /// Version found in the key-value store.
        version: u64,
    },
    /// Another controller announced that it has evidence of a loss.
    Claimed {
        /// Node name of that controller.
        by: String,
    },
    /// A worker or controller has a fencing token that the key-value store can't have issued yet.
    TokenAhead {
        /// The fencing token.
        token: u64,
        /// Highest fencing token that can have been issued.
        possible: u64,
    },
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Evidence::RevisionWentBack { known, found } => {
                write!(f, "revision_went_back known={known} found={found}")
            }
            Evidence::RecordGone { key, version } => {
                write!(f, "record_gone key={key} version={version}")
            }
            Evidence::RecordOlder {
                key,
                version,
                found,
            } => write!(f, "record_older key={key} version={version} found={found}"),
            Evidence::RecordUnseen { key, version } => {
                write!(f, "record_unseen key={key} version={version}")
            }
            Evidence::Claimed { by } => write!(f, "claimed by={by}"),
            Evidence::TokenAhead { token, possible } => {
                write!(f, "token_ahead token={token} possible={possible}")
            }
        }
    }
}

/// The lowest revision at which a request may be answered, as known when the request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedRevision {
    revision: u64,
    epoch: u64,
}

/// Tracks the highest revision that this process has seen since the last loss.
///
/// `epoch` counts the losses, so that responses to requests sent before a loss can be recognized.
#[derive(Debug, Clone, Default)]
pub struct RevisionTracker {
    highest: u64,
    epoch: u64,
}

impl RevisionTracker {
    /// Returns the lowest revision at which a request that is sent now may be answered.
    pub fn begin_request(&self) -> ExpectedRevision {
        ExpectedRevision {
            revision: self.highest,
            epoch: self.epoch,
        }
    }

    /// Records the revision of a response and returns evidence of a loss if it is lower than expected. Responses to
    /// requests sent before the last loss are ignored.
    pub fn check_response(&mut self, expected: ExpectedRevision, found: u64) -> Option<Evidence> {
        if expected.epoch != self.epoch {
            return None;
        }
        if found < expected.revision {
            return Some(Evidence::RevisionWentBack {
                known: expected.revision,
                found,
            });
        }
        self.highest = self.highest.max(found);
        None
    }

    /// Restarts the comparison after a loss, as the key-value store may count revisions from 0 again.
    pub fn reset(&mut self) {
        self.highest = 0;
        self.epoch += 1;
    }
}

/// A key and its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyVersion<'a> {
    /// Full key, with its prefix.
    pub key: &'a str,
    /// Revision of its last change.
    pub version: u64,
}

/// The result of comparing the keys of a view with those listed by the key-value store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// There is no difference, other than changes made after the listing.
    Same,
    /// Evidence of a loss.
    Lost(Evidence),
    /// The key-value store listed a key that the view does not have. The key may have been removed after the listing.
    /// If it still exists and is still missing from the view, that is evidence of a loss.
    Unseen {
        /// First such key in key order.
        key: String,
        /// Revision of its last change.
        version: u64,
    },
}

/// Compares the keys of a view in a key range with those that the key-value store listed there as of a revision.
///
/// Both must be in ascending key order. The view must have applied all changes up to `listed_at_revision` or later.
pub fn audit<'a>(
    view: impl Iterator<Item = KeyVersion<'a>>,
    listed: impl Iterator<Item = KeyVersion<'a>>,
    listed_at_revision: u64,
) -> Finding {
    let mut listed = listed.peekable();
    let mut unseen = None;
    for known in view {
        while let Some(extra) = listed.next_if(|l| l.key < known.key) {
            unseen.get_or_insert(extra);
        }
        let found = listed.next_if(|l| l.key == known.key);
        if let Some(evidence) = compare(&known, found.as_ref(), listed_at_revision) {
            return Finding::Lost(evidence);
        }
    }
    match unseen.or_else(|| listed.next()) {
        Some(KeyVersion { key, version }) => Finding::Unseen {
            key: key.to_owned(),
            version,
        },
        None => Finding::Same,
    }
}

fn compare(
    known: &KeyVersion<'_>,
    found: Option<&KeyVersion<'_>>,
    listed_at_revision: u64,
) -> Option<Evidence> {
    let (key, version) = (known.key.to_owned(), known.version);
    match found {
        None if version <= listed_at_revision => Some(Evidence::RecordGone { key, version }),
        Some(found) if found.version < version && version <= listed_at_revision => {
            Some(Evidence::RecordOlder {
                key,
                version,
                found: found.version,
            })
        }
        Some(found) if found.version > version => Some(Evidence::RecordUnseen {
            key,
            version: found.version,
        }),
        _ => None,
    }
}
