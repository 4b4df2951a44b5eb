//! Digests of whole simulated scenarios, compared with a fixture.
//!
//! For each scenario and seed, the digests cover all bytes on the simulated network except Date headers, with their
//! virtual times, all changes of stored keys, and the keys at the end. `fixtures/pinned/histories.txt` holds the
//! digests as released and is never regenerated: a change of the code that keeps the behaviour keeps every digest.
//! `histories_without_cancellations.txt` does the same for scenarios in which no user cancels a job, so that a change
//! of how cancellations are answered can be shown to change nothing else. `histories_cancelled.txt` replaces the lines of
//! `histories.txt` for the scenarios in which running jobs are cancelled: the version that made these confirmed a
//! cancellation before the tasks were gone. `histories_ended_jobs_first.txt` replaces those of scenarios in which changes of
//! ended jobs wait among others: the version that made these wrote them in the order of priorities.
//! `histories_limited_commits.txt` replaces those of scenarios in which the key-value store refuses requests: the version
//! that made these sent refused commits again at a fixed interval, and delayed watches.

mod support;

use serde_json::json;
use std::rc::Rc;
use support::wire;
use support::world::{
    CANCEL_S, Deployment, Loss, Provisioning, STATE, World, job, machine_host, node_host, with,
};

/// The fixtures, each before those whose lines it replaces.
const FIXTURES: [&str; 5] = [
    include_str!("fixtures/pinned/histories_limited_commits.txt"),
    include_str!("fixtures/pinned/histories_ended_jobs_first.txt"),
    include_str!("fixtures/pinned/histories_cancelled.txt"),
    include_str!("fixtures/pinned/histories_without_cancellations.txt"),
    include_str!("fixtures/pinned/histories.txt"),
];
/// Fraction of the jobs that users cancel, in the scenarios with cancellations.
const CANCEL_RATE: f64 = 0.3;
const SEEDS: std::ops::Range<u64> = 1..4;

/// Runs a scenario with a seed and returns its line as in the fixture.
fn history(name: &str, seed: u64, deployment: Deployment, events: impl Fn(&Rc<World>)) -> String {
    wire::begin();
    let w = World::build(seed, deployment);
    events(&w);
    w.assert_invariants();
    let sent = wire::end();
    let keys = w.keys.borrow();
    let stored = serde_json::to_vec(&keys.entries).expect("JSON");
    let changes: Vec<_> = keys.changes.iter().collect();
    let changes = serde_json::to_vec(&changes).expect("JSON");
    format!(
        "{name} seed={seed} until={} writes={} bytes={} wire={:016x} revision={} changes={:016x} keys={} stored={:016x}",
        w.sim.now(),
        sent.writes,
        sent.bytes,
        sent.digest,
        keys.revision,
        wire::digest(&changes),
        keys.entries.len(),
        wire::digest(&stored),
    )
}

/// Asserts that a scenario has the history of the fixture with each seed.
fn assert_pinned(name: &str, deployment: &Deployment, events: impl Fn(&Rc<World>)) {
    let histories = SEEDS.map(|seed| history(name, seed, deployment.clone(), &events));
    let histories: Vec<String> = histories.inspect(|line| println!("{line}")).collect();
    let is_of_scenario = |line: &&str| line.split(' ').next() == Some(name);
    let lines = |fixture: &&'static str| fixture.lines().filter(is_of_scenario).collect();
    let mut fixtures = FIXTURES.iter().map(lines);
    let expected: Vec<&str> = fixtures
        .find(|lines: &Vec<&str>| !lines.is_empty())
        .expect("pinned");
    assert_eq!(histories, expected);
}

/// Starts users who submit 24 jobs within half a minute and cancel some of them, and runs the first 14 s.
fn run_user_traffic(w: &Rc<World>) {
    run_user_traffic_with(w, CANCEL_RATE);
}

/// Starts users who submit 24 jobs within half a minute and cancel the fraction `cancel_rate` of them, and runs the
/// first 14 s.
fn run_user_traffic_with(w: &Rc<World>, cancel_rate: f64) {
    w.traffic("a", 24, 1.2, cancel_rate, |id| {
        let tasks = 1 + id.len() as u32 % 3 + u32::from(id.ends_with(['0', '5']));
        job(id, tasks, 12.0)
    });
    w.run(14.0);
}

#[test]
fn undisturbed_run_keeps_its_history() {
    assert_pinned("quiet", &Deployment::default(), |w| {
        run_user_traffic(w);
        w.await_recovery(150.0);
    });
}

#[test]
fn leader_crash_keeps_its_history() {
    assert_pinned("leader_ends", &Deployment::default(), |w| {
        run_user_traffic(w);
        let leader = w.await_leader();
        w.kill_node(leader);
        for n in 0..4 {
            w.spawn_cancel(n, &format!("j-a00{n}"));
        }
        w.run(3.0);
        w.start_node(leader);
        w.await_recovery(150.0);
    });
}

