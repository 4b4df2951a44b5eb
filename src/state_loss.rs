//! Rebuilds stored state after a loss, from the most recent view that a controller has, under a leader lease of the
//! key-value store.
//!
//! Every controller's cached view is a replica of the stored state at one revision. A controller that finds evidence of
//! a loss (`ravenhead_recovery::Evidence`) keeps its view as a snapshot and announces the snapshot's revision in a key.
//! The controller with the most recent snapshot stands for election first. The elected leader writes the missing keys,
//! each on condition that the key has not changed since it was read. It then leads with a scheduler that makes no
//! offers until all machines have sent heartbeats. `docs/recovery.md` explains the design choices.

mod audit;
mod follower;
mod plan;
mod restore;

use crate::cancellation::CancellationService;
use crate::clock::Clock;
use crate::config::{Platform, Settings, StateLimits};
use crate::fencing::FencingToken;
use crate::kv::KvClient;
use crate::membership::Membership;
use crate::store::{LossRecord, StateCache, View};
use crate::units::Micros;
use ravenhead_recovery::{Candidate, rank, token_base};
use std::rc::Rc;

/// Maximum time to wait until the view has reached the revision of a listed page or of a commit.
const CATCH_UP_TIMEOUT: Micros = Micros::secs(1);
/// Time that controllers have to announce their snapshots before the first of them stands for election.
const ANNOUNCEMENT_PERIOD: Micros = Micros::millis(1_500);
/// Additional wait of a candidate for each candidate with a more recent snapshot.
const RANK_GRACE_PERIOD: Micros = Micros::secs(4);
/// Wait of a controller without a snapshot before it stands for election, to let one that has a snapshot go first.
const NO_VIEW_GRACE_PERIOD: Micros = Micros::secs(15);
/// Maximum time that a controller which has just started waits for the cluster status of the others.
const COMPARISON_TIMEOUT: Micros = Micros::secs(3);
/// Maximum time after a loss during which answers to users are withheld because some controller has not announced what
/// it knows. It is shorter than the time after which a job whose user gets no answer counts as forgotten.
const CONTRIBUTION_TIMEOUT: Micros = Micros::secs(60);
/// Pause before a transaction is sent again.
const RETRY_INTERVAL: Micros = Micros::millis(150);

/// One controller's part in the recovery from a loss of stored state.
///
/// Does nothing unless it is enabled in the settings. Invariants: a key is restored only under the leader key and on
/// condition that it has not changed since it was read; while [`StateLossRecovery::withholds_answers`] returns true,
/// users get final states only.
pub struct StateLossRecovery {
    clock: Clock,
    kv: Rc<KvClient>,
    store: Rc<StateCache>,
    membership: Rc<Membership>,
    cancellations: Rc<CancellationService>,
    limits: StateLimits,
    is_enabled: bool,
}

impl StateLossRecovery {
    /// Creates the recovery of a controller that has found no loss.
    pub fn new(
        platform: &Platform,
        settings: &Settings,
        kv: Rc<KvClient>,
        store: Rc<StateCache>,
        membership: Rc<Membership>,
        cancellations: Rc<CancellationService>,
    ) -> StateLossRecovery {
        StateLossRecovery {
            clock: Clock,
            kv,
            store,
            membership,
            cancellations,
            limits: platform.facts.state.clone(),
            is_enabled: settings.rebuilds_lost_state(),
        }
    }

    /// Returns whether answers to users are withheld because this controller may not know what users were told before.
    /// That is the case while stored state is lost or not fully rebuilt, while another controller may still contribute
    /// records that only it knows, and right after this process has started, until it has compared what it read with
    /// what the other controllers know.
    pub fn withholds_answers(&self) -> bool {
        if !self.is_enabled {
            return false;
        }
        let is_lost_or_rebuilding = self.store.is_rebuilding() || self.kv.has_evidence();
        is_lost_or_rebuilding || !self.has_compared_with_peers() || self.awaits_peer_contributions()
    }

    /// Returns whether another controller may know of jobs, or of job ends that were reported to users, that the
    /// rebuilt state lacks.
    ///
    /// Without this check, an answer could be older than one from a controller that alone received the last changes
    /// before the loss.
    fn awaits_peer_contributions(&self) -> bool {
        let view = self.store.view.borrow();
        let Some(loss) = &view.loss else {
            return false;
        };
        let age = self.clock.unix_time().saturating_sub(loss.value.at);
        let mut nodes = self.membership.all_nodes();
        let has_contributed = |node: &String| {
            let candidate = view.candidates.get(node);
            candidate.is_some_and(|c| !c.lost && c.losses >= loss.value.number)
        };
        age < CONTRIBUTION_TIMEOUT.0 && !nodes.all(has_contributed)
    }

