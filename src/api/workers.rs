//! The interface for workers: heartbeats are answered by the leader, whichever controller they reach.

use super::wire::{answer_with, no_leader, redirect};
use crate::cancellation::CancellationService;
use crate::clock::Clock;
use crate::contacts::ContactTracker;
use crate::fencing::FencingToken;
use crate::futures::timeout;
use crate::http::{HttpRequest, HttpResponse};
use crate::membership::Membership;
use crate::peer::{Peer, PeerReply, PeerRequest};
use crate::scheduler::{AgentCommand, Heartbeat, TaskId, TaskState};
use crate::term::{CurrentTerm, LeaderTerm};
use crate::units::Micros;
use http_types::Method;
use log::{debug, warn};
use std::rc::Rc;

/// How long the leader may take when asked directly, and through another controller.
const FORWARD_TIMEOUT: Micros = Micros::millis(1_000);
/// How long all routes to the leader may take together: a worker waits four seconds.
const TOTAL_FORWARD_TIMEOUT: Micros = Micros::millis(1_500);
/// The same for a worker that came from elsewhere: its lease may be nearly over.
const FIRST_CONTACT_TIMEOUT: Micros = Micros::millis(700);
/// After a failure the direct route is not tried for so long.
const ROUTE_SUSPENSION: Micros = Micros::secs(3);

/// What a worker is answered.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The fencing token of the leader.
    pub token: FencingToken,
    /// What the worker is to do.
    pub commands: Vec<AgentCommand>,
    /// The controller that the worker should send its heartbeats to instead.
    pub redirect_to: Option<String>,
}

/// Answers the heartbeats of workers, whether they came here or through another controller.
///
/// Invariants: commands are sent under the leader's fencing token only while its lease certainly lasts, those that stop
/// cancelled tasks excepted; no answer carries a lower fencing token than the worker has seen.
pub struct WorkerApi {
    /// The clock.
    pub clock: Clock,
    /// The other controllers, and who leads.
    pub membership: Rc<Membership>,
    /// The connections to them.
    pub peers: Rc<Vec<Peer>>,
    /// The term that this controller leads, if it does.
    pub current_term: Rc<CurrentTerm>,
    /// The workers that come here.
    pub contacts: Rc<ContactTracker>,
    /// Cancelled jobs.
    pub cancellations: Rc<CancellationService>,
}

