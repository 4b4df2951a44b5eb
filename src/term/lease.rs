//! The leader lease, and the reasons why a leader term ends.

use crate::fencing::FencingToken;
use crate::kv::LeaseId;
use crate::revision::Revision;
use crate::units::Micros;
use std::cell::Cell;
use thiserror::Error;

/// The reason why a leader term ended or could not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TermEnd {
    /// A peer or the view reported a higher fencing token.
    #[error("another controller leads")]
    Superseded,
    /// The key-value store reported that the lease no longer exists.
    #[error("lease lost")]
    LeaseExpired,
    /// The leader key no longer has the version that this leader wrote.
    #[error("the leader key is another's")]
    LeaderKeyChanged,
    /// There is evidence that the key-value store lost stored state.
    #[error("stored state was lost")]
    StateLost,
    /// The view did not catch up with this leader's own writes in time.
    #[error("the view does not follow")]
    ViewStalled,
    /// The key-value store rejected a write as malformed.
    #[error("a write was found senseless")]
    WriteRejected,
    /// The key-value store rejected a read as malformed.
    #[error("a read was found senseless")]
    ReadRejected,
    /// Keys that only this leader writes were changed, so its scheduler's state is wrong.
    #[error("an unexpected conflict")]
    UnexpectedConflict,
}

/// The lease that a controller holds after it won an election.
pub struct LeaderLease {
    /// The fencing token of the term.
    pub token: FencingToken,
    /// The version of the leader key: the fencing token without the base that is added after a loss of stored state.
    pub revision: Revision,
    /// The id of the lease to which the leader key is attached.
    pub id: LeaseId,
    /// The number of losses of stored state that this process had detected before the election.
    pub losses_found: u64,
    /// The time until which the lease is certain to be valid, by this controller's own clock.
    valid_until: Cell<Micros>,
}

impl LeaderLease {
    /// Creates a lease with time to live `ttl` that was requested at `requested_at`.
    pub fn new(
        token: FencingToken,
        revision: Revision,
        id: LeaseId,
        losses_found: u64,
        requested_at: Micros,
        ttl: Micros,
    ) -> LeaderLease {
        LeaderLease {
            token,
            revision,
            id,
            losses_found,
            valid_until: Cell::new(expiry(requested_at, ttl)),
        }
    }

    /// Creates an expired lease of a deployment that never lost stored state.
    #[cfg(test)]
    pub(crate) fn expired(token: u64, id: u64) -> LeaderLease {
        LeaderLease::new(
            FencingToken(token),
            Revision(token),
            LeaseId(id),
            0,
            Micros::ZERO,
            Micros::ZERO,
        )
    }

    /// Returns whether the lease is certain to be valid at `now`, so that no other controller can lead.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.valid_until.get()
    }

    /// Extends the lease after a successful renewal that was requested at `requested_at`.
    pub fn renew(&self, requested_at: Micros, ttl: Micros) {
        self.valid_until.set(expiry(requested_at, ttl));
    }
}

/// Returns the time until which a lease requested at `requested_at` is certain to be valid.
///
/// Clocks may drift by 0.05%, so a margin of 1% is more than enough.
fn expiry(requested_at: Micros, ttl: Micros) -> Micros {
    requested_at + ttl.scaled(99, 100)
}

#[cfg(test)]
mod tests;
