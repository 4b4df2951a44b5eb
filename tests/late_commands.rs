//! Scenarios in which copies of start commands that were executed and acknowledged reach their machines again, with whole
//! controllers in a simulated cluster and in virtual time.
//!
//! The service sends commands only in responses to heartbeats, which a worker drops after 4 s. Each scenario also runs
//! with copies that arrive as messages of their own, which a worker executes at any time while token and agent epoch
//! match. After a `clear` the worker does not know the attempt any more, so that such a copy would start it again.

mod support;

use serde_json::json;
use std::rc::Rc;
use support::world::{
    CANCEL_S, CopyDelivery, LEASE_S, RecordedCommands, World, job, machine_host, node_host, with,
};

const SEEDS: std::ops::Range<u64> = 1..6;

/// Runs a scenario with each seed and delivery of copies.
fn for_each_delivery(scenario: impl Fn(&Rc<World>, CopyDelivery)) {
    for delivery in [CopyDelivery::Response, CopyDelivery::Message] {
        for seed in SEEDS {
            println!("seed {seed} {delivery:?}");
            let w = World::new(seed, 3);
            w.caches_images.set(true);
            w.recorded_commands.replace(Some(Vec::new()));
            scenario(&w, delivery);
            w.assert_recovers(200.0);
        }
    }
}

/// Returns the start commands that were executed so far.
fn executed_starts(w: &World) -> Vec<RecordedCommands> {
    let recorded = w.recorded_commands.borrow();
    let starts = recorded
        .iter()
        .flatten()
        .filter_map(RecordedCommands::starts);
    starts.collect()
}

/// Delivers a copy of each executed start command now. Returns how many workers execute.
fn deliver_copies(w: &Rc<World>, delivery: CopyDelivery) -> usize {
    let copies = executed_starts(w);
    let executed = copies.iter().filter(|c| w.deliver_copy(c, delivery));
    executed.count()
}

/// Delivers copies several times within the next 6 s, more often at first.
fn deliver_copies_repeatedly(w: &Rc<World>, delivery: CopyDelivery) {
    for wait_s in [0.0, 0.2, 0.6, 1.2, 1.5, 2.5] {
        w.run(wait_s * (0.5 + w.sim.random()));
        deliver_copies(w, delivery);
    }
}

fn running(w: &World, id: &str) -> usize {
    w.invariants.borrow().running(id)
}

fn submit_and_await_start(w: &Rc<World>, id: &str, tasks: u32, run_time_s: f64) {
    let saves = json!({"markS": 2.0, "stowS": 0.5});
    w.submit(0, &with(job(id, tasks, run_time_s), saves));
    let runs = |w: &World| running(w, id) == tasks as usize;
    assert!(w.run_until(60.0, runs), "{id} runs");
}

#[test]
fn copy_arrives_before_and_after_the_worker_acknowledges_the_start() {
    for_each_delivery(|w, delivery| {
        w.submit(0, &job("j-0", 4, 20.0));
        let is_sent = |w: &World| !executed_starts(w).is_empty();
        assert!(w.run_until(60.0, is_sent), "the start is sent");
        assert!(deliver_copies(w, delivery) > 0, "a copy arrives in time");
        deliver_copies_repeatedly(w, delivery);
        assert_eq!(running(w, "j-0"), 4);
    });
}

#[test]
fn copy_arrives_after_a_controller_returned_within_a_second() {
    for_each_delivery(|w, delivery| {
        submit_and_await_start(w, "j-0", 4, 30.0);
        submit_and_await_start(w, "j-1", 2, 4.0);
        w.spawn_cancel(1, "j-0");
        w.run(w.sim.random() * 3.0);
        let leader = w.await_leader();
        w.kill_node(leader);
        w.run(0.2 + w.sim.random() * 0.7);
        deliver_copies(w, delivery);
        w.start_node(leader);
        deliver_copies_repeatedly(w, delivery);
    });
}

#[test]
fn copy_arrives_after_a_machine_returned_within_a_second_or_a_lease() {
    for pause_s in [0.7, LEASE_S + 1.0] {
        for_each_delivery(|w, delivery| {
            submit_and_await_start(w, "j-0", 4, 40.0);
            for machine in w.invariants.borrow().machines_of("j-0") {
                w.sim.pause(machine_host(&machine), pause_s);
            }
            w.run(pause_s);
            deliver_copies_repeatedly(w, delivery);
        });
    }
}

