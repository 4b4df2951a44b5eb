//! What workers are answered, in the names and the order of the protocol.

use crate::fencing::FencingToken;
use crate::http::HttpResponse;
use crate::scheduler::AgentCommand;
use serde::Serialize;

/// The answer to a heartbeat.
#[derive(Serialize)]
struct HeartbeatAnswer<'a> {
    #[serde(rename = "orders")]
    commands: Vec<CommandMessage<'a>>,
    #[serde(rename = "warrant")]
    token: FencingToken,
}

/// A command to a worker. The fields stand in the order in which they are sent.
#[derive(Serialize)]
struct CommandMessage<'a> {
    #[serde(rename = "slackS", skip_serializing_if = "Option::is_none")]
    slack_s: Option<f64>,
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
        let (verb, task, attempt, slack_s) = match command {
            AgentCommand::Run { task, attempt } => (Verb::Run, task, *attempt, None),
            AgentCommand::Stop {
                task,
                attempt,
                save_grace_s,
            } => (Verb::Stop, task, *attempt, Some(*save_grace_s)),
            AgentCommand::Clear { task, attempt } => (Verb::Clear, task, *attempt, None),
        };
        CommandMessage {
            slack_s,
            task,
            attempt,
            verb,
        }
    }
}

/// The controller that a worker is to turn to.
#[derive(Serialize)]
struct Redirect<'a> {
    #[serde(rename = "muster")]
    node: &'a str,
}

/// The answer of a leader, or in the name of one that can't be asked.
pub(super) fn answer_with(token: FencingToken, commands: &[AgentCommand]) -> HttpResponse {
    let commands = commands.iter().map(CommandMessage::from).collect();
    HttpResponse::json(200, &HeartbeatAnswer { commands, token })
}

/// Sends a worker to another controller.
pub(super) fn redirect(node: &str) -> HttpResponse {
    HttpResponse::json(421, &Redirect { node })
}

/// Lets a worker look for another controller by itself.
pub(super) fn no_leader() -> HttpResponse {
    HttpResponse::error(503, "no leader within reach")
}
