//! The part of the recovery that does not require leadership: finds losses, announces this controller's snapshot, and
//! contributes records that only this controller knows.

use super::audit::AuditPosition;
use super::plan::missing_from;
use super::{RETRY_INTERVAL, StateLossRecovery};
use crate::clock::sleep;
use crate::fencing::FencingToken;
use crate::kv::{Change, KvError, Outcome, Urgency};
use crate::store::{CandidateRecord, StoreKey, View};
use crate::units::Micros;
use log::info;
use ravenhead_recovery::Evidence;

/// Interval between checks of what has to be done.
const CHECK_INTERVAL: Micros = Micros::millis(250);
/// Interval between comparisons of a page of the keys with the view.
const AUDIT_INTERVAL: Micros = Micros::secs(2);

impl StateLossRecovery {
    /// Continuously searches for losses of stored state, and after one takes the steps that do not require leadership.
    pub async fn run(&self) {
        let mut audit_position = AuditPosition::default();
        let mut audited_at = self.clock.now();
        let mut announced_losses = 0;
        loop {
            sleep(CHECK_INTERVAL).await;
            let has_found_loss = self.store.loss.borrow().is_some();
            if has_found_loss {
                if announced_losses != self.store.losses_found() && self.announce_candidate().await
                {
                    announced_losses = self.store.losses_found();
                }
                self.contribute().await;
                continue;
            }
            let claimant = self.store.view.borrow().peer_claiming_loss().cloned();
            if let Some(by) = claimant {
                self.kv.report_loss(Evidence::Claimed { by });
                continue;
            }
            self.announce_all_contributed().await;
            self.audit_tokens().await;
            let now = self.clock.now();
            if now.since(audited_at) >= AUDIT_INTERVAL && self.store.view.borrow().loaded {
                audited_at = now;
                audit_position = self.audit_page(audit_position).await;
            }
        }
    }

    /// Announces to the other controllers what this one can rebuild from. Returns false if the announcement has to be
    /// written again.
    async fn announce_candidate(&self) -> bool {
        let record = {
            let loss = self.store.loss.borrow();
            let Some(loss) = &*loss else { return true };
            let snapshot = loss.snapshot.as_ref();
            CandidateRecord {
                losses: loss.loss_count(),
                revision: loss.snapshot_revision(),
                token: self
                    .membership
                    .cluster_status()
                    .token
                    .max(snapshot.map_or(FencingToken::NONE, View::highest_token)),
                lost: true,
            }
        };
        self.put_candidate(&record).await
    }

    async fn put_candidate(&self, record: &CandidateRecord) -> bool {
        let node = self.membership.node().to_owned();
        let put = StoreKey::RebuildCandidate(node).put(record);
        let outcome = self.kv.txn(Urgency::Now, &[], &[put]).await;
        matches!(outcome, Ok(Outcome::Applied(_)))
    }

    /// Announces, after a loss, that this controller knows nothing that the rebuilt state lacks.
    async fn announce_all_contributed(&self) {
        let record = {
            let view = self.store.view.borrow();
            let own_record = view.candidates.get(self.membership.node());
            let announced = own_record.filter(|c| !c.lost).map_or(0, |c| c.losses);
            if announced >= view.loss_count() || view.has_unfinished_rebuild() {
                return;
            }
            CandidateRecord {
                losses: view.loss_count(),
                revision: view.revision,
                token: view.highest_token(),
                lost: false,
            }
        };
        self.put_candidate(&record).await;
    }

    /// After another controller has rebuilt the state, contributes what only this one knows: accepted jobs, and job
    /// ends that may have been reported to users.
    async fn contribute(&self) {
        let changes = {
            let view = self.store.view.borrow();
            let loss = self.store.loss.borrow();
            let Some(loss) = &*loss else { return };
            let is_rebuilt = view.loss.as_ref().is_some_and(|l| l.value.restored);
            if !is_rebuilt || view.loss_count() <= loss.loss_count() {
                return;
            }
            let snapshot = loss.snapshot.as_ref();
            snapshot.map_or(Vec::new(), |snapshot| missing_from(&view, snapshot))
        };
        for (id, key, value) in changes {
            // A job end is written only once. A submission is written only if neither the job nor its end exists.
            let mut conditions = vec![StoreKey::JobEnd(id.clone()).is_absent()];
            if matches!(key, StoreKey::Job(_)) {
                conditions.push(key.is_absent());
            }
            let put = Change::put(key.to_string(), value);
            loop {
                match self
                    .kv
                    .txn(Urgency::Paced, &conditions, std::slice::from_ref(&put))
                    .await
                {
                    Ok(Outcome::Applied(_)) => {
                        info!("event=loss_contribution job={id}");
                        break;
                    }
                    Ok(Outcome::Conflict(_)) | Err(KvError::Malformed(_)) => break,
                    Err(_) => sleep(RETRY_INTERVAL).await,
                }
            }
        }
        *self.store.loss.borrow_mut() = None;
        info!("event=loss_resolved");
    }
}
