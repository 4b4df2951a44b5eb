//! Leader election: the leader is the holder of the leader key, which hangs on a lease; the key's version is the fencing
//! token.

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

/// How often a controller checks whether there is a leader, beside every change of the view.
const ELECTION_CHECK_INTERVAL: Micros = Micros::millis(500);
/// How long a new leader waits for its view to hold everything before its own election.
const CATCH_UP_TIMEOUT: Micros = Micros::secs(2);

/// The conditions and writes with which a controller takes the leader key.
struct Campaign {
    record: LeaderRecord,
    conditions: Vec<Condition>,
    writes: Vec<Change>,
}

/// One controller's part in elections.
pub struct Election {
    clock: Clock,
    kv: Rc<KvClient>,
    store: Rc<StateCache>,
    membership: Rc<Membership>,
    state_loss: Rc<StateLossRecovery>,
    /// Lifetime of the lease.
    ttl: Micros,
}

impl Election {
    /// A controller that has not stood for election yet; `ttl` is the lifetime of the leader's lease.
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

    /// Waits until this controller is elected and its view holds all that went before.
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
                // A key of this node that this process does not lead by is its former self's, or a term just given up:
                // its lease need not run out first.
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

    /// One try to take the free leader key.
    async fn campaign(&self) -> Option<LeaderLease> {
        let requested_at = self.clock.now();
        let lease = self.kv.grant(self.ttl).await.ok()?;
        let losses_found = self.store.losses_found();
        let campaign = self.prepare_campaign(lease);
        let revision = self.take_leader_key(&campaign).await;
        let Some(revision) = revision else {
            let _ = self.kv.revoke(lease).await;
            return None;
        };
        let is_known = self.is_revision_of_lost_leader(revision);
        if is_known
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
        // A loss that is to be rebuilt is written down together with who rebuilds it.
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

    /// Writes the leader key; returns its version where that certainly succeeded.
    async fn take_leader_key(&self, campaign: &Campaign) -> Option<Revision> {
        let Campaign {
            record,
            conditions,
            writes,
        } = campaign;
        match self.kv.txn(Urgency::Now, conditions, writes).await {
            Ok(Outcome::Applied(revision)) => Some(revision),
            Ok(Outcome::Conflict(_)) | Err(KvError::Refused(_)) => None,
            // It may have been applied: the key tells. If it is applied later, the lease has ended by then or the view
            // shows this node as the holder, and the lease is ended.
            Err(_) => {
                let key = StoreKey::Leader.to_string();
                match self.kv.get(Urgency::Now, &key).await {
                    Ok(Lookup::Found(item)) if item.value == encode(record) => Some(item.version),
                    _ => None,
                }
            }
        }
    }

    /// Whether the leader key had this version before a loss of stored state.
    ///
    /// Guards against a late write of a leader from before a loss, which would find its own version of the key again.
    fn is_revision_of_lost_leader(&self, revision: Revision) -> bool {
        let loss = self.store.loss.borrow();
        let snapshot = loss.as_ref().and_then(|loss| loss.snapshot.as_ref());
        let leader = snapshot.and_then(|view| view.leader.as_ref());
        leader.is_some_and(|leader| leader.version == revision)
    }

    /// Renews the lease until it is lost or another controller leads; returns why.
    pub async fn hold(&self, lease: &LeaderLease) -> TermEnd {
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

    /// Gives the leadership up, so that the next leader need not wait for the lease to expire.
    pub async fn resign(&self, lease: &LeaderLease) {
        let _ = self.kv.revoke(lease.id).await;
    }
}
