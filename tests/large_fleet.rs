//! Scenarios of 4,200 machines: whole controllers against simulated workers, in memory and in virtual time. Worker
//! timings are those of the deployments with most machines, all other limits are the smallest of any deployment.
//!
//! The invariant checker checks each step. The key-value store and the cloud enforce their limits.

mod support;

use serde_json::{Value, json};
use std::rc::Rc;
use support::world::{Deployment, STATE, World, job, node_host, with};

/// More machines than operators run, so that every limit is met with a margin.
const MACHINES: usize = 4_200;
/// Tasks of a job that fills part of the fleet.
const TASKS: u32 = 600;
/// Number of jobs that together have one task per machine.
const JOBS: usize = 7;
const MICROS_PER_SECOND: f64 = 1e6;

fn deployment() -> Deployment {
    Deployment::large(MACHINES)
}

/// Returns a job whose tasks run longer than any scenario. Only one fits on a machine, and leaves enough free resources
/// for a small task.
fn long_running_job(n: usize) -> Value {
    let large = json!({"cores": 12.0, "cards": 3.0, "ramGb": 48.0});
    with(job(&format!("j-{n}"), TASKS, 10_000.0), large)
}

fn running_tasks(w: &World) -> usize {
    let invariants = w.invariants.borrow();
    (0..JOBS)
        .map(|n| invariants.running(&format!("j-{n}")))
        .sum()
}

/// Starts a fleet and waits until a task runs on each machine.
fn full_fleet(seed: u64) -> Rc<World> {
    let w = World::build(seed, deployment());
    for n in 0..JOBS {
        w.submit(n % 3, &long_running_job(n));
    }
    let all = JOBS * TASKS as usize;
    let filled = w.run_until(120.0, |w| running_tasks(w) == all);
    assert!(filled, "{} of {all} run", running_tasks(&w));
    assert_eq!(w.expired_leases.get(), 0);
    w
}

/// Asserts that no task was stopped, no lease expired and no machine was lost, and that a new job is accepted and
/// completes.
fn assert_undisturbed(w: &Rc<World>, name: &str) {
    assert_eq!(w.expired_leases.get(), 0, "leases");
    assert_eq!(w.running_machines().len(), MACHINES, "machines");
    assert_eq!(running_tasks(w), JOBS * TASKS as usize, "tasks");
    w.submit(0, &job(name, 100, 5.0));
    let done = |w: &World| w.invariants.borrow().jobs[name].completed.len() == 100;
    assert!(w.run_until(60.0, done), "{name} is done");
    w.assert_invariants();
}

#[test]
fn empty_fleet_scales_out_until_all_tasks_run() {
    let empty = Deployment {
        machines: 0,
        ..deployment()
    };
    let w = World::build(1, empty);
    for n in 0..JOBS {
        w.spawn_submit(n, long_running_job(n));
    }
    let started_at = w.sim.now();
    let all = JOBS * TASKS as usize;
    // A few machines never become ready, which is detected only after a while.
    let nearly_full = |w: &World| running_tasks(w) * 50 >= all * 49;
    let filled = w.run_until(300.0, nearly_full);
    assert!(filled, "{} of {all} run", running_tasks(&w));
    println!(
        "full after {:.0} s",
        (w.sim.now() - started_at) as f64 / MICROS_PER_SECOND
    );
    assert!(
        w.run_until(120.0, |w| running_tasks(w) == all),
        "{}",
        running_tasks(&w)
    );
    assert_eq!(w.expired_leases.get(), 0);
    w.assert_invariants();
}

#[test]
fn leader_failover_stops_no_running_task() {
    let w = full_fleet(2);
    let leader = w.await_leader();
    w.kill_node(leader);
    let next_leader = |w: &World| w.leader().is_some_and(|l| l != leader);
    assert!(
        w.run_until(20.0, next_leader),
        "another controller is elected"
    );
    w.run(20.0);
    w.start_node(leader);
    w.run(40.0);
    assert_undisturbed(&w, "j-new");
}

