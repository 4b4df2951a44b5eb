//! Looking for evidence of a loss: keys that differ from the view, and tokens that can't have been given.

use super::CATCH_UP_TIMEOUT;
use crate::controller::Controller;
use crate::kv::{Page, Urgency};
use crate::store::{ABSENT_KEY, LOSS, LossRecord, View, chunk_key, end_key, job_key};
use ravenhead_recovery::{Evidence, Finding, KeyVersion, audit};

/// Prefixes that are compared with the view, in turn.
const AUDITED: [&str; 3] = ["r/job/", "r/end/", "r/run/"];

/// Looks whether anybody knows a token that the state service could not have given.
pub(super) async fn look_for_tokens(node: &Controller) {
    let token = node.cluster_status().token;
    let ahead = |view: &View| view.loaded && token > view.token(view.revision);
    if !ahead(&node.store.view.borrow()) {
        return;
    }
    // The view may lag: what is there now counts, and the base of tokens was written with the token's election.
    let found = node.state.get(Urgency::Now, LOSS).await;
    let (base, revision) = match found {
        Ok(Ok(item)) => {
            let record = serde_json::from_value::<LossRecord>(item.value);
            let Ok(record) = record else { return };
            match node.state.get(Urgency::Now, ABSENT_KEY).await {
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
        node.state.report_loss(evidence);
    }
}

/// Where the comparison of keys goes on.
#[derive(Debug, Clone, Default)]
pub(super) struct AuditPlace {
    prefix: usize,
    from: String,
}

/// Compares one page of the keys with the view, and says where to go on.
pub(super) async fn audit_page(node: &Controller, place: AuditPlace) -> AuditPlace {
    let prefix = AUDITED[place.prefix];
    let losses = node.store.losses_found();
    let Ok(page) = node.state.list(prefix, &place.from).await else {
        return place;
    };
    // A view that was begun anew meanwhile says nothing of a page from before.
    if !node
        .store
        .wait_for_revision(page.revision, CATCH_UP_TIMEOUT)
        .await
        || node.store.losses_found() != losses
    {
        return place;
    }
    let last = page.items.last().map(|item| item.key.clone());
    let end = last.filter(|_| page.more);
    match compare(node, prefix, &place.from, end.as_deref(), &page) {
        Finding::Same => {}
        Finding::Lost(evidence) => node.state.report_loss(evidence),
        Finding::Unseen { key, version } => look_at_unseen(node, prefix, key, version).await,
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
fn compare(node: &Controller, prefix: &str, from: &str, end: Option<&str>, page: &Page) -> Finding {
    let known = node.store.view.borrow().versions(prefix);
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
async fn look_at_unseen(node: &Controller, prefix: &str, key: String, version: u64) {
    let Ok(Ok(item)) = node.state.get(Urgency::Paced, &key).await else {
        return;
    };
    let view = node.store.view.borrow();
    let is_seen = view.versions(prefix).iter().any(|(k, _)| *k == key);
    if item.version == version && !is_seen {
        node.state
            .report_loss(Evidence::RecordUnseen { key, version });
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
