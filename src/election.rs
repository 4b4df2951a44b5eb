//! Who leads: the holder of the leader key, which hangs on a lease; the key's version is the token.

use crate::clock::sleep;
use crate::controller::Controller;
use crate::kv::{Change, Condition, KvError, Outcome, Urgency};
use crate::store::{LEADER, LOSS, LeaderRecord, TERM};
use crate::units::Micros;
use futures_lite::FutureExt;
use log::{debug, info};
use serde_json::json;
use std::cell::Cell;

/// How often a controller looks whether there is a leader, beside every change of the view.
const ELECTION_CHECK_INTERVAL: Micros = Micros::millis(500);
/// How long a new leader waits for its view to hold everything before its own election.
const CATCH_UP_TIMEOUT: Micros = Micros::secs(2);

/// A lease on leading.
pub struct LeaderLease {
    /// The token.
    pub token: u64,
    /// The version of the leader key: the token less what is added to it after a loss of stored state.
    pub revision: u64,
    /// The lease.
    pub lease: u64,
    /// Losses of stored state that this process had found by then.
    pub losses_found: u64,
    /// Until when it certainly lasts, by this controller's own clock.
    valid_until: Cell<Micros>,
}

impl LeaderLease {
    /// Whether nobody else can lead yet.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.valid_until.get()
    }

    /// A lease where no stored state was ever lost.
    pub fn new(token: u64, lease: u64, valid_until: Micros) -> LeaderLease {
        LeaderLease {
            token,
            revision: token,
            lease,
            losses_found: 0,
            valid_until: Cell::new(valid_until),
        }
    }
}

/// The end of a lease of `ttl` renewed by a request sent at `sent`: clocks may drift by 0.05%, so a hundredth is
/// more than enough.
fn lease_expiry(sent: Micros, ttl: Micros) -> Micros {
    sent + ttl.scaled(99, 100)
}

/// Waits until this controller is elected and its view holds all that went before.
pub async fn acquire(node: &Controller) -> LeaderLease {
    loop {
        let changed = node.store.changed.listen();
        let holder = {
            let view = node.store.view.borrow();
            view.loaded
                .then(|| view.leader.as_ref().map(|l| l.value.clone()))
        };
        match holder {
            Some(None) if node.is_eligible() => {
                if let Some(leadership) = campaign(node).await {
                    return leadership;
                }
            }
            // A key of this node that this process does not lead by is its former self's, or a term just given up:
            // its lease need not run out first.
            Some(Some(record)) if record.node == node.platform.node => {
                let ended = node.state.revoke(record.lease).await;
                debug!("event=stale_lease_revoked good={}", ended.is_ok());
            }
            _ => {}
        }
        let look = async {
            sleep(ELECTION_CHECK_INTERVAL).await;
        };
        changed.or(look).await;
    }
}

/// One try to take the free leader key.
async fn campaign(node: &Controller) -> Option<LeaderLease> {
    let ttl = node.settings.leader_lease();
    let sent = node.clock.now();
    let lease = node.state.grant(ttl).await.ok()?;
    let record = LeaderRecord {
        node: node.platform.node.clone(),
        incarnation: node.incarnation,
        lease,
    };
    let losses_found = node.store.losses_found();
    let mut when = vec![Condition::absent(LEADER.into())];
    let mut writes = vec![
        Change::Put {
            key: LEADER.into(),
            value: json!(record),
            lease: Some(lease),
        },
        Change::put(TERM.into(), json!(node.platform.node)),
    ];
    // A loss that is to be rebuilt is written down together with who rebuilds it.
    if let Some(loss) = node.loss_to_rebuild() {
        let before = node
            .store
            .view
            .borrow()
            .loss
            .as_ref()
            .map_or(0, |l| l.version);
        when.push(Condition {
            key: LOSS.into(),
            version: before,
        });
        writes.push(Change::put(LOSS.into(), json!(loss)));
    }
    let revision = match node.state.txn(Urgency::Now, &when, &writes).await {
        Ok(Outcome::Applied(revision)) => revision,
        Ok(Outcome::Conflict(_)) | Err(KvError::Refused(_)) => {
            let _ = node.state.revoke(lease).await;
            return None;
        }
        // It may have been applied: the key tells. If it is applied later, the lease has ended by then or the view
        // shows this node as the holder, and the lease is ended.
        Err(_) => match node.state.get(Urgency::Now, LEADER).await {
            Ok(Ok(item)) if item.value == json!(record) => item.version,
            _ => {
                let _ = node.state.revoke(lease).await;
                return None;
            }
        },
    };
    // Guards against a late write of a leader from before a loss, which would find its own version of the key again.
    let is_known = node.store.loss.borrow().as_ref().is_some_and(|loss| {
        let leader = loss.snapshot.as_ref().and_then(|view| view.leader.as_ref());
        leader.is_some_and(|leader| leader.version == revision)
    });
    if is_known
        || !node
            .store
            .wait_for_revision(revision, CATCH_UP_TIMEOUT)
            .await
    {
        let _ = node.state.revoke(lease).await;
        return None;
    }
    let token = node.store.view.borrow().token(revision);
    info!("event=leader_elected token={token}");
    Some(LeaderLease {
        token,
        revision,
        lease,
        losses_found,
        valid_until: Cell::new(lease_expiry(sent, ttl)),
    })
}

/// Renews the lease until it is lost or another controller leads; says why.
pub async fn hold(node: &Controller, leadership: &LeaderLease) -> &'static str {
    let ttl = node.settings.leader_lease();
    let mut outage = false;
    loop {
        sleep(ttl.scaled(1, 4)).await;
        if node.cluster_status().token > leadership.token {
            return "another controller leads";
        }
        if node.store.losses_found() != leadership.losses_found {
            return "stored state was lost";
        }
        let sent = node.clock.now();
        match node.state.extend(leadership.lease).await {
            Ok(()) => {
                node.store.mark_reachable();
                leadership.valid_until.set(lease_expiry(sent, ttl));
                if outage {
                    outage = false;
                    info!(
                        "event=leader_lease_renewal_restored token={}",
                        leadership.token
                    );
                }
            }
            Err(KvError::NoLease) => return "lease lost",
            Err(e) => {
                debug!("event=renewal_failed error={:?}", e.to_string());
                if !outage && !leadership.is_valid(node.clock.now()) {
                    outage = true;
                    info!(
                        "event=leader_lease_renewal_lost token={} orders=held",
                        leadership.token
                    );
                }
            }
        }
    }
}
