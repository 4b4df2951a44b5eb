use super::*;
use serde_json::json;

#[test]
fn heartbeats_with_unknown_states_and_causes_are_parsed() {
    let body = json!({"host": "m-1", "endpoint": "e", "rig": "g8", "yard": "a", "loaners": false, "watch": 1,
        "tally": 8, "warrant": 4, "takes": [
            {"take": "j-1/0", "try": 2, "status": "dreaming"},
            {"take": "j-1/1", "try": 2, "status": "exited", "cause": "bored"},
            {"take": "j-1/2", "try": 1, "status": "exited", "cause": "no_room"}]});
    let heartbeat: Heartbeat = serde_json::from_value(body).expect("a valid heartbeat");
    assert_eq!(heartbeat.tasks[0].state, TaskState::Other);
    assert_eq!(heartbeat.tasks[1].cause, Some(ExitCause::Other));
    assert_eq!(heartbeat.tasks[2].cause, Some(ExitCause::NoRoom));
}

#[test]
fn commands_have_the_wire_format() {
    let command = AgentCommand::Stop {
        task: "j-1/0".into(),
        attempt: 3,
        save_grace_s: 10.0,
    };
    assert_eq!(
        json!(command),
        json!({"verb": "stop", "take": "j-1/0", "try": 3, "slackS": 10.0})
    );
}