    /// Returns whether all other controllers have sent their cluster status since this process started, or
    /// [`COMPARISON_TIMEOUT`] has passed.
    fn has_compared_with_peers(&self) -> bool {
        let uptime = self.membership.uptime();
        uptime >= COMPARISON_TIMEOUT || self.membership.has_status_of_all_peers()
    }

    /// Returns whether this controller may stand for election. After a loss, controllers with more recent snapshots go
    /// first.
    pub fn is_eligible(&self) -> bool {
        if !self.is_enabled {
            return true;
        }
        if !self.has_compared_with_peers() || self.kv.has_evidence() {
            return false;
        }
        let loss = self.store.loss.borrow();
        let Some(loss) = &*loss else {
            // A controller without a snapshot leaves an unfinished rebuild to those that have one.
            let has_unfinished_rebuild = self.store.view.borrow().has_unfinished_rebuild();
            let uptime = self.membership.uptime();
            return !has_unfinished_rebuild || uptime >= NO_VIEW_GRACE_PERIOD;
        };
        let elapsed = self.clock.now().since(loss.found_at);
        if loss.snapshot.is_none() {
            return elapsed >= NO_VIEW_GRACE_PERIOD;
        }
        let own = Candidate {
            losses: loss.loss_count(),
            revision: loss.snapshot_revision().0,
            node: self.membership.node().to_owned(),
        };
        let view = self.store.view.borrow();
        let candidates = view.candidates.iter().map(|(node, c)| Candidate {
            losses: c.losses,
            revision: c.revision.0,
            node: node.clone(),
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let own_rank = rank(&own, &candidates);
        own_rank.is_some_and(|own_rank| {
            elapsed >= ANNOUNCEMENT_PERIOD + RANK_GRACE_PERIOD.scaled(own_rank as u64, 1)
        })
    }

    /// Returns the record of the loss that has to be rebuilt, if any. The next leader writes it together with its
    /// election.
    pub fn loss_to_rebuild(&self) -> Option<LossRecord> {
        if !self.store.is_rebuilding() {
            return None;
        }
        let view = self.store.view.borrow();
        let loss = self.store.loss.borrow();
        let snapshot = loss.as_ref().and_then(|l| l.snapshot.as_ref());
        let highest_token = self.highest_known_token(&view, snapshot);
        let recorded = view.loss.as_ref().map(|l| &l.value);
        let is_first_start =
            loss.is_none() && recorded.is_none() && highest_token == FencingToken::NONE;
        if is_first_start {
            return None;
        }
        let unfinished_loss = recorded.filter(|l| !l.restored);
        let earlier_losses = recorded
            .map_or(0, |l| l.number)
            .max(snapshot.map_or(0, View::loss_count));
        let unix_time = self.clock.unix_time();
        Some(LossRecord {
            number: unfinished_loss.map_or(earlier_losses + 1, |l| l.number),
            base: next_token_base(recorded, &view, highest_token, unix_time),
            at: unfinished_loss.map_or(unix_time, |l| l.at),
            restored: false,
            confirmed: false,
        })
    }

    /// Returns the highest fencing token that is known: from the cluster status, the snapshot and the announcements of
    /// all controllers.
    fn highest_known_token(&self, view: &View, snapshot: Option<&View>) -> FencingToken {
        let highest_announced = view.candidates.values().map(|c| c.token).max();
        self.membership
            .cluster_status()
            .token
            .max(snapshot.map_or(FencingToken::NONE, View::highest_token))
            .max(highest_announced.unwrap_or_default())
    }
}

/// Returns the number that is added to a revision to make a fencing token, so that new tokens are above all earlier
/// ones.
///
/// After a loss, revisions may restart at lower values. Without a new base, tokens made from them would not exceed
/// those that workers have already received.
fn next_token_base(
    recorded: Option<&LossRecord>,
    view: &View,
    highest_token: FencingToken,
    unix_time: u64,
) -> u64 {
    let base = recorded.map_or(0, |l| l.base);
    if highest_token > FencingToken(base + view.revision.0) {
        token_base(unix_time, highest_token.0)
    } else {
        base
    }
}
