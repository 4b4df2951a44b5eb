//! Whole histories by seed, pinned: what goes over the wire at which virtual time, and what is stored in the end.
//!
//! The expectations in `fixtures/pinned/histories.txt` were made by the code before it was renamed, and are never made
//! anew: a change that keeps its behaviour keeps every digest.

mod support;

use serde_json::json;
use std::rc::Rc;
use support::wire;
use support::world::{
    CANCEL_S, Deployment, Loss, Provisioning, STATE, World, job, machine_host, node_host, with,
};

const FIXTURE: &str = include_str!("fixtures/pinned/histories.txt");
const SEEDS: std::ops::Range<u64> = 1..4;

/// Plays a scenario by a seed; the line that the fixture has of it.
fn history(name: &str, seed: u64, deployment: Deployment, events: impl Fn(&Rc<World>)) -> String {
    wire::begin();
    let w = World::build(seed, deployment);
    events(&w);
    w.assert_invariants();
    let sent = wire::end();
    let keys = w.keys.borrow();
    let stored = serde_json::to_vec(&keys.keys).expect("JSON");
    let changes: Vec<_> = keys.news.iter().collect();
    let changes = serde_json::to_vec(&changes).expect("JSON");
    format!(
        "{name} seed={seed} until={} writes={} bytes={} wire={:016x} revision={} changes={:016x} keys={} stored={:016x}",
        w.sim.now(),
        sent.writes,
        sent.bytes,
        sent.digest,
        keys.epoch,
        wire::digest(&changes),
        keys.keys.len(),
        wire::digest(&stored),
    )
}

/// The histories of a scenario by all seeds are those of the fixture.
fn assert_pinned(name: &str, deployment: &Deployment, events: impl Fn(&Rc<World>)) {
    let played = SEEDS.map(|seed| history(name, seed, deployment.clone(), &events));
    let played: Vec<String> = played.inspect(|line| println!("{line}")).collect();
    let of_scenario = |line: &&str| line.split(' ').next() == Some(name);
    let pinned: Vec<&str> = FIXTURE.lines().filter(of_scenario).collect();
    assert_eq!(played, pinned);
}

/// Users come for half a minute, and cancel three in ten of their jobs.
fn users_come(w: &Rc<World>) {
    w.traffic("a", 24, 1.2, 0.3, |id| {
        let tasks = 1 + id.len() as u32 % 3 + u32::from(id.ends_with(['0', '5']));
        job(id, tasks, 12.0)
    });
    w.run(14.0);
}

#[test]
fn a_quiet_day_keeps_its_history() {
    assert_pinned("quiet", &Deployment::default(), |w| {
        users_come(w);
        w.assert_recovers(150.0);
    });
}

#[test]
fn a_change_of_leader_keeps_its_history() {
    assert_pinned("leader_ends", &Deployment::default(), |w| {
        users_come(w);
        let leader = w.await_leader();
        w.kill_node(leader);
        for n in 0..4 {
            w.spawn_cancel(n, &format!("j-a00{n}"));
        }
        w.run(3.0);
        w.start_node(leader);
        w.assert_recovers(150.0);
    });
}

#[test]
fn lost_and_late_answers_then_an_outage_of_the_state_service_keep_their_history() {
    assert_pinned("state_service_troubled", &Deployment::default(), |w| {
        {
            let mut state = w.state_faults.borrow_mut();
            (state.lost_response_rate, state.late_commit_rate) = (0.1, 0.05);
        }
        users_come(w);
        w.state_faults.replace(Default::default());
        w.set_node_refused(w.await_leader(), true);
        w.run(8.0);
        w.set_state_outage(true);
        w.run(12.0);
        w.state_faults.replace(Default::default());
        w.set_state_outage(false);
        w.assert_recovers(150.0);
    });
}

#[test]
fn a_cut_between_zones_keeps_its_history() {
    assert_pinned("zone_cut", &Deployment::default(), |w| {
        users_come(w);
        let (inside, beyond) = (w.zone_hosts("z1"), w.hosts_outside_zone("z1"));
        w.set_partition(&inside, &beyond, true);
        w.run(20.0);
        w.set_partition(&inside, &beyond, false);
        w.assert_recovers(150.0);
    });
}

