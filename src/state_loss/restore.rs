//! The part of the recovery that the elected leader performs: writes the missing records and updates the record of the
//! loss.

use super::plan::split_into_batches;
use super::{CATCH_UP_TIMEOUT, RETRY_INTERVAL, StateLossRecovery};
use crate::clock::sleep;
use crate::kv::{Change, Condition, MAX_BATCH_BYTES, Outcome, Urgency};
use crate::revision::Revision;
use crate::store::{LossRecord, StoreKey, encode};
use crate::term::{LeaderLease, TermEnd};
use log::{debug, info};
use ravenhead_recovery::Restore;
use serde_json::Value;

impl StateLossRecovery {
    /// Writes the lost records, as the elected leader. Does nothing if no loss has to be rebuilt.
    ///
    /// # Errors
    ///
    /// Returns why the leader term has ended.
    pub async fn restore(&self, lease: &LeaderLease) -> Result<(), TermEnd> {
        let number = {
            let view = self.store.view.borrow();
            let unfinished = view.loss.as_ref().filter(|l| !l.value.restored);
            match unfinished {
                Some(loss) if self.is_enabled => loss.value.number,
                _ => return Ok(()),
            }
        };
        let started_at = self.clock.now();
        let limits = &self.limits;
        self.kv.set_rate_limits(limits.rps, limits.write_rps);
        let mut written = 0;
        loop {
            let plan = self.plan(number);
            if plan.is_empty() {
                break;
            }
            for batch in split_into_batches(&plan, limits.txn_ops, MAX_BATCH_BYTES) {
                written += batch.len();
                if !self.write(lease, batch).await? {
                    break;
                }
            }
        }
        self.mark_restored(lease, false).await?;
        *self.store.loss.borrow_mut() = None;
        let took = self.clock.now().since(started_at);
        info!("event=state_restored loss={number} keys={written} after={took}");
        Ok(())
    }

    /// Marks the last loss as restored and, if `confirmed` is set, as confirmed by every machine.
    ///
    /// # Errors
    ///
    /// Returns why the leader term has ended.
    pub async fn mark_restored(&self, lease: &LeaderLease, confirmed: bool) -> Result<(), TermEnd> {
        loop {
            let found = self.store.view.borrow().loss.clone();
            let Some(found) = found else { return Ok(()) };
            let record = LossRecord {
                restored: true,
                confirmed,
                ..found.value
            };
            let marked = [Restore {
                key: StoreKey::Loss.to_string(),
                value: encode(&record),
                expected_version: found.version.0,
            }];
            if self.write(lease, &marked).await? {
                return Ok(());
            }
        }
    }

    /// Writes records on condition that the leader key is unchanged. Returns false if one of the keys has changed since
    /// it was read, so that the plan has to be made again.
    ///
    /// # Errors
    ///
    /// Returns why the leader term has ended.
    async fn write(
        &self,
        lease: &LeaderLease,
        records: &[Restore<Value>],
    ) -> Result<bool, TermEnd> {
        let leader = StoreKey::Leader.has_version(lease.revision);
        let key_conditions = records.iter().map(|restore| Condition {
            key: restore.key.clone(),
            version: Revision(restore.expected_version),
        });
        let conditions: Vec<Condition> = key_conditions.chain([leader]).collect();
        let puts = records
            .iter()
            .map(|restore| Change::put(restore.key.clone(), restore.value.clone()));
        let puts: Vec<Change> = puts.collect();
        loop {
            match self.kv.txn(Urgency::Paced, &conditions, &puts).await {
                Ok(Outcome::Applied(revision)) => {
                    self.store.mark_reachable();
                    if !self
                        .store
                        .wait_for_revision(revision, CATCH_UP_TIMEOUT)
                        .await
                    {
                        return Err(TermEnd::ViewStalled);
                    }
                    return Ok(true);
                }
                Ok(Outcome::Conflict(failed)) if failed.contains(&StoreKey::Leader.to_string()) => {
                    return Err(TermEnd::LeaderKeyChanged);
                }
                Ok(Outcome::Conflict(failed)) => {
                    debug!("event=restore_conflict keys={failed:?}");
                    let _ = self.store.barrier().await;
                    return Ok(false);
                }
                Err(e) => debug!("event=restore_failed error={:?}", e.to_string()),
            }
            if self.store.losses_found() != lease.losses_found {
                return Err(TermEnd::StateLost);
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}
