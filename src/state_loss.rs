//! Rebuilding stored state after a loss: from the newest view that a controller has, under a lease of the state service.
//!
//! Every controller's cached view is a replica of the stored state at one revision. When one of them finds evidence of a loss
//! (`ravenhead_recovery::Evidence`), it keeps its view as a snapshot, tells the others by a key how new that is, and the one
//! with the newest stands for election first. The elected leader writes what is missing, each key on condition that it is as
//! it was read, and then leads with a scheduler that offers nothing until all machines were heard. `docs/recovery.md` has the
//! choices behind it.

mod audit;
mod plan;

use crate::clock::sleep;
use crate::controller::Controller;
use crate::election::LeaderLease;
use crate::kv::{Change, Condition, KvError, Outcome, Urgency};
use crate::leader::BATCH_BYTES;
use crate::store::{
    CandidateRecord, LEADER, LOSS, LossRecord, View, candidate_key, end_key, job_key,
};
use crate::units::Micros;
use log::{debug, info};
use ravenhead_recovery::{Candidate, Evidence, Restore, rank, token_base};
use serde_json::{Value, json};

use audit::{AuditPlace, audit_page, look_for_tokens};
use plan::{batches, plan, unknown_to};

/// How often it is looked what there is to do.
const LOOK_EVERY: Micros = Micros::millis(250);
/// How often a page of the keys is compared with the view.
const AUDIT_EVERY: Micros = Micros::secs(2);
/// How long the view may take to have all that a page has.
const CATCH_UP_TIMEOUT: Micros = Micros::secs(1);
/// How long controllers may take to tell what they can rebuild from.
const GATHER_FOR: Micros = Micros::millis(1_500);
/// How long each waits for those with newer views.
const PATIENCE: Micros = Micros::secs(4);
/// A controller without a view waits so long for one that has any.
const WITHOUT_VIEW: Micros = Micros::secs(15);
/// How long a fresh controller waits for the others to tell what they know.
const COMPARE_FOR: Micros = Micros::secs(3);
/// How long answers wait for controllers that have not told what they know: for less than it takes to count as forgotten.
const OTHERS_WITHIN: Micros = Micros::secs(60);
/// Pause before a transaction is sent again.
const RETRY_PAUSE: Micros = Micros::millis(150);

impl Controller {
    /// Whether answers are held back, as this controller may not know what was told to users: stored state was lost and is
    /// not there again, or it began just now and has not compared what it read with what the others know.
    pub fn withholds_answers(&self) -> bool {
        if !self.settings.rebuilds() {
            return false;
        }
        let lost = self.store.is_rebuilding() || self.state.has_evidence();
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
        let members = self.platform.members.iter().map(|m| &m.node);
        let mut all = members.chain([&self.platform.node]);
        let has_told = |node: &String| {
            let told = view.candidates.get(node);
            told.is_some_and(|c| !c.lost && c.losses >= loss.value.number)
        };
        age < OTHERS_WITHIN.0 && !all.all(has_told)
    }

    /// Whether the others told what they know since this process began, or did not for a while.
    fn has_compared_with_peers(&self) -> bool {
        let up_for = self.clock.now().since(self.started_at);
        up_for >= COMPARE_FOR || self.has_heard_all_peers()
    }

    /// Whether this controller may stand for election: after a loss those with the newest views go first.
    pub fn is_eligible(&self) -> bool {
        if !self.settings.rebuilds() {
            return true;
        }
        if !self.has_compared_with_peers() || self.state.has_evidence() {
            return false;
        }
        let loss = self.store.loss.borrow();
        let Some(loss) = &*loss else {
            // Without a view of its own it leaves an unfinished rebuild to those that have one.
            let unfinished = self.store.view.borrow().has_unfinished_rebuild();
            let up_for = self.clock.now().since(self.started_at);
            return !unfinished || up_for >= WITHOUT_VIEW;
        };
        let waited = self.clock.now().since(loss.found_at);
        if loss.snapshot.is_none() {
            return waited >= WITHOUT_VIEW;
        }
        let own = Candidate {
            losses: loss.losses(),
            revision: loss.revision(),
            node: self.platform.node.clone(),
        };
        let view = self.store.view.borrow();
        let all = view.candidates.iter().map(|(node, c)| Candidate {
            losses: c.losses,
            revision: c.revision,
            node: node.clone(),
        });
        let all: Vec<Candidate> = all.collect();
        let place = rank(&own, &all);
        place.is_some_and(|place| waited >= GATHER_FOR + PATIENCE.scaled(place as u64, 1))
    }

