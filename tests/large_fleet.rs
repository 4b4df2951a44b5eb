//! Scenarios of 4,200 machines: whole controllers against stand-in workers, in memory and in virtual time, under the smallest
//! limits of any deployment but for the times of workers, which are those of the deployments with most machines.
//!
//! The invariant checker holds every step against the protocol's rules. The state service and the cloud refuse what is
//! beyond their limits.

mod support;

use serde_json::{Value, json};
use std::rc::Rc;
use support::world::{Deployment, STATE, World, job, node_host, with};

/// More than the operators run, so that no bound is just at it.
const MACHINES: usize = 4_200;
/// Tasks of a job that fills a part of the fleet.
const TASKS: u32 = 600;
/// So many jobs have a task for each machine.
const JOBS: usize = 7;
/// Microseconds of a second.
const SECOND: f64 = 1e6;

fn deployment() -> Deployment {
    Deployment::large(MACHINES)
}

/// A job whose tasks run for as long as any scenario takes, one on a machine, and leave room for a small one.
fn lasting(n: usize) -> Value {
    let large = json!({"cores": 12.0, "cards": 3.0, "ramGb": 48.0});
    with(job(&format!("j-{n}"), TASKS, 10_000.0), large)
}

fn running(w: &World) -> usize {
    let invariants = w.invariants.borrow();
    (0..JOBS)
        .map(|n| invariants.running(&format!("j-{n}")))
        .sum()
}

/// A fleet that runs a task on each machine.
fn busy_fleet(seed: u64) -> Rc<World> {
    let w = World::build(seed, deployment());
    for n in 0..JOBS {
        w.submit(n % 3, &lasting(n));
    }
    let all = JOBS * TASKS as usize;
    let fills = w.run_until(120.0, |w| running(w) == all);
    assert!(fills, "{} of {all} run", running(&w));
    assert_eq!(w.leases_lost.get(), 0);
    w
}

/// Nothing that ran was stopped, and no machine went; users are answered and a new job runs.
fn assert_unharmed(w: &Rc<World>, name: &str) {
    assert_eq!(w.leases_lost.get(), 0, "leases");
    assert_eq!(w.machines_up().len(), MACHINES, "machines");
    assert_eq!(running(w), JOBS * TASKS as usize, "tasks");
    w.submit(0, &job(name, 100, 5.0));
    let done = |w: &World| w.invariants.borrow().jobs[name].done.len() == 100;
    assert!(w.run_until(60.0, done), "{name} is done");
    w.assert_rules();
}

#[test]
fn an_empty_fleet_fills() {
    let empty = Deployment {
        machines: 0,
        ..deployment()
    };
    let w = World::build(1, empty);
    for n in 0..JOBS {
        w.spawn_submit(n, lasting(n));
    }
    let began = w.sim.now();
    let all = JOBS * TASKS as usize;
    // Of a few machines that never come up it is known after a while only.
    let nearly_full = |w: &World| running(w) * 50 >= all * 49;
    let fills = w.run_until(300.0, nearly_full);
    assert!(fills, "{} of {all} run", running(&w));
    println!("full after {:.0} s", (w.sim.now() - began) as f64 / SECOND);
    assert!(w.run_until(120.0, |w| running(w) == all), "{}", running(&w));
    assert_eq!(w.leases_lost.get(), 0);
    w.assert_rules();
}

#[test]
fn the_leader_ends_and_nothing_that_runs_is_stopped() {
    let w = busy_fleet(2);
    let leader = w.await_leader();
    w.kill_node(leader);
    let next = |w: &World| w.leader().is_some_and(|l| l != leader);
    assert!(w.run_until(20.0, next), "another leads");
    w.run(20.0);
    w.start_node(leader);
    w.run(40.0);
    assert_unharmed(&w, "j-new");
}

#[test]
fn all_controllers_restart_at_once() {
    let w = busy_fleet(3);
    (0..3).for_each(|n| w.kill_node(n));
    w.run(4.0);
    (0..3).for_each(|n| w.start_node(n));
    w.run(50.0);
    assert_unharmed(&w, "j-new");
}

#[test]
fn a_zone_with_one_controller_is_cut_off_for_longer_than_a_lease() {
    let w = busy_fleet(4);
    let zone = w.zone_of(1);
    let inside = w.zone_hosts(&zone);
    let beyond = [
        STATE,
        support::world::CLOUD,
        support::world::USERS,
        node_host(0),
        node_host(2),
    ];
    w.cut(&beyond, &inside, true);
    w.run(45.0);
    w.cut(&beyond, &inside, false);
    w.run(40.0);
    assert_unharmed(&w, "j-new");
}

#[test]
fn one_controller_is_left_for_all_workers() {
    let w = busy_fleet(5);
    let leader = w.await_leader();
    for n in (0..3).filter(|n| *n != leader) {
        w.kill_node(n);
    }
    // There are fewer sockets than workers.
    for second in 0..60 {
        w.run(1.0);
        if second % 10 == 0 {
            w.spawn_ask_all("j-0");
        }
    }
    assert_eq!(w.leader(), Some(leader));
    assert_unharmed(&w, "j-new");
    for n in (0..3).filter(|n| *n != leader) {
        w.start_node(n);
    }
    w.run(40.0);
    assert_unharmed(&w, "j-newer");
}

#[test]
fn a_hundred_thousand_short_tasks_come_at_once_and_a_quarter_is_cancelled() {
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
    w.settle(600.0);
    assert_eq!(w.leases_lost.get(), 0);
    println!(
        "over after {:.0} s, {} refused",
        w.sim.now() as f64 / SECOND,
        w.refused.get()
    );
}

#[test]
fn the_state_service_refuses_everybody_for_longer_than_a_cancellation_may_take() {
    let w = busy_fleet(7);
    for n in 0..3 {
        w.spawn_cancel(n, &format!("j-{n}"));
    }
    w.run(1.0);
    w.state_out(true);
    w.run(deployment().cancel_s + 15.0);
    w.state_out(false);
    w.run(40.0);
    let invariants = w.invariants.borrow();
    for n in 0..3 {
        let id = format!("j-{n}");
        assert!(w.told_cancelled(&id), "{id} is cancelled in the end");
        assert_eq!(invariants.running(&id), 0, "{id}");
    }
    drop(invariants);
    w.assert_rules();
}
