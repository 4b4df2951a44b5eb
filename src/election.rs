//! Leader election: the leader is the controller named in the leader key, which is attached to a lease of the key-value
//! store. The fencing token derives from the key's version.

use crate::clock::{Clock, sleep};
use crate::kv::{Change, Condition, KvClient, KvError, LeaseId, Lookup, Outcome, Urgency};
use crate::membership::Membership;
use crate::revision::Revision;
use crate::state_loss::StateLossRecovery;
use crate::store::{LeaderRecord, StateCache, StoreKey, encode};
use crate::term::{LeaderLease, TermEnd};
use crate::units::Micros;
use futures_lite::FutureExt;
use log::{debug, info};
use std::rc::Rc;

/// Interval at which a controller checks whether there is a leader, in addition to the check on every change of the
/// view.
const ELECTION_CHECK_INTERVAL: Micros = Micros::millis(500);
/// Maximum time for which a newly elected leader waits until its view includes its own election.
const CATCH_UP_TIMEOUT: Micros = Micros::secs(2);

/// The transaction with which a controller acquires the leader key.
struct Campaign {
    record: LeaderRecord,
    conditions: Vec<Condition>,
    writes: Vec<Change>,
}

/// Campaigns for the leader key on behalf of one controller, and renews the leader lease.
pub struct Election {
    clock: Clock,
    kv: Rc<KvClient>,
    store: Rc<StateCache>,
    membership: Rc<Membership>,
    state_loss: Rc<StateLossRecovery>,
    /// Time to live of the leader lease.
    ttl: Micros,
}

impl Election {
    /// Creates the election of one controller; `ttl` is the time to live of the leader lease.
    pub fn new(
        kv: Rc<KvClient>,
        store: Rc<StateCache>,
        membership: Rc<Membership>,
        state_loss: Rc<StateLossRecovery>,
        ttl: Micros,
    ) -> Election {
        Election {
            clock: Clock,
            kv,
            store,
            membership,
            state_loss,
            ttl,
        }
    }

    /// Waits until this controller is elected and its view includes every revision up to its election.
    pub async fn acquire(&self) -> LeaderLease {
        loop {
            let changed = self.store.changed.listen();
            let holder = {
                let view = self.store.view.borrow();
                view.loaded
                    .then(|| view.leader.as_ref().map(|l| l.value.clone()))
            };
            match holder {
                Some(None) if self.state_loss.is_eligible() => {
                    if let Some(lease) = self.campaign().await {
                        return lease;
                    }
                }
                // The leader key names this node although this process is not leading: the key was written by an
                // earlier process on this node, or in a term that has just ended. Revoking its lease frees the key
                // without waiting for the lease to expire.
                Some(Some(record)) if record.node == self.membership.node() => {
                    let revoked = self.kv.revoke(record.lease).await;
                    debug!("event=stale_lease_revoked good={}", revoked.is_ok());
                }
                _ => {}
            }
            let interval = async {
                sleep(ELECTION_CHECK_INTERVAL).await;
            };
            changed.or(interval).await;
        }
    }

    /// Tries once to acquire the leader key; returns `None` if this controller was not elected.
    async fn campaign(&self) -> Option<LeaderLease> {
        let requested_at = self.clock.now();
        let lease = self.kv.grant(self.ttl).await.ok()?;
        let losses_found = self.store.losses_found();
        let campaign = self.prepare_campaign(lease);
        let revision = self.write_leader_key(&campaign).await;
        let Some(revision) = revision else {
            let _ = self.kv.revoke(lease).await;
            return None;
        };
        let is_reused_version = self.is_version_from_before_loss(revision);
        if is_reused_version
            || !self
                .store
                .wait_for_revision(revision, CATCH_UP_TIMEOUT)
                .await
        {
            let _ = self.kv.revoke(lease).await;
            return None;
        }
        let token = self.store.view.borrow().token(revision);
        info!("event=leader_elected token={token}");
        Some(LeaderLease::new(
            token,
            revision,
            lease,
            losses_found,
            requested_at,
            self.ttl,
        ))
    }

