//! Looking for evidence of a loss: keys that differ from the view, and tokens that can't have been given.

use super::{CATCH_UP_TIMEOUT, StateLossRecovery};
use crate::fencing::FencingToken;
use crate::kv::{Lookup, Page, Urgency};
use crate::revision::Revision;
use crate::store::{KeyKind, LossRecord, StoreKey, View, decode};
use ravenhead_recovery::{Evidence, Finding, KeyVersion, audit};

/// Keys that are compared with the view, in turn.
const AUDITED: [KeyKind; 3] = [KeyKind::Job, KeyKind::JobEnd, KeyKind::Chunk];

/// Where the comparison of keys goes on.
#[derive(Debug, Clone, Default)]
pub(super) struct AuditPlace {
    /// The index in [`AUDITED`].
    kind: usize,
    from: String,
}

impl StateLossRecovery {
    /// Looks whether anybody knows a token that the state service could not have given.
    pub(super) async fn audit_tokens(&self) {
        let token = self.membership.cluster_status().token;
        let ahead = |view: &View| view.loaded && token > view.token(view.revision);
        if !ahead(&self.store.view.borrow()) {
            return;
        }
        // The view may lag: what is there now counts, and the base of tokens was written with the token's election.
        let found = self.kv.get(Urgency::Now, &StoreKey::Loss.to_string()).await;
        let (base, revision) = match found {
            Ok(Lookup::Found(item)) => {
                let record = decode::<LossRecord>(item.value);
                let Ok(record) = record else { return };
                let absent = StoreKey::Absent.to_string();
                match self.kv.get(Urgency::Now, &absent).await {
                    Ok(Lookup::Absent { revision }) => (record.base, revision),
                    _ => return,
                }
            }
            Ok(Lookup::Absent { revision }) => (0, revision),
            Err(_) => return,
        };
        let possible = base + revision.0;
        if token > FencingToken(possible) {
            let evidence = Evidence::TokenAhead {
                token: token.0,
                possible,
            };
            self.kv.report_loss(evidence);
        }
    }

    /// Compares one page of the keys with the view, and says where to go on.
    pub(super) async fn audit_page(&self, place: AuditPlace) -> AuditPlace {
        let kind = AUDITED[place.kind];
        let losses = self.store.losses_found();
        let Ok(page) = self.kv.list(kind.prefix(), &place.from).await else {
            return place;
        };
        // A view that was begun anew meanwhile says nothing of a page from before.
        if !self
            .store
            .wait_for_revision(page.revision, CATCH_UP_TIMEOUT)
            .await
            || self.store.losses_found() != losses
        {
            return place;
        }
        let last = page.items.last().map(|item| item.key.clone());
        let end = last.filter(|_| page.has_more);
        match self.compare(kind, &place.from, end.as_deref(), &page) {
            Finding::Same => {}
            Finding::Lost(evidence) => self.kv.report_loss(evidence),
            Finding::Unseen { key, version } => {
                self.check_unseen(kind, key, Revision(version)).await;
            }
        }
        match end {
            Some(from) => AuditPlace { from, ..place },
            None => AuditPlace {
                kind: (place.kind + 1) % AUDITED.len(),
                from: String::new(),
            },
        }
    }

    /// Compares a page of the keys of a kind, from one key to another, with the view.
    fn compare(&self, kind: KeyKind, from: &str, end: Option<&str>, page: &Page) -> Finding {
        let known = self.store.view.borrow().versions(kind);
        let is_in_page = |key: &str| key > from && end.is_none_or(|end| key <= end);
        let known = known.iter().filter(|(key, _)| is_in_page(key));
        let known = known.map(|(key, version)| KeyVersion {
            key,
            version: version.0,
        });
        let listed = page.items.iter().map(|item| KeyVersion {
            key: &item.key,
            version: item.version.0,
        });
        audit(known, listed, page.revision.0)
    }

    /// A key was listed that the view did not have: whether it is still there, and the view still lacks it.
    async fn check_unseen(&self, kind: KeyKind, key: String, version: Revision) {
        let Ok(Lookup::Found(item)) = self.kv.get(Urgency::Paced, &key).await else {
            return;
        };
        let view = self.store.view.borrow();
        let is_seen = view.versions(kind).iter().any(|(k, _)| *k == key);
        if item.version == version && !is_seen {
            self.kv.report_loss(Evidence::RecordUnseen {
                key,
                version: version.0,
            });
        }
    }
}

impl View {
    /// Returns the keys of a kind, in order, with the revisions of their last changes.
    fn versions(&self, kind: KeyKind) -> Vec<(String, Revision)> {
        let mut versions: Vec<(String, Revision)> = match kind {
            KeyKind::Job => {
                let jobs = self.jobs.iter();
                jobs.map(|(id, job)| (StoreKey::Job(id.clone()).to_string(), job.version))
                    .collect()
            }
            KeyKind::JobEnd => {
                let ends = self.ends.iter();
                ends.map(|(id, end)| (StoreKey::JobEnd(id.clone()).to_string(), end.version))
                    .collect()
            }
            KeyKind::Chunk => self
                .chunk_keys()
                .map(|(key, chunk)| (key.to_string(), chunk.version))
                .collect(),
        };
        versions.sort_unstable();
        versions
    }
}