#[test]
fn lost_responses_and_late_commits_then_a_state_service_outage_keep_their_history() {
    assert_pinned("state_service_troubled", &Deployment::default(), |w| {
        {
            let mut state = w.state_faults.borrow_mut();
            (state.lost_response_rate, state.late_commit_rate) = (0.1, 0.05);
        }
        run_user_traffic(w);
        w.state_faults.replace(Default::default());
        w.set_node_refused(w.await_leader(), true);
        w.run(8.0);
        w.set_state_outage(true);
        w.run(12.0);
        w.state_faults.replace(Default::default());
        w.set_state_outage(false);
        w.await_recovery(150.0);
    });
}

#[test]
fn zone_partition_keeps_its_history() {
    assert_pinned("zone_cut", &Deployment::default(), |w| {
        run_user_traffic(w);
        let (inside, outside) = (w.zone_hosts("z1"), w.hosts_outside_zone("z1"));
        w.set_partition(&inside, &outside, true);
        w.run(20.0);
        w.set_partition(&inside, &outside, false);
        w.await_recovery(150.0);
    });
}

#[test]
fn leader_that_reaches_only_workers_keeps_its_history() {
    assert_pinned("leader_alone", &Deployment::default(), |w| {
        run_user_traffic(w);
        let leader = w.await_leader();
        let mut others = w.node_hosts();
        others.retain(|host| *host != node_host(leader));
        others.push(STATE);
        w.set_partition(&[node_host(leader)], &others, true);
        w.run(12.0);
        w.spawn_cancel((leader + 1) % 3, "j-a001");
        w.run(CANCEL_S);
        w.set_partition(&[node_host(leader)], &others, false);
        w.await_recovery(150.0);
    });
}

#[test]
fn restart_of_all_controllers_keeps_its_history() {
    assert_pinned("full_restart", &Deployment::default(), |w| {
        run_user_traffic(w);
        (0..3).for_each(|node| w.kill_node(node));
        w.run(4.0);
        (0..3).for_each(|node| w.start_node(node));
        w.await_recovery(150.0);
    });
}

/// Compares a scenario in which stored state is lost while jobs run, and is rebuilt.
fn assert_state_loss_pinned(name: &str, loss: Loss) {
    let deployment = Deployment {
        rebuilds: true,
        ..Deployment::default()
    };
    assert_pinned(name, &deployment, |w| {
        run_user_traffic(w);
        w.lose_state(loss);
        w.run(60.0);
        w.await_recovery(200.0);
    });
}

#[test]
fn loss_of_all_stored_state_keeps_its_history() {
    assert_state_loss_pinned("all_lost", Loss::All);
}

#[test]
fn loss_of_the_last_changes_keeps_its_history() {
    assert_state_loss_pinned("last_changes_lost", Loss::Changes(20));
}

#[test]
fn loss_of_chunk_records_keeps_its_history() {
    assert_state_loss_pinned("runs_lost", Loss::Prefix("r/run/"));
}

#[test]
fn jobs_of_every_shape_and_priority_with_paused_machines_keep_their_history() {
    assert_pinned("every_shape", &Deployment::default(), |w| {
        let jobs = [
            json!({"shape": "gang", "rank": "low"}),
            json!({"shape": "standing", "spread": true, "loaners": false}),
            json!({"crew": "small", "rank": "critical", "yard": "z1"}),
            json!({"rank": "urgent", "together": true, "markS": 2.0, "stowS": 1.0}),
            json!({"lane": "latency", "dueS": 40.0, "reel": "other", "pullGb": 3.0}),
            json!({"cards": 0.5, "cores": 1.5, "takes": 9}),
        ];
        for (n, changes) in jobs.into_iter().enumerate() {
            let spec = with(job(&format!("j-s{n}"), 3, 10.0), changes);
            w.spawn_submit(n, spec);
            w.run(0.7);
        }
        w.run(20.0);
        for machine in w.running_machines().iter().take(2) {
            w.sim.pause(machine_host(machine), 18.0);
        }
        w.duplicate_rate.set(0.1);
        w.run(20.0);
        w.duplicate_rate.set(0.0);
        w.spawn_cancel(1, "j-s1");
        w.await_recovery(200.0);
    });
}

#[test]
fn fleet_at_the_rate_limits_of_state_service_and_cloud_keeps_its_history() {
    assert_pinned("at_the_limits", &Deployment::large(150), |w| {
        for n in 0..6 {
            w.spawn_submit(n, job(&format!("j-l{n}"), 70, 15.0));
        }
        w.run(25.0);
        w.spawn_cancel(0, "j-l5");
        w.kill_node(w.await_leader());
        w.run(45.0);
    });
}

#[test]
fn five_controllers_with_repeated_leader_crashes_keep_their_history() {
    let deployment = Deployment {
        nodes: 5,
        ..Deployment::default()
    };
    assert_pinned("five_controllers", &deployment, |w| {
        run_user_traffic(w);
        for n in 0..4 {
            let leader = w.await_leader();
            w.kill_node(leader);
            w.spawn_cancel(n, &format!("j-a01{n}"));
            w.run(5.0);
            w.start_node(leader);
        }
        w.await_recovery(150.0);
    });
}