#[test]
fn a_leader_with_its_workers_alone_keeps_its_history() {
    assert_pinned("leader_alone", &Deployment::default(), |w| {
        users_come(w);
        let leader = w.await_leader();
        let mut others = w.node_hosts();
        others.retain(|host| *host != node_host(leader));
        others.push(STATE);
        w.set_partition(&[node_host(leader)], &others, true);
        w.run(12.0);
        w.spawn_cancel((leader + 1) % 3, "j-a001");
        w.run(CANCEL_S);
        w.set_partition(&[node_host(leader)], &others, false);
        w.assert_recovers(150.0);
    });
}

#[test]
fn a_restart_of_all_controllers_keeps_its_history() {
    assert_pinned("full_restart", &Deployment::default(), |w| {
        users_come(w);
        (0..3).for_each(|node| w.kill_node(node));
        w.run(4.0);
        (0..3).for_each(|node| w.start_node(node));
        w.assert_recovers(150.0);
    });
}

/// Stored state is lost while jobs run, and rebuilt.
fn assert_loss_pinned(name: &str, loss: Loss) {
    let deployment = Deployment {
        rebuilds: true,
        ..Deployment::default()
    };
    assert_pinned(name, &deployment, |w| {
        users_come(w);
        w.lose_state(loss);
        w.run(60.0);
        w.assert_recovers(200.0);
    });
}

#[test]
fn the_loss_of_all_stored_state_keeps_its_history() {
    assert_loss_pinned("all_lost", Loss::All);
}

#[test]
fn the_loss_of_the_last_changes_keeps_its_history() {
    assert_loss_pinned("last_changes_lost", Loss::Changes(20));
}

#[test]
fn the_loss_of_what_runs_keeps_its_history() {
    assert_loss_pinned("runs_lost", Loss::Prefix("r/run/"));
}

#[test]
fn jobs_of_every_shape_and_priority_on_machines_that_hang_keep_their_history() {
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
        w.assert_recovers(200.0);
    });
}

#[test]
fn a_fleet_at_the_limits_of_its_services_keeps_its_history() {
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
fn five_controllers_that_end_one_after_the_other_keep_their_history() {
    let deployment = Deployment {
        nodes: 5,
        ..Deployment::default()
    };
    assert_pinned("five_controllers", &deployment, |w| {
        users_come(w);
        for n in 0..4 {
            let leader = w.await_leader();
            w.kill_node(leader);
            w.spawn_cancel(n, &format!("j-a01{n}"));
            w.run(5.0);
            w.start_node(leader);
        }
        w.assert_recovers(150.0);
    });
}

#[test]
fn a_slow_state_service_and_copies_of_reports_keep_their_history() {
    assert_pinned("slow_state_service", &Deployment::default(), |w| {
        w.duplicate_rate.set(0.2);
        w.state_faults.borrow_mut().extra_latency_s = 0.6;
        users_come(w);
        w.run(10.0);
        w.duplicate_rate.set(0.0);
        w.state_faults.replace(Default::default());
        w.assert_recovers(150.0);
    });
}

#[test]
fn a_team_at_its_limit_keeps_its_history() {
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
        w.assert_recovers(150.0);
    });
}

#[test]
fn a_loss_of_stored_state_in_an_election_keeps_its_history() {
    let deployment = Deployment {
        rebuilds: true,
        ..Deployment::default()
    };
    assert_pinned("lost_in_an_election", &deployment, |w| {
        users_come(w);
        let leader = w.await_leader();
        w.kill_node(leader);
        w.run(1.5);
        w.lose_state(Loss::All);
        w.run(5.0);
        w.start_node(leader);
        w.run(60.0);
        w.assert_recovers(200.0);
    });
}

#[test]
fn an_outage_of_the_cloud_and_machines_that_never_come_up_keep_their_history() {
    assert_pinned("cloud_out", &Deployment::default(), |w| {
        w.provisioning.set(Provisioning {
            time_s: 6.0,
            failure_rate: 0.3,
        });
        w.run(1.0);
        users_come(w);
        w.cloud_unavailable.set(true);
        w.run(20.0);
        w.cloud_unavailable.set(false);
        w.assert_recovers(200.0);
    });
}
