//! Looking for evidence of a loss: keys that differ from the view, and tokens that can't have been given.

use super::{CATCH_UP_TIMEOUT, StateLossRecovery};
use crate::kv::{Page, Urgency};
use crate::store::{ABSENT_KEY, LOSS, LossRecord, View, chunk_key, end_key, job_key};
use ravenhead_recovery::{Evidence, Finding, KeyVersion, audit};

/// Prefixes that are compared with the view, in turn.
const AUDITED: [&str; 3] = ["r/job/", "r/end/", "r/run/"];

/// Where the comparison of keys goes on.
#[derive(Debug, Clone, Default)]
pub(super) struct AuditPlace {
    prefix: usize,
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
        let found = self.kv.get(Urgency::Now, LOSS).await;
        let (base, revision) = match found {
            Ok(Ok(item)) => {
                let record = serde_json::from_value::<LossRecord>(item.value);
                let Ok(record) = record else { return };
                match self.kv.get(Urgency::Now, ABSENT_KEY).await {
                    Ok(Err(revision)) => (record.base, revision),
                    _ => return,
                }
            }
            Ok(Err(revision)) => (0, revision),
            Err(_) => return,
        };
        let possible = base + revision;
        if token > possible {
            let evidence = Evidence::TokenAhead { token, possible };
            self.kv.report_loss(evidence);
        }
    }

    /// Compares one page of the keys with the view, and says where to go on.
    pub(super) async fn audit_page(&self, place: AuditPlace) -> AuditPlace {
        let prefix = AUDITED[place.prefix];
        let losses = self.store.losses_found();
        let Ok(page) = self.kv.list(prefix, &place.from).await else {
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
        let end = last.filter(|_| page.more);
        match self.compare(prefix, &place.from, end.as_deref(), &page) {
            Finding::Same => {}
            Finding::Lost(evidence) => self.kv.report_loss(evidence),
            Finding::Unseen { key, version } => self.check_unseen(prefix, key, version).await,
        }
        match end {
            Some(from) => AuditPlace { from, ..place },
            None => AuditPlace {
                prefix: (place.prefix + 1) % AUDITED.len(),
                from: String::new(),
            },
        }
    }

    /// Compares a page of the keys with a prefix, from one key to another, with the view.
    fn compare(&self, prefix: &str, from: &str, end: Option<&str>, page: &Page) -> Finding {
        let known = self.store.view.borrow().versions(prefix);
        let is_in_page = |key: &str| key > from && end.is_none_or(|end| key <= end);
        let known = known.iter().filter(|(key, _)| is_in_page(key));
        let known = known.map(|(key, version)| KeyVersion {
            key,
            version: *version,
        });
        let listed = page.items.iter().map(|item| KeyVersion {
            key: &item.key,
            version: item.version,
        });
        audit(known, listed, page.revision)
    }

    /// A key was listed that the view did not have: whether it is still there, and the view still lacks it.
    async fn check_unseen(&self, prefix: &str, key: String, version: u64) {
        let Ok(Ok(item)) = self.kv.get(Urgency::Paced, &key).await else {
            return;
        };
        let view = self.store.view.borrow();
        let is_seen = view.versions(prefix).iter().any(|(k, _)| *k == key);
        if item.version == version && !is_seen {
            self.kv.report_loss(Evidence::RecordUnseen { key, version });
        }
    }
}

impl View {
    /// The keys with a prefix that are compared with what is stored, and the revisions of their last changes, in order.
    fn versions(&self, prefix: &str) -> Vec<(String, u64)> {
        let mut versions: Vec<(String, u64)> = match prefix {
            "r/job/" => {
                let jobs = self.jobs.iter();
                jobs.map(|(id, job)| (job_key(id), job.version)).collect()
            }
            "r/end/" => {
                let ends = self.ends.iter();
                ends.map(|(id, end)| (end_key(id), end.version)).collect()
            }
            _ => {
                let chunks = self.runs.iter().flat_map(|(id, chunks)| {
                    let chunks = chunks.iter();
                    chunks.map(move |(n, chunk)| (chunk_key(id, *n), chunk.version))
                });
                chunks.collect()
            }
        };
        versions.sort_unstable();
        versions
    }
}
