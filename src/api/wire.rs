//! Response bodies for workers, with the field names and field order of the protocol.

use crate::fencing::FencingToken;
use crate::http::HttpResponse;
use crate::scheduler::AgentCommand;
use serde::Serialize;

/// Response body for a heartbeat.
#[derive(Serialize)]
struct HeartbeatBody<'a> {
    #[serde(rename = "orders")]
    commands: Vec<CommandMessage<'a>>,
    #[serde(rename = "warrant")]
    token: FencingToken,
}

/// A command to a worker. The field order is the order on the wire.
#[derive(Serialize)]
struct CommandMessage<'a> {
    #[serde(rename = "slackS", skip_serializing_if = "Option::is_none")]
    save_grace_s: Option<f64>,
    #[serde(rename = "take")]
    task: &'a str,
    #[serde(rename = "try")]
    attempt: u64,
    verb: Verb,
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum Verb {
    Run,
    Stop,
    Clear,
}

impl<'a> From<&'a AgentCommand> for CommandMessage<'a> {
    fn from(command: &'a AgentCommand) -> CommandMessage<'a> {
        let (verb, task, attempt, save_grace_s) = match command {
            AgentCommand::Run { task, attempt } => (Verb::Run, task, *attempt, None),
            AgentCommand::Stop {
                task,
                attempt,
                save_grace_s,
            } => (Verb::Stop, task, *attempt, Some(*save_grace_s)),
            AgentCommand::Clear { task, attempt } => (Verb::Clear, task, *attempt, None),
        };
        CommandMessage {
            save_grace_s,
            task,
            attempt,
            verb,
        }
    }
}

/// Response body that names the controller to which a worker should send its heartbeats.
#[derive(Serialize)]
struct Redirect<'a> {
    #[serde(rename = "muster")]
    node: &'a str,
}

/// Returns the HTTP response to a heartbeat: the leader's own, or one sent on its behalf while it can't be reached.
pub(super) fn heartbeat_response(token: FencingToken, commands: &[AgentCommand]) -> HttpResponse {
    let commands = commands.iter().map(CommandMessage::from).collect();
    HttpResponse::json(200, &HeartbeatBody { commands, token })
}

/// Returns the response that redirects a worker to another controller.
pub(super) fn redirect(node: &str) -> HttpResponse {
    HttpResponse::json(421, &Redirect { node })
}

/// Returns the response for a worker that has to choose another controller itself.
pub(super) fn no_leader() -> HttpResponse {
    HttpResponse::error(503, "no leader within reach")
}
