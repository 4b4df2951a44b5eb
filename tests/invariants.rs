//! The invariant checker of the scenarios can fail: each rule is broken once and named.

mod support;

use serde_json::{Value, json};
use support::invariants::{InvariantChecker, Place};

fn place(machine_type: &str, zone: &str, spot: bool) -> Place {
    Place {
        machine_type: machine_type.into(),
        zone: zone.into(),
        spot,
    }
}

/// A invariant checker with one accepted job of two tasks, whose other fields are these.
fn invariants(changes: Value) -> InvariantChecker {
    let mut spec = json!({"nameId": "j-1", "crew": "t", "shape": "sweep", "takes": 2, "cards": 1.0, "rigs": null,
        "yard": null, "together": false, "spread": false, "loaners": true});
    for (field, value) in changes.as_object().expect("fields") {
        spec[field] = value.clone();
    }
    let mut invariants = InvariantChecker::new(1.0, &[("t", 1.0)]);
    invariants.submits(&spec);
    invariants.answered(10, 5, "submit", "j-1", 201, "pending");
    invariants
}

fn named(invariants: &InvariantChecker) -> Vec<&str> {
    let rule = |line: &String| -> usize { line.find(' ').expect("a rule and more") };
    invariants.breaches.iter().map(|b| &b[..rule(b)]).collect()
}

#[test]
fn what_keeps_the_rules_is_no_breach() {
    let mut l = invariants(json!({"spread": true}));
    let here = place("g8", "z0", true);
    l.starts(20, "j-1", 0, "m-1", &here);
    l.ends(30, "j-1", 0, "m-1", true);
    l.starts(31, "j-1", 1, "m-2", &here);
    l.gone(32, "m-2");
    l.starts(40, "j-1", 1, "m-1", &here);
    l.ends(50, "j-1", 1, "m-1", true);
    l.answered(60, 55, "poll", "j-1", 200, "done");
    l.answered(70, 65, "poll", "j-2", 404, "");
    l.look(3_000_000);
    assert_eq!(named(&l), Vec::<&str>::new());
    assert_eq!((l.starts, l.late_starts), (3, 0));
}

#[test]
fn a_task_on_two_machines_is_named() {
    let mut l = invariants(json!({}));
    l.starts(20, "j-1", 0, "m-1", &place("g8", "z0", true));
    l.starts(21, "j-1", 0, "m-2", &place("g8", "z0", true));
    assert_eq!(named(&l), ["ran_twice"]);
}

#[test]
fn more_than_a_teams_limit_is_named() {
    let mut l = invariants(json!({}));
    l.starts(20, "j-1", 0, "m-1", &place("g8", "z0", true));
    l.starts(21, "j-1", 1, "m-1", &place("g8", "z0", true));
    assert_eq!(named(&l), ["quota"]);
}

#[test]
fn each_kind_of_wrong_place_is_named() {
    let wrong = [
        json!({"rigs": ["g9"]}),
        json!({"yard": "z1"}),
        json!({"loaners": false}),
        json!({"together": true}),
        json!({"spread": true}),
    ];
    for (n, changes) in wrong.into_iter().enumerate() {
        let mut l = invariants(changes);
        // The last two need another task to be wrong: elsewhere, and in the same zone.
        let other = place("g8", if n == 3 { "z1" } else { "z0" }, true);
        if n > 2 {
            l.starts(20, "j-1", 0, "m-1", &other);
            assert_eq!(named(&l), Vec::<&str>::new());
        }
        l.starts(21, "j-1", 1, "m-2", &place("g8", "z0", true));
        assert!(named(&l).contains(&"wrong_place"), "{n}");
    }
}

#[test]
fn a_cancelled_task_that_is_left_or_starts_is_named() {
    let mut l = invariants(json!({}));
    l.starts(20, "j-1", 0, "m-1", &place("g8", "z0", true));
    l.asks_to_cancel(30, "j-1");
    l.answered(40, 30, "cancel", "j-1", 200, "aborted");
    l.look(1_000_040);
    assert_eq!(named(&l), Vec::<&str>::new(), "there is still time");
    l.look(1_000_041);
    assert_eq!(named(&l), ["ran_cancelled"]);
    l.ends(1_000_050, "j-1", 0, "m-1", false);
    l.starts(1_000_060, "j-1", 1, "m-1", &place("g8", "z0", true));
    assert_eq!(named(&l), ["ran_cancelled", "ran_cancelled"]);
    assert_eq!(l.late_starts, 1);
}

#[test]
fn a_job_that_is_denied_is_named_and_one_that_nobody_submitted_too() {
    let mut l = invariants(json!({}));
    l.answered(9, 3, "poll", "j-1", 404, "");
    assert_eq!(
        named(&l),
        Vec::<&str>::new(),
        "asked before it was accepted"
    );
    l.answered(30, 20, "poll", "j-1", 404, "");
    l.answered(31, 20, "submit", "j-1", 422, "");
    l.answered(32, 20, "poll", "j-9", 200, "pending");
    assert_eq!(named(&l), ["forgotten", "forgotten", "invented"]);
}

#[test]
fn done_too_early_and_what_is_taken_back_is_named() {
    let mut l = invariants(json!({}));
    l.answered(30, 20, "poll", "j-1", 200, "done");
    l.answered(29, 25, "poll", "j-1", 200, "running");
    assert_eq!(named(&l), ["not_done"], "asked before it was told");
    l.answered(50, 40, "poll", "j-1", 200, "running");
    assert_eq!(named(&l), ["not_done", "went_back"]);
    let mut l = invariants(json!({}));
    l.answered(30, 20, "poll", "j-1", 200, "aborted");
    assert_eq!(named(&l), ["went_back"], "nobody cancelled it");
}
