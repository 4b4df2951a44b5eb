//! The face for workers: reports are answered by the leader, whichever controller they reach.

use crate::controller::Controller;
use crate::http::{HttpRequest, HttpResponse, timeout};
use crate::leader::LeaderTerm;
use crate::peer::{self, PeerReply, PeerRequest};
use crate::scheduler::{AgentCommand, Heartbeat, TaskId, TaskState};
use crate::units::Micros;
use http_types::Method;
use log::{debug, warn};
use serde_json::json;
use std::rc::Rc;

/// How long the leader may take when asked directly, and through another controller.
const FORWARD_TIMEOUT: Micros = Micros::millis(1_000);
/// How long all ways to the leader may take together: a worker waits four seconds.
const TOTAL_FORWARD_TIMEOUT: Micros = Micros::millis(1_500);
/// The same for a worker that came from elsewhere: its lease may be nearly over.
const FIRST_CONTACT_TIMEOUT: Micros = Micros::millis(700);
/// After a failure the direct way is not tried for so long.
const ROUTE_SUSPENSION: Micros = Micros::secs(3);

/// What a worker is answered.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The token.
    pub token: u64,
    /// The commands.
    pub commands: Vec<AgentCommand>,
    /// The controller that the worker should report to instead.
    pub redirect_to: Option<String>,
}

/// Answers a worker's request.
pub async fn answer(node: &Rc<Controller>, call: &HttpRequest) -> HttpResponse {
    if call.method != Method::Post {
        return HttpResponse::error(405, "wrong method");
    }
    let report: Heartbeat = match serde_json::from_slice(&call.body) {
        Ok(report) => report,
        Err(e) => {
            warn!("event=invalid_heartbeat error={:?}", e.to_string());
            return HttpResponse::error(400, "malformed report");
        }
    };
    let seen = report.token;
    node.check_residue(&report);
    match answer_heartbeat(node, &report).await {
        Some(Answer {
            redirect_to: Some(other),
            ..
        }) => HttpResponse::json(421, &json!({ "muster": other })),
        // A worker drops a lower token but stays, while its lease runs out: it must be sent elsewhere.
        Some(answer) if answer.token >= seen => HttpResponse::json(
            200,
            &json!({"warrant": answer.token, "orders": answer.commands}),
        ),
        Some(_) => HttpResponse::error(503, "no leader within reach"),
        // Nobody can be asked: the answer keeps the worker's tasks alive, and gives no commands.
        None => {
            let machine = report.machine.clone();
            if let Some(other) = node.redirect_target(&machine, &report.zone) {
                debug!("event=worker_redirected machine={machine} to={other}");
                return HttpResponse::json(421, &json!({ "muster": other }));
            }
            let token = node.cluster_status().token;
            if token == 0 || token < seen {
                return HttpResponse::error(503, "no leader within reach");
            }
            node.record_contact(machine);
            let commands = stop_commands_for_cancelled(node, &report);
            HttpResponse::json(200, &json!({"warrant": token, "orders": commands}))
        }
    }
}

async fn answer_heartbeat(node: &Rc<Controller>, report: &Heartbeat) -> Option<Answer> {
    if let Some(leading) = node.leading() {
        // Guards against a leader that lost the state service and all others while its workers still reach it: another
        // leads by now, so they are handed on like those of any controller that is alone.
        let deposed = node.is_isolated() && !leading.may_send_commands(node.clock.now());
        let answer = answer_as_leader(node, &leading, report, "").await;
        return answer.filter(|_| !deposed);
    }
    let own = node.platform.node.clone();
    let limit = if node.is_first_contact(&report.machine) {
        FIRST_CONTACT_TIMEOUT
    } else {
        TOTAL_FORWARD_TIMEOUT
    };
    timeout(limit, forward(node, report, &own, true))
        .await
        .flatten()
}