/// Moves the tasks of `j-0` off one of its machines, which the cloud is about to take away.
fn move_tasks(w: &Rc<World>) {
    submit_and_await_start(w, "j-0", 6, 90.0);
    w.run(3.0);
    let machines = w.invariants.borrow().machines_of("j-0");
    w.give_preemption_notice(&machines[0], 30.0);
    let moved = |w: &World| {
        let invariants = w.invariants.borrow();
        invariants.running("j-0") == 6 && !invariants.machines_of("j-0").contains(&machines[0])
    };
    assert!(w.run_until(40.0, moved), "the tasks are moved");
}

// Guards against a task that runs on two machines: a copy of its first start reaches the machine that it has left.
#[test]
fn copy_arrives_after_its_task_was_moved() {
    for_each_delivery(|w, delivery| {
        move_tasks(w);
        deliver_copies_repeatedly(w, delivery);
    });
}

// Guards against a task that runs on two machines: the machine that it has left is the leader's after a failover.
#[test]
fn copy_arrives_after_its_task_was_moved_and_a_controller_returned_within_a_second() {
    for_each_delivery(|w, delivery| {
        move_tasks(w);
        let leader = w.await_leader();
        w.sim.kill(node_host(leader));
        w.run(0.2 + w.sim.random() * 0.7);
        deliver_copies(w, delivery);
        w.start_node(leader);
        deliver_copies_repeatedly(w, delivery);
    });
}

// Guards against a cancelled task that runs again, right after its user was told and when the deadline has passed.
#[test]
fn copy_arrives_after_its_job_was_cancelled() {
    for_each_delivery(|w, delivery| {
        // The machines stay, as another job runs there.
        submit_and_await_start(w, "j-other", 3, 120.0);
        submit_and_await_start(w, "j-0", 4, 60.0);
        w.spawn_cancel(1, "j-0");
        let confirmed = |w: &World| w.is_cancel_confirmed("j-0");
        assert!(w.run_until(60.0, confirmed), "the user is told");
        deliver_copies_repeatedly(w, delivery);
        w.run(CANCEL_S);
        deliver_copies_repeatedly(w, delivery);
    });
}

// Guards against a start that is executed again right after its task was cancelled and cleared, within the time in which
// a worker accepts the response that carried it.
#[test]
fn copy_arrives_after_its_job_was_cancelled_at_once() {
    for_each_delivery(|w, delivery| {
        submit_and_await_start(w, "j-other", 3, 120.0);
        w.submit(0, &job("j-0", 1, 60.0));
        let starts = executed_starts(w).len();
        let is_sent = |w: &World| executed_starts(w).len() > starts;
        assert!(w.run_until(60.0, is_sent), "the start is sent");
        w.spawn_cancel(1, "j-0");
        for _ in 0..60 {
            w.run(0.1);
            deliver_copies(w, delivery);
        }
    });
}

#[test]
fn copy_arrives_after_its_task_completed_and_was_cleared() {
    for_each_delivery(|w, delivery| {
        submit_and_await_start(w, "j-other", 3, 120.0);
        w.submit(0, &job("j-0", 4, 2.0));
        let completed = |w: &World| w.invariants.borrow().jobs["j-0"].completed.len() == 4;
        assert!(w.run_until(60.0, completed), "it completes");
        deliver_copies_repeatedly(w, delivery);
    });
}

// Copies of whole responses, with the commands besides the starts, arrive at random times under traffic, cancellations
// and failovers.
#[test]
fn copies_of_responses_arrive_at_random_times_under_traffic() {
    for_each_delivery(|w, delivery| {
        w.traffic("a", 24, 1.2, 0.3, |id| {
            let rank = if id.ends_with(['1', '5']) {
                "critical"
            } else {
                "low"
            };
            let changes = json!({"rank": rank, "markS": 2.0, "stowS": 0.5});
            with(job(id, 1 + id.len() as u32 % 3, 10.0), changes)
        });
        w.capacity.set(3);
        for round in 0..60 {
            w.run(w.sim.random() * 2.0);
            let recorded = w.recorded_commands.borrow().clone().unwrap_or_default();
            for copy in recorded.iter().filter(|_| w.sim.random() < 0.3) {
                w.deliver_copy(copy, delivery);
            }
            if round % 20 == 10 {
                let leader = w.await_leader();
                w.kill_node(leader);
                w.run(0.5);
                w.start_node(leader);
            }
        }
    });
}
