//! What a controller does about losses while it does not lead: finding them, announcing its view, adding what only it knows.

use super::audit::AuditPlace;
use super::plan::unknown_to;
use super::{RETRY_PAUSE, StateLossRecovery};
use crate::clock::sleep;
use crate::fencing::FencingToken;
use crate::kv::{Change, KvError, Outcome, Urgency};
use crate::store::{CandidateRecord, StoreKey, View};
use crate::units::Micros;
use log::info;
use ravenhead_recovery::Evidence;

/// How often it is checked what there is to do.
const CHECK_INTERVAL: Micros = Micros::millis(250);
/// How often a page of the keys is compared with the view.
const AUDIT_INTERVAL: Micros = Micros::secs(2);

impl StateLossRecovery {
    /// Looks for losses of stored state for ever, and does what a controller that does not lead does after one.
    pub async fn run(&self) {
        let mut page = AuditPlace::default();
        let mut audited_at = self.clock.now();
        let mut announced_losses = 0;
        loop {
            sleep(CHECK_INTERVAL).await;
            let lost = self.store.loss.borrow().is_some();
            if lost {
                if announced_losses != self.store.losses_found() && self.announce_candidate().await
                {
                    announced_losses = self.store.losses_found();
                }
                self.contribute().await;
                continue;
            }
            let claim = self.store.view.borrow().peer_claiming_loss().cloned();
            if let Some(by) = claim {
                self.kv.report_loss(Evidence::Claimed { by });
                continue;
            }
            self.announce_all_contributed().await;
            self.audit_tokens().await;
            let now = self.clock.now();
            if now.since(audited_at) >= AUDIT_INTERVAL && self.store.view.borrow().loaded {
                audited_at = now;
                page = self.audit_page(page).await;
            }
        }
    }

    /// Tells the others what this controller can rebuild from; whether that was written.
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
        let written = self.kv.txn(Urgency::Now, &[], &[put]).await;
        matches!(written, Ok(Outcome::Applied(_)))
    }

    /// Tells the others, after a loss, that this controller knows nothing that the rebuilt state lacks.
    async fn announce_all_contributed(&self) {
        let record = {
            let view = self.store.view.borrow();
            let own = view.candidates.get(self.membership.node());
            let announced = own.filter(|c| !c.lost).map_or(0, |c| c.losses);
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

    /// Once another controller has rebuilt, adds what only this one knows: jobs that were accepted and ends that were told.
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
            snapshot.map_or(Vec::new(), |snapshot| unknown_to(&view, snapshot))
        };
        for (id, key, value) in changes {
            // An end is written once for ever, a submission only of a job that nobody knows.
            let mut when = vec![StoreKey::JobEnd(id.clone()).is_absent()];
            if matches!(key, StoreKey::Job(_)) {
                when.push(key.is_absent());
            }
            let put = Change::put(key.to_string(), value);
            loop {
                match self
                    .kv
                    .txn(Urgency::Paced, &when, std::slice::from_ref(&put))
                    .await
                {
                    Ok(Outcome::Applied(_)) => {
                        info!("event=loss_contribution job={id}");
                        break;
                    }
                    Ok(Outcome::Conflict(_)) | Err(KvError::Malformed(_)) => break,
                    Err(_) => sleep(RETRY_PAUSE).await,
                }
            }
        }
        *self.store.loss.borrow_mut() = None;
        info!("event=loss_resolved");
    }
}
