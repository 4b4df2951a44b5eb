//! Searches for evidence of a loss: keys that differ from the view, and fencing tokens that are too high for the
//! key-value store's revision.

use super::{CATCH_UP_TIMEOUT, StateLossRecovery};
use crate::fencing::FencingToken;
use crate::kv::{Lookup, Page, Urgency};
use crate::revision::Revision;
use crate::store::{KeyKind, LossRecord, StoreKey, View, decode};
use ravenhead_recovery::{Evidence, Finding, KeyVersion, audit};

/// Kinds of keys that are compared with the view, in this order.
const AUDITED_KINDS: [KeyKind; 3] = [KeyKind::Job, KeyKind::JobEnd, KeyKind::Chunk];

/// Position at which the comparison of keys continues.
#[derive(Debug, Clone, Default)]
pub(super) struct AuditPosition {
    /// Index into [`AUDITED_KINDS`].
    kind: usize,
    from: String,
}

impl StateLossRecovery {
    /// Reports a loss if any controller knows a fencing token that is too high for the key-value store's revision.
    pub(super) async fn audit_tokens(&self) {
        let token = self.membership.cluster_status().token;
        let is_ahead = |view: &View| view.loaded && token > view.token(view.revision);
        if !is_ahead(&self.store.view.borrow()) {
            return;
        }
        // The view may lag, so the current state is read. The base of the tokens was written together with the election
        // that the token comes from.
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

    /// Compares one page of the keys with the view; returns the position of the next page.
    pub(super) async fn audit_page(&self, position: AuditPosition) -> AuditPosition {
        let kind = AUDITED_KINDS[position.kind];
        let losses_before = self.store.losses_found();
        let Ok(page) = self.kv.list(kind.prefix(), &position.from).await else {
            return position;
        };
        // A view that was reloaded in the meantime can't be compared with a page read before.
        if !self
            .store
            .wait_for_revision(page.revision, CATCH_UP_TIMEOUT)
            .await
            || self.store.losses_found() != losses_before
        {
            return position;
        }
        let last = page.items.last().map(|item| item.key.clone());
        let end = last.filter(|_| page.has_more);
        match self.compare(kind, &position.from, end.as_deref(), &page) {
            Finding::Same => {}
            Finding::Lost(evidence) => self.kv.report_loss(evidence),
            Finding::Unseen { key, version } => {
                self.check_unseen_key(kind, key, Revision(version)).await;
            }
        }
        match end {
            Some(from) => AuditPosition { from, ..position },
            None => AuditPosition {
                kind: (position.kind + 1) % AUDITED_KINDS.len(),
                from: String::new(),
            },
        }
    }

    /// Compares a page of the keys of a kind with the view. The page covers the keys after `from` up to `end`, or all
    /// further keys if `end` is `None`.
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

    /// Reports a loss if a key that was listed but missing in the view is still stored at the same version and still
    /// missing in the view.
    async fn check_unseen_key(&self, kind: KeyKind, key: String, version: Revision) {
        let Ok(Lookup::Found(item)) = self.kv.get(Urgency::Paced, &key).await else {
            return;
        };
        let view = self.store.view.borrow();
        let is_in_view = view.versions(kind).iter().any(|(k, _)| *k == key);
        if item.version == version && !is_in_view {
            self.kv.report_loss(Evidence::RecordUnseen {
                key,
                version: version.0,
            });
        }
    }
}

impl View {
    /// Returns the keys of a kind in order, with the revisions of their last changes.
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