#[test]
fn slow_state_service_and_duplicate_heartbeats_keep_their_history() {
    assert_pinned("slow_state_service", &Deployment::default(), |w| {
        w.duplicate_rate.set(0.2);
        w.state_faults.borrow_mut().extra_latency_s = 0.6;
        run_user_traffic(w);
        w.run(10.0);
        w.duplicate_rate.set(0.0);
        w.state_faults.replace(Default::default());
        w.await_recovery(150.0);
    });
}

#[test]
fn team_at_its_limit_keeps_its_history() {
    assert_pinned("team_at_its_limit", &Deployment::default(), |w| {
        for n in 0..9 {
            let spec = with(job(&format!("j-s{n}"), 2, 15.0), json!({"crew": "small"}));
            w.spawn_submit(n, spec);
        }
        w.run(25.0);
        for n in 0..5 {
            w.spawn_cancel(n, &format!("j-s{n}"));
        }
        w.run(2.0);
        w.kill_node(w.await_leader());
        w.run(5.0);
        (0..3)
            .filter(|n| !w.sim.is_running(node_host(*n)))
            .for_each(|n| w.start_node(n));
        w.await_recovery(150.0);
    });
}

#[test]
fn loss_of_stored_state_during_an_election_keeps_its_history() {
    let deployment = Deployment {
        rebuilds: true,
        ..Deployment::default()
    };
    assert_pinned("lost_in_an_election", &deployment, |w| {
        run_user_traffic(w);
        let leader = w.await_leader();
        w.kill_node(leader);
        w.run(1.5);
        w.lose_state(Loss::All);
        w.run(5.0);
        w.start_node(leader);
        w.run(60.0);
        w.await_recovery(200.0);
    });
}

#[test]
fn cloud_outage_and_failed_provisioning_keep_their_history() {
    assert_pinned("cloud_out", &Deployment::default(), |w| {
        w.provisioning.set(Provisioning {
            time_s: 6.0,
            failure_rate: 0.3,
        });
        w.run(1.0);
        run_user_traffic(w);
        w.cloud_unavailable.set(true);
        w.run(20.0);
        w.cloud_unavailable.set(false);
        w.await_recovery(200.0);
    });
}

/// Compares a scenario in which no user cancels a job: 14 s of user traffic, then the faults.
fn assert_pinned_without_cancellations(
    name: &str,
    deployment: &Deployment,
    faults: impl Fn(&Rc<World>),
) {
    assert_pinned(name, deployment, |w| {
        run_user_traffic_with(w, 0.0);
        faults(w);
        w.await_recovery(200.0);
    });
}

#[test]
fn runs_without_cancellations_keep_their_history() {
    let deployment = Deployment::default();
    assert_pinned_without_cancellations("quiet_uncancelled", &deployment, |_| ());
    assert_pinned_without_cancellations("slow_uncancelled", &deployment, |w| {
        w.duplicate_rate.set(0.2);
        w.state_faults.borrow_mut().extra_latency_s = 0.6;
        w.run(15.0);
        w.duplicate_rate.set(0.0);
        w.state_faults.replace(Default::default());
    });
}

#[test]
fn controller_failures_without_cancellations_keep_their_history() {
    let deployment = Deployment::default();
    assert_pinned_without_cancellations("leader_ends_uncancelled", &deployment, |w| {
        let leader = w.await_leader();
        w.kill_node(leader);
        w.run(3.0);
        w.start_node(leader);
    });
    assert_pinned_without_cancellations("full_restart_uncancelled", &deployment, |w| {
        (0..3).for_each(|node| w.kill_node(node));
        w.run(4.0);
        (0..3).for_each(|node| w.start_node(node));
    });
    let five = Deployment {
        nodes: 5,
        ..Deployment::default()
    };
    assert_pinned_without_cancellations("five_controllers_uncancelled", &five, |w| {
        for _ in 0..4 {
            let leader = w.await_leader();
            w.kill_node(leader);
            w.run(5.0);
            w.start_node(leader);
        }
    });
}

#[test]
fn partitions_and_outages_without_cancellations_keep_their_history() {
    let deployment = Deployment::default();
    assert_pinned_without_cancellations("zone_cut_uncancelled", &deployment, |w| {
        let (inside, outside) = (w.zone_hosts("z1"), w.hosts_outside_zone("z1"));
        w.set_partition(&inside, &outside, true);
        w.run(20.0);
        w.set_partition(&inside, &outside, false);
    });
    assert_pinned_without_cancellations("state_service_uncancelled", &deployment, |w| {
        w.set_node_refused(w.await_leader(), true);
        w.run(8.0);
        w.set_state_outage(true);
        w.run(12.0);
        w.state_faults.replace(Default::default());
        w.set_state_outage(false);
    });
    assert_pinned_without_cancellations("paused_uncancelled", &deployment, |w| {
        w.cloud_unavailable.set(true);
        for machine in w.running_machines().iter().take(2) {
            w.sim.pause(machine_host(machine), 18.0);
        }
        w.run(20.0);
        w.cloud_unavailable.set(false);
    });
}