#[test]
fn full_restart_of_the_controllers_stops_no_running_task() {
    let w = full_fleet(3);
    (0..3).for_each(|n| w.kill_node(n));
    w.run(4.0);
    (0..3).for_each(|n| w.start_node(n));
    w.run(50.0);
    assert_undisturbed(&w, "j-new");
}

#[test]
fn zone_with_one_controller_is_partitioned_for_longer_than_a_lease() {
    let w = full_fleet(4);
    let zone = w.node_zone(1);
    let inside = w.zone_hosts(&zone);
    let outside = [
        STATE,
        support::world::CLOUD,
        support::world::USERS,
        node_host(0),
        node_host(2),
    ];
    w.set_partition(&outside, &inside, true);
    w.run(45.0);
    w.set_partition(&outside, &inside, false);
    w.run(40.0);
    assert_undisturbed(&w, "j-new");
}

#[test]
fn one_remaining_controller_serves_all_workers() {
    let w = full_fleet(5);
    let leader = w.await_leader();
    for n in (0..3).filter(|n| *n != leader) {
        w.kill_node(n);
    }
    // The controller has fewer sockets than there are workers.
    for second in 0..60 {
        w.run(1.0);
        if second % 10 == 0 {
            w.spawn_poll_all("j-0");
        }
    }
    assert_eq!(w.leader(), Some(leader));
    assert_undisturbed(&w, "j-new");
    for n in (0..3).filter(|n| *n != leader) {
        w.start_node(n);
    }
    w.run(40.0);
    assert_undisturbed(&w, "j-newer");
}

#[test]
fn a_hundred_thousand_short_tasks_are_submitted_at_once_and_a_quarter_is_cancelled() {
    let w = World::build(6, deployment());
    let ids: Vec<String> = (0..40).map(|n| format!("j-{n:02}")).collect();
    for (n, id) in ids.iter().enumerate() {
        w.spawn_submit(
            n,
            with(job(id, 2_500, 8.0), json!({"cores": 2.0, "cards": 0.5})),
        );
    }
    w.run(25.0);
    for (n, id) in ids.iter().enumerate().filter(|(n, _)| n % 4 == 0) {
        w.spawn_cancel(n, id);
    }
    w.assert_recovers(600.0);
    assert_eq!(w.expired_leases.get(), 0);
    println!(
        "finished after {:.0} s, {} requests rate-limited",
        w.sim.now() as f64 / MICROS_PER_SECOND,
        w.rate_limited.get()
    );
}

#[test]
fn state_service_outage_outlasts_the_cancellation_deadline() {
    let w = full_fleet(7);
    for n in 0..3 {
        w.spawn_cancel(n, &format!("j-{n}"));
    }
    w.run(1.0);
    w.set_state_outage(true);
    w.run(deployment().cancel_s + 15.0);
    w.set_state_outage(false);
    w.run(40.0);
    let invariants = w.invariants.borrow();
    for n in 0..3 {
        let id = format!("j-{n}");
        assert!(
            w.is_cancel_confirmed(&id),
            "{id} is cancelled after the outage"
        );
        assert_eq!(invariants.running(&id), 0, "{id}");
    }
    drop(invariants);
    w.assert_invariants();
}

// Guards against the overload after an outage in which questions about all jobs stay unanswered: users who waited with
// their submissions take all requests that the key-value store serves.
#[test]
fn questions_are_answered_after_an_outage_in_which_users_waited_with_their_submissions() {
    let w = full_fleet(8);
    w.set_state_outage(true);
    w.run(50.0);
    for n in 0..1_200 {
        w.spawn_submit(
            n,
            with(
                job(&format!("j-w{n:04}"), 2, 10_000.0),
                json!({"rank": "low"}),
            ),
        );
    }
    w.run(10.0);
    w.set_state_outage(false);
    w.assert_answers();
    assert_eq!(running_tasks(&w), JOBS * TASKS as usize, "tasks");
}
