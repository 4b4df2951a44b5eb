//! The lease that a term hangs on, and the reasons for which a term ends.

use crate::fencing::FencingToken;
use crate::kv::LeaseId;
use crate::revision::Revision;
use crate::units::Micros;
use std::cell::Cell;
use thiserror::Error;

/// Why a term ended, or could not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TermEnd {
    /// A higher fencing token is known.
    #[error("another controller leads")]
    Superseded,
    /// The lease expired at the state service.
    #[error("lease lost")]
    LeaseExpired,
    /// The leader key is no more as this leader wrote it.
    #[error("the leader key is another's")]
    LeaderKeyChanged,
    /// Evidence was found that the state service lost stored state.
    #[error("stored state was lost")]
    StateLost,
    /// The cached view does not catch up with this leader's own writes.
    #[error("the view does not follow")]
    ViewStalled,
    /// The state service rejected a write as malformed.
    #[error("a write was found senseless")]
    WriteRejected,
    /// The state service rejected a read as malformed.
    #[error("a read was found senseless")]
    ReadRejected,
    /// Keys that only this leader writes were changed: its picture is wrong.
    #[error("an unexpected conflict")]
    UnexpectedConflict,
}

/// A lease on leading, won in an election.
pub struct LeaderLease {
    /// The fencing token.
    pub token: FencingToken,
    /// The version of the leader key: the fencing token less what is added to it after a loss of stored state.
    pub revision: Revision,
    /// The lease that the leader key hangs on.
    pub id: LeaseId,
    /// Losses of stored state that this process had found by then.
    pub losses_found: u64,
    /// Until when it certainly lasts, by this controller's own clock.
    valid_until: Cell<Micros>,
}

impl LeaderLease {
    /// A lease of `ttl` that was asked for at `requested_at`.
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

    /// A lease that has expired, of a deployment that never lost stored state.
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

    /// Whether nobody else can lead yet.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.valid_until.get()
    }

    /// Notes that the lease was renewed by a request sent at `requested_at`.
    pub fn renew(&self, requested_at: Micros, ttl: Micros) {
        self.valid_until.set(expiry(requested_at, ttl));
    }
}

/// The end of a lease of `ttl` renewed by a request sent at `requested_at`: clocks may drift by 0.05%, so a hundredth is
/// more than enough.
fn expiry(requested_at: Micros, ttl: Micros) -> Micros {
    requested_at + ttl.scaled(99, 100)
}

#[cfg(test)]
mod tests;