    fn prepare_campaign(&self, lease: LeaseId) -> Campaign {
        let node = self.membership.node();
        let record = LeaderRecord {
            node: node.to_owned(),
            incarnation: self.membership.incarnation(),
            lease,
        };
        let mut conditions = vec![StoreKey::Leader.is_absent()];
        let mut writes = vec![
            StoreKey::Leader.put_with_lease(&record, lease),
            StoreKey::Term.put(&node),
        ];
        // A state loss that is to be rebuilt is recorded in the transaction that elects the leader who rebuilds it.
        if let Some(loss) = self.state_loss.loss_to_rebuild() {
            let view = self.store.view.borrow();
            let version = view.loss.as_ref().map_or(Revision::NONE, |l| l.version);
            conditions.push(StoreKey::Loss.has_version(version));
            writes.push(StoreKey::Loss.put(&loss));
        }
        Campaign {
            record,
            conditions,
            writes,
        }
    }

    /// Writes the leader key; returns its version if the write is known to be applied.
    async fn write_leader_key(&self, campaign: &Campaign) -> Option<Revision> {
        let Campaign {
            record,
            conditions,
            writes,
        } = campaign;
        match self.kv.txn(Urgency::Now, conditions, writes).await {
            Ok(Outcome::Applied(revision)) => Some(revision),
            Ok(Outcome::Conflict(_)) | Err(KvError::Refused(_)) => None,
            // The outcome is unknown, so the key is read back. If the transaction is applied after that read, either
            // its lease has expired by then, or the view shows this node as the holder and `acquire` revokes the lease.
            Err(_) => {
                let key = StoreKey::Leader.to_string();
                match self.kv.get(Urgency::Now, &key).await {
                    Ok(Lookup::Found(item)) if item.value == encode(record) => Some(item.version),
                    _ => None,
                }
            }
        }
    }

    /// Returns whether the leader key had this version before a loss of stored state.
    ///
    /// Versions can repeat after a loss. A leader elected at such a version must not lead: a delayed write of the
    /// leader from before the loss would still meet its condition on the leader key.
    fn is_version_from_before_loss(&self, revision: Revision) -> bool {
        let loss = self.store.loss.borrow();
        let snapshot = loss.as_ref().and_then(|loss| loss.snapshot.as_ref());
        let leader = snapshot.and_then(|view| view.leader.as_ref());
        leader.is_some_and(|leader| leader.version == revision)
    }

    /// Renews the lease until it is lost, stored state is lost or another controller leads; returns the reason.
    pub async fn renew_until_lost(&self, lease: &LeaderLease) -> TermEnd {
        let mut is_outage_logged = false;
        loop {
            sleep(self.ttl.scaled(1, 4)).await;
            if self.membership.cluster_status().token > lease.token {
                return TermEnd::Superseded;
            }
            if self.store.losses_found() != lease.losses_found {
                return TermEnd::StateLost;
            }
            let requested_at = self.clock.now();
            match self.kv.extend(lease.id).await {
                Ok(()) => {
                    self.store.mark_reachable();
                    lease.renew(requested_at, self.ttl);
                    if is_outage_logged {
                        is_outage_logged = false;
                        info!("event=leader_lease_renewal_restored token={}", lease.token);
                    }
                }
                Err(KvError::LeaseNotFound) => return TermEnd::LeaseExpired,
                Err(e) => {
                    debug!("event=renewal_failed error={:?}", e.to_string());
                    if !is_outage_logged && !lease.is_valid(self.clock.now()) {
                        is_outage_logged = true;
                        info!(
                            "event=leader_lease_renewal_lost token={} orders=held",
                            lease.token
                        );
                    }
                }
            }
        }
    }

    /// Revokes the lease, so that the next election does not have to wait for it to expire.
    pub async fn resign(&self, lease: &LeaderLease) {
        let _ = self.kv.revoke(lease.id).await;
    }
}
