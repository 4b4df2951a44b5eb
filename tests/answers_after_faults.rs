//! Scenarios in which users' requests or the writes of the leader exceed what the key-value store accepts: questions
//! about accepted jobs are answered all the same.

mod support;

use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;
use support::world::{Deployment, World, job, with};

/// Seeds with which each scenario runs.
const SEEDS: std::ops::Range<u64> = 1..3;
const MACHINES: usize = 12;
/// Urgent jobs that together need more changes of keys than the key-value store accepts.
const URGENT_JOBS: usize = 600;
const URGENT_JOB_INTERVAL_S: f64 = 0.2;

/// Returns a deployment with the limits of the smallest one, where 15 keys are changed and 60 requests served a second.
fn deployment() -> Deployment {
    Deployment {
        capacity: MACHINES,
        ..Deployment::large(MACHINES)
    }
}

fn job_id(n: usize) -> String {
    format!("j-{n:04}")
}

/// Returns a job whose tasks run longer than any scenario, one to a machine.
fn long_running_job(n: usize) -> Value {
    let large = json!({"cores": 12.0, "cards": 3.0, "ramGb": 48.0});
    with(job(&job_id(n), 6, 10_000.0), large)
}

/// Submits jobs below the write limit until all are accepted.
fn submit_jobs(w: &Rc<World>, count: usize) {
    for n in 0..count {
        w.spawn_submit(n % 3, long_running_job(n));
        if n % 10 == 9 {
            w.run(1.0);
        }
    }
    let all_accepted = |w: &World| {
        let invariants = w.invariants.borrow();
        let mut accepted = invariants.jobs.values().filter(|j| j.accepted_at.is_some());
        accepted.by_ref().count() == count
    };
    assert!(w.run_until(60.0, all_accepted), "the jobs are accepted");
}

// Guards against an overload that outlives its cause: the retries of users' commits took all requests that the
// key-value store serves, so that no lease was renewed, no watch opened and no question answered.
#[test]
fn questions_are_answered_while_a_thousand_cancellations_wait_for_the_write_limit() {
    for seed in SEEDS {
        println!("seed {seed}");
        let w = World::build(seed, deployment());
        submit_jobs(&w, 1_200);
        for n in 0..1_000 {
            w.spawn_cancel(n % 3, &job_id(n));
        }
        w.run(1.0);
        w.assert_answers();
    }
}

// Guards against the same overload after an outage, in which users waited with their submissions.
#[test]
fn questions_are_answered_after_an_outage_in_which_a_thousand_submissions_waited() {
    for seed in SEEDS {
        println!("seed {seed}");
        let w = World::build(seed, deployment());
        submit_jobs(&w, 200);
        w.set_state_outage(true);
        w.run(50.0);
        for n in 200..1_400 {
            w.spawn_submit(n % 3, long_running_job(n));
        }
        w.run(10.0);
        w.set_state_outage(false);
        w.assert_answers();
    }
}

// Guards against a view that falls behind at a controller with more commits than its share of the write rate, though
// the key-value store refuses nothing: its watches waited until the budget covered these commits.
#[test]
fn questions_are_answered_at_a_controller_that_commits_more_than_its_share() {
    for seed in SEEDS {
        println!("seed {seed}");
        let w = World::build(seed, deployment());
        submit_jobs(&w, 60);
        let follower = (w.await_leader() + 1) % 3;
        let answered = Rc::new(Cell::new(0));
        let refused_before = w.rate_limited.get();
        let questions = 400;
        for n in 0..questions {
            w.spawn_submit(follower, long_running_job(1_000 + n));
            let (asker, answered) = (w.clone(), answered.clone());
            w.spawn(async move {
                let answer = asker.ask(&job_id(n % 60), follower).await;
                answered.set(answered.get() + usize::from(answer.is_ok()));
            });
            w.run(0.1);
        }
        w.run(3.0);
        assert_eq!(w.rate_limited.get(), refused_before, "refused requests");
        assert_eq!(answered.get(), questions, "answered questions");
        w.assert_invariants();
    }
}

// Guards against cancelled jobs about which no question is answered for as long as changes of jobs with a higher
// priority use up the write rate: the removal of their placements was never written.
#[test]
fn cancelled_jobs_are_answered_while_writes_of_urgent_jobs_exceed_the_write_limit() {
    for seed in SEEDS {
        println!("seed {seed}");
        let w = World::build(seed, deployment());
        let cancelled = ["j-z0", "j-z1"];
        for id in cancelled {
            let low = json!({"rank": "low", "cores": 1.0, "cards": 0.0, "ramGb": 1.0});
            w.submit(0, &with(job(id, 6, 10_000.0), low));
            let running = |w: &World| w.invariants.borrow().running(id) == 6;
            assert!(w.run_until(60.0, running), "{id} runs");
        }
        // Each takes five changes of keys until it is done.
        let urgent = json!({"rank": "urgent", "cores": 1.0, "cards": 0.0, "ramGb": 1.0});
        for n in 0..URGENT_JOBS {
            let (w2, spec) = (w.clone(), with(job(&job_id(n), 1, 6.0), urgent.clone()));
            w.spawn(async move {
                w2.sim.sleep(n as f64 * URGENT_JOB_INTERVAL_S).await;
                w2.spawn_submit(n, spec);
            });
        }
        w.run(30.0);
        for id in cancelled {
            w.spawn_cancel(1, id);
        }
        w.run(2.0);
        w.assert_answers();
        assert!(cancelled.iter().all(|id| w.is_cancel_confirmed(id)));
    }
}