/// The leader's own answer to a heartbeat.
pub async fn answer_as_leader(
    node: &Controller,
    leading: &LeaderTerm,
    report: &Heartbeat,
    via: &str,
) -> Option<Answer> {
    // Somebody else leads, or the worker is mad: it is sent elsewhere, and who leads is asked of the controllers.
    if report.token > leading.token() {
        return None;
    }
    let now = node.clock.now();
    let outcome = leading.scheduler.borrow_mut().on_report(report, via, now);
    let unwritten = leading.scheduler.borrow().awaits_write(&report.machine);
    if outcome.fresh && (outcome.changed || unwritten) {
        // What the heartbeat brought is written, and what it made room for is placed, before the worker is answered.
        leading.await_next_cycle().await;
    }
    let commands = if outcome.fresh && leading.may_send_commands(node.clock.now()) {
        let at = report.position();
        let mut scheduler = leading.scheduler.borrow_mut();
        scheduler.commands_for(&report.machine, at, now)
    } else if outcome.fresh {
        stop_commands_for_cancelled(node, report)
    } else {
        Vec::new()
    };
    let idle =
        outcome.fresh && !outcome.changed && commands.is_empty() && report.token == leading.token();
    let redirect_to = if via.is_empty() && idle && leading.scheduler.borrow_mut().takes_redirect() {
        node.peer_in_zone(&report.zone)
    } else {
        None
    };
    Some(Answer {
        token: leading.token(),
        commands,
        redirect_to,
    })
}

/// Stops for what a heartbeat shows of cancelled jobs.
///
/// The only commands that need no lease: a cancelled job stays cancelled whoever leads, and a worker that has seen a higher
/// token drops them. Guards against cancelled tasks that run on because the leader, or every controller, is refused by the
/// state service for longer than a cancellation may take.
fn stop_commands_for_cancelled(node: &Controller, report: &Heartbeat) -> Vec<AgentCommand> {
    let running = report.tasks.iter().filter(|t| t.state != TaskState::Exited);
    let cancelled =
        running.filter(|t| TaskId::parse(&t.task).is_some_and(|task| node.is_cancelled(&task.job)));
    let stop = cancelled.map(|t| AgentCommand::Stop {
        task: t.task.clone(),
        attempt: t.attempt,
        slack_s: 0.0,
    });
    stop.collect()
}

/// Asks the leader on a worker's behalf: directly, and if that fails through another controller.
async fn forward(
    node: &Rc<Controller>,
    report: &Heartbeat,
    via: &str,
    relay: bool,
) -> Option<Answer> {
    let leader = node.cluster_status().leader?;
    let direct = node.peers.iter().find(|p| p.node == leader)?;
    if !node.is_route_suspended(&leader) {
        match ask(node, direct, report, via, false).await {
            Some(answer) => return Some(answer),
            None => node.suspend_route(&leader, node.clock.now() + ROUTE_SUSPENSION),
        }
    }
    if !relay {
        return None;
    }
    for other in node.peers.iter() {
        if other.node == leader || node.is_route_suspended(&other.node) {
            continue;
        }
        if let Some(answer) = ask(node, other, report, via, true).await {
            return Some(answer);
        }
    }
    None
}

async fn ask(
    node: &Controller,
    peer: &peer::Peer,
    report: &Heartbeat,
    via: &str,
    relay: bool,
) -> Option<Answer> {
    let request = PeerRequest::Heartbeat {
        relay,
        via: via.to_owned(),
        report: report.clone(),
    };
    match peer
        .call(node.cluster_status(), request, FORWARD_TIMEOUT)
        .await
    {
        Ok(frame) => {
            node.observe(&frame.cluster_status);
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
pub async fn answer_relayed(
    node: &Rc<Controller>,
    report: Heartbeat,
    via: &str,
    relay: bool,
) -> PeerReply {
    node.check_residue(&report);
    let answer = match node.leading() {
        Some(leading) => answer_as_leader(node, &leading, &report, via).await,
        None if relay => forward(node, &report, via, false).await,
        None => None,
    };
    match answer {
        Some(Answer {
            token, commands, ..
        }) => PeerReply::Answer { token, commands },
        None => PeerReply::NoLeader,
    }
}