impl WorkerApi {
    /// Answers a worker's request.
    pub async fn answer(&self, request: &HttpRequest) -> HttpResponse {
        if request.method != Method::Post {
            return HttpResponse::error(405, "wrong method");
        }
        let heartbeat: Heartbeat = match serde_json::from_slice(&request.body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                warn!("event=invalid_heartbeat error={:?}", e.to_string());
                return HttpResponse::error(400, "malformed report");
            }
        };
        self.cancellations.on_heartbeat(&heartbeat);
        match self.answer_heartbeat(&heartbeat).await {
            Some(Answer {
                redirect_to: Some(other),
                ..
            }) => redirect(&other),
            // A worker drops a lower token but stays, while its lease runs out: it must be sent elsewhere.
            Some(answer) if answer.token < heartbeat.token => no_leader(),
            Some(answer) => answer_with(answer.token, &answer.commands),
            None => self.answer_without_leader(&heartbeat),
        }
    }

    /// The answer where no leader can be asked: it keeps the worker's tasks alive, and starts nothing.
    fn answer_without_leader(&self, heartbeat: &Heartbeat) -> HttpResponse {
        let machine = heartbeat.machine.clone();
        if let Some(other) = self.contacts.redirect_target(&machine, &heartbeat.zone) {
            debug!("event=worker_redirected machine={machine} to={other}");
            return redirect(&other);
        }
        let token = self.membership.cluster_status().token;
        if token == FencingToken::NONE || token < heartbeat.token {
            return no_leader();
        }
        self.contacts.record_contact(machine);
        answer_with(token, &self.stop_commands_for_cancelled(heartbeat))
    }

    /// The leader's answer, asked for wherever it is; `None` where it can't be had in time.
    async fn answer_heartbeat(&self, heartbeat: &Heartbeat) -> Option<Answer> {
        if let Some(term) = self.current_term.get() {
            // Guards against a leader that lost the state service and all others while its workers still reach it: another
            // leads by now, so they are handed on like those of any controller that is alone.
            let deposed =
                self.membership.is_isolated() && !term.may_send_commands(self.clock.now());
            let answer = self.answer_as_leader(&term, heartbeat, "").await;
            return answer.filter(|_| !deposed);
        }
        let own = self.membership.node().to_owned();
        let limit = if self.contacts.is_first_contact(&heartbeat.machine) {
            FIRST_CONTACT_TIMEOUT
        } else {
            TOTAL_FORWARD_TIMEOUT
        };
        timeout(limit, self.forward(heartbeat, &own, true))
            .await
            .flatten()
    }

    /// The leader's own answer to a heartbeat.
    async fn answer_as_leader(
        &self,
        term: &LeaderTerm,
        heartbeat: &Heartbeat,
        via: &str,
    ) -> Option<Answer> {
        // Somebody else leads, or the worker is wrong: it is sent elsewhere, and who leads is asked of the controllers.
        if heartbeat.token > term.token() {
            return None;
        }
        let now = self.clock.now();
        let outcome = term
            .scheduler
            .borrow_mut()
            .on_heartbeat(heartbeat, via, now);
        let unwritten = term
            .scheduler
            .borrow()
            .has_unwritten_placements(&heartbeat.machine);
        if outcome.is_newest && (outcome.changed || unwritten) {
            // What the heartbeat brought is written, and what it made room for is placed, before the worker is answered.
            term.await_next_cycle().await;
        }
        let commands = if !outcome.is_newest {
            Vec::new()
        } else if term.may_send_commands(self.clock.now()) {
            let at = heartbeat.position();
            let mut scheduler = term.scheduler.borrow_mut();
            scheduler.commands_for(&heartbeat.machine, at, now)
        } else {
            self.stop_commands_for_cancelled(heartbeat)
        };
        let is_idle = outcome.is_newest && !outcome.changed && commands.is_empty();
        let may_redirect = via.is_empty() && is_idle && heartbeat.token == term.token();
        Some(Answer {
            token: term.token(),
            commands,
            redirect_to: may_redirect
                .then(|| self.rebalance(term, heartbeat))
                .flatten(),
        })
    }

    /// Where a worker that needs nothing is redirected, if this leader holds too many of them.
    fn rebalance(&self, term: &LeaderTerm, heartbeat: &Heartbeat) -> Option<String> {
        let takes_redirect = term.scheduler.borrow_mut().takes_redirect();
        takes_redirect
            .then(|| self.membership.peer_in_zone(&heartbeat.zone))
            .flatten()
    }

    /// Stops for what a heartbeat shows of cancelled jobs.
    ///
    /// The only commands that need no lease: a cancelled job stays cancelled whoever leads, and a worker that has seen a higher
    /// token drops them. Guards against cancelled tasks that run on because the leader, or every controller, is refused by the
    /// state service for longer than a cancellation may take.
    fn stop_commands_for_cancelled(&self, heartbeat: &Heartbeat) -> Vec<AgentCommand> {
        let running = heartbeat
            .tasks
            .iter()
            .filter(|t| t.state != TaskState::Exited);
        let cancelled = running.filter(|t| {
            TaskId::parse(&t.task).is_some_and(|task| self.cancellations.is_cancelled(&task.job))
        });
        let stop = cancelled.map(|t| AgentCommand::Stop {
            task: t.task.clone(),
            attempt: t.attempt,
            save_grace_s: 0.0,
        });
        stop.collect()
    }

    /// Asks the leader on a worker's behalf: directly, and if that fails through another controller.
    async fn forward(&self, heartbeat: &Heartbeat, via: &str, relay: bool) -> Option<Answer> {
        let leader = self.membership.cluster_status().leader?;
        let direct = self.peers.iter().find(|p| p.node == leader)?;
        if !self.membership.is_route_suspended(&leader) {
            match self.ask(direct, heartbeat, via, false).await {
                Some(answer) => return Some(answer),
                None => self.membership.suspend_route(&leader, ROUTE_SUSPENSION),
            }
        }
        if !relay {
            return None;
        }
        for other in self.peers.iter() {
            if other.node == leader || self.membership.is_route_suspended(&other.node) {
                continue;
            }
            if let Some(answer) = self.ask(other, heartbeat, via, true).await {
                return Some(answer);
            }
        }
        None
    }

    /// Asks another controller to answer a heartbeat, or to relay it once more if `relay` is set.
    async fn ask(
        &self,
        peer: &Peer,
        heartbeat: &Heartbeat,
        via: &str,
        relay: bool,
    ) -> Option<Answer> {
        let request = PeerRequest::Heartbeat {
            relay,
            via: via.to_owned(),
            heartbeat: heartbeat.clone(),
        };
        match peer
            .call(self.membership.cluster_status(), request, FORWARD_TIMEOUT)
            .await
        {
            Ok(frame) => {
                self.membership.observe(&frame.cluster_status);
                match frame.message {
                    PeerReply::Answer { token, commands } => Some(Answer {
                        token,
                        commands,
                        redirect_to: None,
                    }),
                    _ => None,
                }
            }
            Err(e) => {
                debug!(
                    "event=forward_failed peer={} error={:?}",
                    peer.node,
                    e.to_string()
                );
                None
            }
        }
    }

    /// Answers a heartbeat that another controller passed on.
    pub async fn answer_relayed(&self, heartbeat: Heartbeat, via: &str, relay: bool) -> PeerReply {
        self.cancellations.on_heartbeat(&heartbeat);
        let answer = match self.current_term.get() {
            Some(term) => self.answer_as_leader(&term, &heartbeat, via).await,
            None if relay => self.forward(&heartbeat, via, false).await,
            None => None,
        };
        match answer {
            Some(Answer {
                token, commands, ..
            }) => PeerReply::Answer { token, commands },
            None => PeerReply::NoLeader,
        }
    }
}
