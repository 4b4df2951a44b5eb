//! Rebuilding stored state after a loss: from the newest view that a controller has, under a lease of the state service.
//!
//! Every controller's cached view is a replica of the stored state at one revision. When one of them finds evidence of a loss
//! (`ravenhead_recovery::Evidence`), it keeps its view as a snapshot, tells the others by a key how new that is, and the one
//! with the newest stands for election first. The elected leader writes what is missing, each key on condition that it is as
//! it was read, and then leads with a scheduler that offers nothing until all machines were heard. `docs/recovery.md` has the
//! choices behind it.

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

/// How long the view may take to have all that a page has.
const CATCH_UP_TIMEOUT: Micros = Micros::secs(1);
/// How long controllers may take to tell what they can rebuild from.
const ANNOUNCEMENT_PERIOD: Micros = Micros::millis(1_500);
/// How long each waits for those with newer views.
const RANK_GRACE_PERIOD: Micros = Micros::secs(4);
/// A controller without a view waits so long for one that has any.
const NO_VIEW_GRACE_PERIOD: Micros = Micros::secs(15);
/// How long a fresh controller waits for the others to tell what they know.
const COMPARISON_TIMEOUT: Micros = Micros::secs(3);
/// How long answers wait for controllers that have not told what they know: for less than it takes to count as forgotten.
const CONTRIBUTION_TIMEOUT: Micros = Micros::secs(60);
/// Pause before a transaction is sent again.
const RETRY_PAUSE: Micros = Micros::millis(150);

/// One controller's part in recovering from a loss of stored state.
///
/// Does nothing unless the operators enabled it. Invariants: a key is restored only on condition that it is as it was read,
/// under the leader key; while [`StateLossRecovery::withholds_answers`] holds, users are told final states only.
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
    /// A controller that has found no loss.
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

    /// Whether answers are held back, as this controller may not know what was told to users: stored state was lost and is
    /// not there again, or it began just now and has not compared what it read with what the others know.
    pub fn withholds_answers(&self) -> bool {
        if !self.is_enabled {
            return false;
        }
        let lost = self.store.is_rebuilding() || self.kv.has_evidence();
        lost || !self.has_compared_with_peers() || self.awaits_peer_contributions()
    }

    /// Whether another controller may know of jobs, or ends that users were told, which the rebuild lacks.
    ///
    /// Guards against an answer older than one that a controller gave which alone still heard of changes before the loss.
    fn awaits_peer_contributions(&self) -> bool {
        let view = self.store.view.borrow();
        let Some(loss) = &view.loss else {
            return false;
        };
        let age = self.clock.unix_time().saturating_sub(loss.value.at);
        let mut all = self.membership.all_nodes();
        let has_contributed = |node: &String| {
            let candidate = view.candidates.get(node);
            candidate.is_some_and(|c| !c.lost && c.losses >= loss.value.number)
        };
        age < CONTRIBUTION_TIMEOUT.0 && !all.all(has_contributed)
    }

    /// Whether the others told what they know since this process began, or did not for a while.
    fn has_compared_with_peers(&self) -> bool {
        let uptime = self.membership.uptime();
        uptime >= COMPARISON_TIMEOUT || self.membership.has_heard_all_peers()
    }

    /// Whether this controller may stand for election: after a loss those with the newest views go first.
    pub fn is_eligible(&self) -> bool {
        if !self.is_enabled {
            return true;
        }
        if !self.has_compared_with_peers() || self.kv.has_evidence() {
            return false;
        }
        let loss = self.store.loss.borrow();
        let Some(loss) = &*loss else {
            // Without a view of its own it leaves an unfinished rebuild to those that have one.
            let unfinished = self.store.view.borrow().has_unfinished_rebuild();
            let uptime = self.membership.uptime();
            return !unfinished || uptime >= NO_VIEW_GRACE_PERIOD;
        };
        let waited = self.clock.now().since(loss.found_at);
        if loss.snapshot.is_none() {
            return waited >= NO_VIEW_GRACE_PERIOD;
        }
        let own = Candidate {
            losses: loss.losses(),
            revision: loss.revision().0,
            node: self.membership.node().to_owned(),
        };
        let view = self.store.view.borrow();
        let all = view.candidates.iter().map(|(node, c)| Candidate {
            losses: c.losses,
            revision: c.revision.0,
            node: node.clone(),
        });
        let all: Vec<Candidate> = all.collect();
        let place = rank(&own, &all);
        place.is_some_and(|place| {
            waited >= ANNOUNCEMENT_PERIOD + RANK_GRACE_PERIOD.scaled(place as u64, 1)
        })
    }

    /// Returns the record of the loss that is to be rebuilt, if there is one, as the next leader writes it with its election.
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
        let resumed = recorded.filter(|l| !l.restored);
        let losses_before = recorded
            .map_or(0, |l| l.number)
            .max(snapshot.map_or(0, View::losses));
        let unix_time = self.clock.unix_time();
        Some(LossRecord {
            number: resumed.map_or(losses_before + 1, |l| l.number),
            base: next_token_base(recorded, &view, highest_token, unix_time),
            at: resumed.map_or(unix_time, |l| l.at),
            restored: false,
            confirmed: false,
        })
    }

    /// The highest fencing token that any controller knows of.
    fn highest_known_token(&self, view: &View, snapshot: Option<&View>) -> FencingToken {
        let announced = view.candidates.values().map(|c| c.token).max();
        self.membership
            .cluster_status()
            .token
            .max(snapshot.map_or(FencingToken::NONE, View::highest_token))
            .max(announced.unwrap_or_default())
    }
}

/// What is added to revisions from now on, so that tokens stay above all that were given before.
///
/// Guards against revisions that went back and no longer make tokens above those that workers have seen.
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