    /// The record of the loss that is to be rebuilt, if there is one, as the next leader writes it with its election.
    pub fn loss_to_rebuild(&self) -> Option<LossRecord> {
        if !self.store.is_rebuilding() {
            return None;
        }
        let view = self.store.view.borrow();
        let loss = self.store.loss.borrow();
        let known = loss.as_ref().and_then(|l| l.snapshot.as_ref());
        let told = view.candidates.values().map(|c| c.token).max();
        let highest = self
            .cluster_status()
            .token
            .max(known.map_or(0, View::highest_token))
            .max(told.unwrap_or(0));
        let found = view.loss.as_ref().map(|l| l.value.clone());
        let is_first_start = loss.is_none() && found.is_none() && highest == 0;
        if is_first_start {
            return None;
        }
        let resumed = found.clone().filter(|l| !l.restored);
        let before = found
            .as_ref()
            .map_or(0, |l| l.number)
            .max(known.map_or(0, View::losses));
        let number = resumed.as_ref().map_or(before + 1, |l| l.number);
        let base = found.as_ref().map_or(0, |l| l.base);
        // Revisions that went back no longer make tokens above those that workers have seen.
        let possible = base + view.revision;
        let base = if highest > possible {
            token_base(self.clock.unix_time(), highest)
        } else {
            base
        };
        let at = resumed.map_or(self.clock.unix_time(), |l| l.at);
        Some(LossRecord {
            number,
            base,
            at,
            restored: false,
            confirmed: false,
        })
    }
}

/// The duty that looks for losses, and does what a controller that does not lead does after one.
pub async fn watch_over(node: &Controller) {
    let mut page = AuditPlace::default();
    let mut audited_at = node.clock.now();
    let mut told_of = 0;
    loop {
        sleep(LOOK_EVERY).await;
        let lost = node.store.loss.borrow().is_some();
        if lost {
            if told_of != node.store.losses_found() && tell_candidate(node).await {
                told_of = node.store.losses_found();
            }
            contribute(node).await;
            continue;
        }
        let claim = node.store.view.borrow().peer_claiming_loss().cloned();
        if let Some(by) = claim {
            node.state.report_loss(Evidence::Claimed { by });
            continue;
        }
        tell_all_is_told(node).await;
        look_for_tokens(node).await;
        let now = node.clock.now();
        if now.since(audited_at) >= AUDIT_EVERY && node.store.view.borrow().loaded {
            audited_at = now;
            page = audit_page(node, page).await;
        }
    }
}

/// Tells the others what this controller can rebuild from; whether that was written.
async fn tell_candidate(node: &Controller) -> bool {
    let record = {
        let loss = node.store.loss.borrow();
        let Some(loss) = &*loss else { return true };
        let snapshot = loss.snapshot.as_ref();
        CandidateRecord {
            losses: loss.losses(),
            revision: loss.revision(),
            token: node
                .cluster_status()
                .token
                .max(snapshot.map_or(0, View::highest_token)),
            lost: true,
        }
    };
    put_candidate(node, &record).await
}

async fn put_candidate(node: &Controller, record: &CandidateRecord) -> bool {
    let put = Change::put(candidate_key(&node.platform.node), json!(record));
    let told = node.state.txn(Urgency::Now, &[], &[put]).await;
    matches!(told, Ok(Outcome::Applied(_)))
}

/// Tells the others, after a loss, that this controller knows nothing that the rebuilt state lacks.
async fn tell_all_is_told(node: &Controller) {
    let record = {
        let view = node.store.view.borrow();
        let own = view.candidates.get(&node.platform.node);
        let told = own.filter(|c| !c.lost).map_or(0, |c| c.losses);
        if told >= view.losses() || view.has_unfinished_rebuild() {
            return;
        }
        CandidateRecord {
            losses: view.losses(),
            revision: view.revision,
            token: view.highest_token(),
            lost: false,
        }
    };
    put_candidate(node, &record).await;
}

