//! The loop of a controller through elections and leader terms.

use super::Leader;
use crate::fencing::FencingToken;
use crate::term::{LeaderLease, LeaderTerm, TermEnd};
use futures_lite::FutureExt;
use log::info;
use std::rc::Rc;

impl Leader {
    /// Campaigns in elections and runs a leader term after each one it wins; never returns.
    pub async fn run(&self) {
        loop {
            let lease = self.election.acquire().await;
            if let Some(end) = self.restore(&lease).await {
                log_term_end(lease.token, end);
                self.election.resign(&lease).await;
                continue;
            }
            self.store.record_changes(true);
            let term = Rc::new(self.begin_term(lease));
            self.membership.set_own_term(Some(term.token()));
            self.current_term.set(Some(term.clone()));
            let end = self.run_term(&term).await;
            self.current_term.set(None);
            self.membership.set_own_term(None);
            self.store.record_changes(false);
            log_term_end(term.token(), end);
            self.set_follower_share();
            if self.membership.cluster_status().token == term.token() {
                self.election.resign(term.lease()).await;
            }
        }
    }

    /// Creates a leader term under this lease, with the state in the view.
    pub(crate) fn begin_term(&self, lease: LeaderLease) -> LeaderTerm {
        LeaderTerm::new(
            &self.platform,
            &self.settings,
            self.membership.incarnation(),
            lease,
            &self.store.view.borrow(),
        )
    }

    /// Restores lost state, if any, while renewing the lease; returns the reason if the term can't begin.
    async fn restore(&self, lease: &LeaderLease) -> Option<TermEnd> {
        let renewal = async { Some(self.election.renew_until_lost(lease).await) };
        let restore = async { self.state_loss.restore(lease).await.err() };
        restore.or(renewal).await
    }

    /// Sets the share of the key-value store's request budget to that of a follower, an equal part for each controller.
    fn set_follower_share(&self) {
        let limits = &self.platform.facts.state;
        let size = self.platform.facts.size as f64;
        self.kv
            .set_share(limits.rps / size, limits.write_rps / size);
    }
}

fn log_term_end(token: FencingToken, end: TermEnd) {
    info!(
        "event=leader_term_ended token={token} reason={:?}",
        end.to_string()
    );
}
