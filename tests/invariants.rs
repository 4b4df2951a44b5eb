//! Tests of the invariant checker itself: a history that violates an invariant is reported under that invariant's name.

mod support;

use serde_json::{Value, json};
use support::invariants::{InvariantChecker, Pool};

fn pool(machine_type: &str, zone: &str, spot: bool) -> Pool {
    Pool {
        machine_type: machine_type.into(),
        zone: zone.into(),
        spot,
    }
}

/// Returns a checker with one accepted job of two tasks, with `changes` to its other fields.
fn checker_with_job(changes: Value) -> InvariantChecker {
    let mut spec = json!({"nameId": "j-1", "crew": "t", "shape": "sweep", "takes": 2, "cards": 1.0, "rigs": null,
        "yard": null, "together": false, "spread": false, "loaners": true});
    for (field, value) in changes.as_object().expect("fields") {
        spec[field] = value.clone();
    }
    let mut checker = InvariantChecker::new(1.0, &[("t", 1.0)]);
    checker.record_submission(&spec);
    checker.record_response(10, 5, "submit", "j-1", 201, "pending");
    checker
}

fn violated_rules(checker: &InvariantChecker) -> Vec<&str> {
    let rule = |line: &String| -> usize { line.find(' ').expect("a rule and details") };
    checker.violations.iter().map(|b| &b[..rule(b)]).collect()
}

#[test]
fn valid_history_has_no_violations() {
    let mut checker = checker_with_job(json!({"spread": true}));
    let z0 = pool("g8", "z0", true);
    checker.record_start(20, "j-1", 0, "m-1", &z0);
    checker.record_end(30, "j-1", 0, "m-1", true);
    checker.record_start(31, "j-1", 1, "m-2", &z0);
    checker.record_machine_loss(32, "m-2");
    checker.record_start(40, "j-1", 1, "m-1", &z0);
    checker.record_end(50, "j-1", 1, "m-1", true);
    checker.record_response(60, 55, "poll", "j-1", 200, "done");
    checker.record_response(70, 65, "poll", "j-2", 404, "");
    checker.check_deadlines(3_000_000);
    assert_eq!(violated_rules(&checker), Vec::<&str>::new());
    assert_eq!(checker.starts, 3);
}

#[test]
fn task_on_two_machines_is_a_violation() {
    let mut checker = checker_with_job(json!({}));
    checker.record_start(20, "j-1", 0, "m-1", &pool("g8", "z0", true));
    checker.record_start(21, "j-1", 0, "m-2", &pool("g8", "z0", true));
    assert_eq!(violated_rules(&checker), ["ran_twice"]);
}

#[test]
fn exceeding_a_team_limit_is_a_violation() {
    let mut checker = checker_with_job(json!({}));
    checker.record_start(20, "j-1", 0, "m-1", &pool("g8", "z0", true));
    checker.record_start(21, "j-1", 1, "m-1", &pool("g8", "z0", true));
    assert_eq!(violated_rules(&checker), ["quota"]);
}

#[test]
fn each_placement_constraint_is_checked() {
    let constraints = [
        json!({"rigs": ["g9"]}),
        json!({"yard": "z1"}),
        json!({"loaners": false}),
        json!({"together": true}),
        json!({"spread": true}),
    ];
    for (n, changes) in constraints.into_iter().enumerate() {
        let mut checker = checker_with_job(changes);
        // Each of the last two constraints is violated only together with another task: one in another zone, or one in
        // the same zone.
        let other = pool("g8", if n == 3 { "z1" } else { "z0" }, true);
        if n > 2 {
            checker.record_start(20, "j-1", 0, "m-1", &other);
            assert_eq!(violated_rules(&checker), Vec::<&str>::new());
        }
        checker.record_start(21, "j-1", 1, "m-2", &pool("g8", "z0", true));
        assert!(violated_rules(&checker).contains(&"wrong_place"), "{n}");
    }
}

#[test]
fn cancelled_task_that_runs_or_starts_past_the_deadline_is_a_violation() {
    let mut checker = checker_with_job(json!({}));
    checker.record_start(20, "j-1", 0, "m-1", &pool("g8", "z0", true));
    checker.record_cancel_request(30, "j-1");
    checker.record_response(40, 30, "cancel", "j-1", 200, "aborted");
    checker.check_deadlines(1_000_040);
    assert_eq!(
        violated_rules(&checker),
        ["aborted_too_early"],
        "the deadline has not passed"
    );
    checker.check_deadlines(1_000_041);
    assert_eq!(
        violated_rules(&checker),
        ["aborted_too_early", "ran_cancelled"]
    );
    checker.record_end(1_000_050, "j-1", 0, "m-1", false);
    checker.record_start(1_000_060, "j-1", 1, "m-1", &pool("g8", "z0", true));
    assert_eq!(
        violated_rules(&checker),
        [
            "aborted_too_early",
            "ran_cancelled",
            "started_after_cancel",
            "ran_cancelled"
        ]
    );
}

#[test]
fn cancellation_confirmed_before_its_tasks_are_gone_is_a_violation() {
    let mut checker = checker_with_job(json!({}));
    checker.record_start(20, "j-1", 0, "m-1", &pool("g8", "z0", true));
    checker.record_cancel_request(30, "j-1");
    checker.record_end(35, "j-1", 0, "m-1", false);
    checker.record_response(40, 30, "cancel", "j-1", 200, "aborted");
    assert_eq!(violated_rules(&checker), Vec::<&str>::new());
    checker.record_start(50, "j-1", 1, "m-1", &pool("g8", "z0", true));
    assert_eq!(
        violated_rules(&checker),
        ["started_after_cancel"],
        "a start within the deadline"
    );
}

#[test]
fn losing_an_accepted_job_or_reporting_an_unknown_one_is_a_violation() {
    let mut checker = checker_with_job(json!({}));
    checker.record_response(9, 3, "poll", "j-1", 404, "");
    assert_eq!(
        violated_rules(&checker),
        Vec::<&str>::new(),
        "the request preceded the acceptance"
    );
    checker.record_response(30, 20, "poll", "j-1", 404, "");
    checker.record_response(31, 20, "submit@2", "j-1", 422, "");
    checker.record_response(32, 20, "poll", "j-9", 200, "pending");
    assert_eq!(
        violated_rules(&checker),
        ["forgotten", "forgotten", "invented"]
    );
}

#[test]
fn early_completion_and_reverted_states_are_violations() {
    let mut checker = checker_with_job(json!({}));
    checker.record_response(30, 20, "poll", "j-1", 200, "done");
    checker.record_response(29, 25, "poll", "j-1", 200, "running");
    assert_eq!(
        violated_rules(&checker),
        ["not_done"],
        "the request preceded the first final state"
    );
    checker.record_response(50, 40, "poll", "j-1", 200, "running");
    assert_eq!(violated_rules(&checker), ["not_done", "went_back"]);
    let mut checker = checker_with_job(json!({}));
    checker.record_response(30, 20, "poll", "j-1", 200, "aborted");
    assert_eq!(
        violated_rules(&checker),
        ["went_back"],
        "no user cancelled it"
    );
}