/// Once another controller has rebuilt, adds what only this one knows: jobs that were accepted and ends that were told.
async fn contribute(node: &Controller) {
    let changes = {
        let view = node.store.view.borrow();
        let loss = node.store.loss.borrow();
        let Some(loss) = &*loss else { return };
        let is_rebuilt = view.loss.as_ref().is_some_and(|l| l.value.restored);
        if !is_rebuilt || view.losses() <= loss.losses() {
            return;
        }
        let snapshot = loss.snapshot.as_ref();
        snapshot.map_or(Vec::new(), |snapshot| unknown_to(&view, snapshot))
    };
    for (id, key, value) in changes {
        // An end is written once for ever, a submission only of a job that nobody knows.
        let mut when = vec![Condition::absent(end_key(&id))];
        if key == job_key(&id) {
            when.push(Condition::absent(key.clone()));
        }
        let put = Change::put(key, value);
        loop {
            match node
                .state
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
    *node.store.loss.borrow_mut() = None;
    info!("event=loss_resolved");
}

/// Writes what was lost, as the elected leader; an error says why the term has ended. Does nothing where nothing was lost.
pub async fn restore(node: &Controller, leadership: &LeaderLease) -> Result<(), &'static str> {
    let number = {
        let view = node.store.view.borrow();
        let unfinished = view.loss.as_ref().filter(|l| !l.value.restored);
        match unfinished {
            Some(loss) if node.settings.rebuilds() => loss.value.number,
            _ => return Ok(()),
        }
    };
    let began = node.clock.now();
    let limits = &node.platform.facts.state;
    node.state.set_share(limits.rps, limits.write_rps);
    let mut written = 0;
    loop {
        let plan = plan(node, number);
        if plan.is_empty() {
            break;
        }
        for batch in batches(&plan, limits.txn_ops, BATCH_BYTES) {
            written += batch.len();
            if !write(node, leadership, batch).await? {
                break;
            }
        }
    }
    finish(node, leadership, false).await?;
    *node.store.loss.borrow_mut() = None;
    let took = node.clock.now().since(began);
    info!("event=state_restored loss={number} keys={written} after={took}");
    Ok(())
}

/// Marks the last loss as rebuilt, or as confirmed by every machine.
pub async fn finish(
    node: &Controller,
    leadership: &LeaderLease,
    confirmed: bool,
) -> Result<(), &'static str> {
    loop {
        let found = node.store.view.borrow().loss.clone();
        let Some(found) = found else { return Ok(()) };
        let record = LossRecord {
            restored: true,
            confirmed,
            ..found.value
        };
        let done = [Restore {
            key: LOSS.to_owned(),
            value: json!(record),
            replaces: found.version,
        }];
        if write(node, leadership, &done).await? {
            return Ok(());
        }
    }
}

/// Writes keys under the leader key; false where one of them is not as it was read, so that the plan must be made anew.
async fn write(
    node: &Controller,
    leadership: &LeaderLease,
    keys: &[Restore<Value>],
) -> Result<bool, &'static str> {
    let leader = Condition {
        key: LEADER.into(),
        version: leadership.revision,
    };
    let conditions = keys.iter().map(|restore| Condition {
        key: restore.key.clone(),
        version: restore.replaces,
    });
    let when: Vec<Condition> = conditions.chain([leader]).collect();
    let puts = keys
        .iter()
        .map(|restore| Change::put(restore.key.clone(), restore.value.clone()));
    let puts: Vec<Change> = puts.collect();
    loop {
        match node.state.txn(Urgency::Paced, &when, &puts).await {
            Ok(Outcome::Applied(revision)) => {
                node.store.mark_reachable();
                if !node
                    .store
                    .wait_for_revision(revision, CATCH_UP_TIMEOUT)
                    .await
                {
                    return Err("the view does not follow");
                }
                return Ok(true);
            }
            Ok(Outcome::Conflict(failed)) if failed.iter().any(|k| k == LEADER) => {
                return Err("the leader key is another's");
            }
            Ok(Outcome::Conflict(failed)) => {
                debug!("event=restore_conflict keys={failed:?}");
                node.store.barrier().await;
                return Ok(false);
            }
            Err(e) => debug!("event=restore_failed error={:?}", e.to_string()),
        }
        if node.store.losses_found() != leadership.losses_found {
            return Err("stored state was lost");
        }
        sleep(RETRY_PAUSE).await;
    }
}
