//! Scenarios in which two or more faults coincide, with whole controllers in a simulated cluster and in virtual time.
//!
//! The invariant checker checks each step. A scenario injects faults and states what else it expects.

mod support;

use serde_json::json;
use std::rc::Rc;
use support::world::{
    CANCEL_S, CLOUD, LEASE_S, Provisioning, STATE, World, job, machine_host, node_host, with,
};

/// Seeds with which each scenario runs.
const SEEDS: std::ops::Range<u64> = 1..4;

#[test]
fn same_seed_reproduces_the_same_run() {
    let run = |seed| {
        let w = World::new(seed, 3);
        w.traffic("a", 10, 1.0, 0.3, |id| job(id, 3, 6.0));
        w.run(20.0);
        w.kill_node(w.await_leader());
        w.run(20.0);
        w.assert_invariants();
        w.invariants.take().event_log.join("\n")
    };
    let first = run(1);
    assert!(first.lines().count() > 100, "{first}");
    assert_eq!(first, run(1));
    assert_ne!(first, run(2));
}

/// Runs a scenario with all seeds: users submit 24 jobs in about 29 s, `faults` run from 14 s on, and from 10 s after
/// their end the cluster has 150 s to recover.
fn run_scenario(faults: impl Fn(&Rc<World>)) {
    for seed in SEEDS {
        println!("seed {seed}");
        let w = World::new(seed, 3);
        w.traffic("a", 24, 1.2, 0.3, |id| {
            let tasks = 1 + id.len() as u32 % 3 + u32::from(id.ends_with(['0', '5']));
            job(id, tasks, 12.0)
        });
        w.run(14.0);
        faults(&w);
        w.run(10.0);
        w.assert_recovers(150.0);
    }
}

/// Returns the controllers other than the leader.
fn followers(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

/// Kills the leader, restarts it after `down_s` seconds and returns it.
fn restart_leader(w: &Rc<World>, down_s: f64) -> usize {
    let leader = w.await_leader();
    w.kill_node(leader);
    w.run(down_s);
    w.start_node(leader);
    leader
}

#[test]
fn jobs_complete_without_faults() {
    run_scenario(|_| ());
}

#[test]
fn user_requests_race_with_completion_of_the_last_task() {
    for seed in SEEDS {
        let w = World::new(seed, 3);
        for n in 0..12 {
            let id = format!("j-{n}");
            let spec = job(&id, 1 + n % 2, 3.0);
            w.submit(0, &spec);
            let tasks = spec["takes"].as_u64().expect("a number") as usize;
            let completed = |w: &World| w.invariants.borrow().jobs[&id].completed.len() == tasks;
            assert!(w.run_until(60.0, completed), "{id} completes");
            w.run(w.sim.random() * 0.4);
            // Some jobs are cancelled, some are submitted again, and all are queried at all controllers repeatedly.
            if n % 3 == 0 {
                w.spawn_cancel(w.sim.random_below(3), &id);
            }
            if n % 3 == 1 {
                w.spawn_submit(w.sim.random_below(3), spec);
            }
            for _ in 0..20 {
                w.spawn_poll_all(&id);
                w.run(0.03);
            }
        }
        w.assert_recovers(30.0);
    }
}

#[test]
fn all_controllers_agree_right_after_a_job_is_accepted_done_or_cancelled() {
    for (lost_response_rate, late_commit_rate) in [(0.0, 0.0), (0.3, 0.0), (0.0, 0.15)] {
        for seed in SEEDS {
            let w = World::new(seed, 3);
            {
                let mut faults = w.state_faults.borrow_mut();
                (faults.lost_response_rate, faults.late_commit_rate) =
                    (lost_response_rate, late_commit_rate);
            }
            for n in 0..10 {
                let id = format!("j-{n}");
                let spec = job(&id, 2, 4.0);
                w.spawn_submit(n, spec.clone());
                if n % 3 == 0 {
                    w.run(0.02);
                    w.spawn_cancel(n + 1, &id);
                }
                for _ in 0..30 {
                    w.spawn_poll_all(&id);
                    w.run(0.02);
                }
                w.spawn_submit(n + 1, spec);
                if n % 3 == 1 {
                    w.run(5.0);
                    w.spawn_cancel(n + 2, &id);
                    for _ in 0..30 {
                        w.spawn_poll_all(&id);
                        w.run(0.02);
                    }
                }
            }
            w.state_faults.replace(Default::default());
            w.assert_recovers(90.0);
        }
    }
}

/// Brings a team to its limit, with twice as many of its tasks waiting, and returns the names of its jobs.
fn reach_quota(w: &Rc<World>) -> Vec<String> {
    let ids: Vec<String> = (0..9).map(|n| format!("j-s{n}")).collect();
    for id in &ids {
        let spec = with(job(id, 2, 25.0), json!({"crew": "small"}));
        w.submit(w.sim.random_below(3), &spec);
    }
    let full = |w: &World| {
        let invariants = w.invariants.borrow();
        ids.iter().map(|id| invariants.running(id)).sum::<usize>() == 6
    };
    assert!(w.run_until(60.0, full), "the team is at its limit");
    ids
}

#[test]
fn quota_holds_while_jobs_on_paused_or_partitioned_machines_are_cancelled_during_failover() {
    for pause in [true, false] {
        for seed in SEEDS {
            let w = World::new(seed, 3);
            let ids = reach_quota(&w);
            let machines: Vec<String> = {
                let invariants = w.invariants.borrow();
                ids.iter()
                    .flat_map(|id| invariants.machines_of(id))
                    .collect()
            };
            let hosts: Vec<_> = machines.iter().map(|m| machine_host(m)).collect();
            if pause {
                for host in &hosts {
                    w.sim.pause(*host, 3.0 + w.sim.random() * 25.0);
                }
            } else {
                w.set_partition(&hosts, &w.node_hosts(), true);
            }
            for id in ids.iter().take(5) {
                w.spawn_cancel(w.sim.random_below(3), id);
            }
            w.run(w.sim.random() * 2.0);
            restart_leader(&w, 3.0);
            w.spawn_cancel(w.sim.random_below(3), &ids[5]);
            w.run(8.0);
            w.set_partition(&hosts, &w.node_hosts(), false);
            w.assert_recovers(150.0);
        }
    }
}

#[test]
fn new_leader_cancels_jobs_while_the_old_one_reaches_only_workers_and_users() {
    run_scenario(|w| {
        let leader = w.await_leader();
        let [a, b] = followers(leader);
        let others = [STATE, node_host(a), node_host(b)];
        w.set_partition(&[node_host(leader)], &others, true);
        let next_leader = |w: &World| w.leader().is_some_and(|l| l != leader);
        assert!(
            w.run_until(20.0, next_leader),
            "another controller is elected"
        );
        for n in 0..6 {
            w.spawn_cancel(a, &format!("j-a00{n}"));
        }
        w.run(CANCEL_S);
        w.set_partition(&[node_host(leader)], &others, false);
    });
}

/// Heartbeats from before some tasks started are delivered to each remaining controller, at once or some seconds after
/// a new leader's election. Meanwhile the machines of these tasks are paused, or reach no controller, so that no newer
/// heartbeat of theirs arrives.
#[test]
fn stale_heartbeats_arrive_at_or_after_the_election_of_a_new_leader() {
    for pause in [true, false] {
        for delay_s in [0.0, 1.0, 4.0] {
            run_scenario(|w| {
                w.recorded_heartbeats.replace(Some(Vec::new()));
                w.run(3.0);
                let heartbeats = w.recorded_heartbeats.take().expect("recorded heartbeats");
                for n in 0..4 {
                    w.submit(n % 3, &job(&format!("j-n{n}"), 3, 30.0));
                }
                let running = |w: &World| {
                    (0..4).all(|n| w.invariants.borrow().running(&format!("j-n{n}")) == 3)
                };
                assert!(w.run_until(40.0, running), "the new jobs run");
                let machines_of = |n: usize| w.invariants.borrow().machines_of(&format!("j-n{n}"));
                let machines: Vec<String> = (0..4).flat_map(machines_of).collect();
                let failed_leader = w.await_leader();
                w.kill_node(failed_leader);
                for machine in machines.iter().filter(|_| pause) {
                    w.sim.pause(machine_host(machine), LEASE_S - 1.0);
                }
                if !pause {
                    set_machine_links_blocked(w, &machines, BlockedDirection::ToControllers, true);
                }
                let next_leader = |w: &World| w.leader().is_some_and(|l| l != failed_leader);
                assert!(
                    w.run_until(20.0, next_leader),
                    "another controller is elected"
                );
                w.run(delay_s);
                for body in heartbeats {
                    for node in followers(failed_leader) {
                        w.send_duplicate(node, body.clone(), 0.0);
                    }
                }
                w.run(4.0);
                set_machine_links_blocked(w, &machines, BlockedDirection::ToControllers, false);
                w.start_node(failed_leader);
            });
        }
    }
}

#[test]
fn transactions_without_a_response_commit_at_once_or_late() {
    for (lost_response_rate, late_commit_rate) in [(0.0, 0.25), (0.35, 0.0), (0.15, 0.15)] {
        run_scenario(|w| {
            {
                let mut faults = w.state_faults.borrow_mut();
                (faults.lost_response_rate, faults.late_commit_rate) =
                    (lost_response_rate, late_commit_rate);
            }
            w.run(15.0);
            restart_leader(w, 0.4);
            w.run(15.0);
            w.state_faults.replace(Default::default());
        });
    }
}

#[test]
fn zone_with_a_controller_is_partitioned_for_longer_than_a_lease() {
    run_scenario(|w| {
        let zone = w.node_zone(w.sim.random_below(2));
        let (inside, outside) = (w.zone_hosts(&zone), w.hosts_outside_zone(&zone));
        w.set_partition(&inside, &outside, true);
        w.run(2.0);
        for n in 0..4 {
            w.spawn_cancel(w.sim.random_below(3), &format!("j-a00{n}"));
        }
        w.run(LEASE_S * 2.0);
        w.set_partition(&inside, &outside, false);
    });
}

#[test]
fn leader_fails_at_four_single_task_jobs_per_second_with_a_quarter_cancelled() {
    for seed in SEEDS {
        let w = World::new(seed, 3);
        w.traffic("b", 160, 0.25, 0.25, |id| job(id, 1, 3.0));
        w.run(20.0);
        restart_leader(&w, 2.0);
        w.run(25.0);
        w.assert_recovers(120.0);
    }
}

#[test]
fn all_controllers_are_down_for_less_or_longer_than_a_lease() {
    for down_s in [1.0, LEASE_S * 1.5] {
        run_scenario(|w| {
            for node in 0..3 {
                w.kill_node(node);
            }
            w.run(down_s);
            for node in 0..3 {
                w.run(w.sim.random());
                w.start_node(node);
            }
        });
    }
}

#[test]
fn duplicate_heartbeats_arrive_seconds_to_more_than_a_lease_later() {
    run_scenario(|w| {
        w.duplicate_rate.set(0.4);
        // The leases of these workers expire, and they start a new agent epoch.
        for machine in w.running_machines().iter().take(3) {
            w.sim.pause(machine_host(machine), LEASE_S + 2.0);
        }
        w.run(15.0);
        restart_leader(w, 1.0);
        w.run(20.0);
        w.duplicate_rate.set(0.0);
    });
}

/// Which links between machines and controllers are blocked.
#[derive(Debug, Clone, Copy, PartialEq)]
enum BlockedDirection {
    /// Heartbeats arrive, responses do not.
    ToMachines,
    /// Heartbeats do not arrive.
    ToControllers,
    /// Both directions are blocked.
    Both,
}

fn set_machine_links_blocked(
    w: &Rc<World>,
    machines: &[String],
    direction: BlockedDirection,
    blocked: bool,
) {
    for machine in machines {
        for node in w.node_hosts() {
            if direction != BlockedDirection::ToControllers {
                w.sim.block(node, machine_host(machine), blocked);
            }
            if direction != BlockedDirection::ToMachines {
                w.sim.block(machine_host(machine), node, blocked);
            }
        }
    }
}

#[test]
fn leader_fails_during_one_way_and_two_way_partitions_of_machines() {
    for direction in [
        BlockedDirection::ToMachines,
        BlockedDirection::ToControllers,
        BlockedDirection::Both,
    ] {
        for duration_s in [3.0, 6.0, LEASE_S * 1.5] {
            run_scenario(|w| {
                println!("{direction:?} {duration_s}");
                let running = w.running_machines();
                let affected = &running[..running.len().div_ceil(2)];
                set_machine_links_blocked(w, affected, direction, true);
                w.run(w.sim.random() * 2.0);
                w.spawn_cancel(w.sim.random_below(3), "j-a001");
                restart_leader(w, 1.5);
                w.spawn_cancel(w.sim.random_below(3), "j-a002");
                w.run(duration_s);
                set_machine_links_blocked(w, affected, direction, false);
            });
        }
    }
}

#[test]
fn jobs_with_zone_constraints_lose_machines() {
    for seed in SEEDS {
        let w = World::new(seed, 3);
        for n in 0..9 {
            let changes = match n % 3 {
                0 => json!({"yard": "z1"}),
                1 => json!({"together": true}),
                _ => json!({"spread": true, "takes": 3}),
            };
            w.submit(n % 3, &with(job(&format!("j-{n}"), 3, 10.0), changes));
        }
        for _ in 0..4 {
            w.run(5.0);
            let running = w.running_machines();
            if let Some(machine) = running.get(w.sim.random_below(running.len())) {
                w.remove_machine(machine);
            }
        }
        restart_leader(&w, 1.0);
        w.assert_recovers(200.0);
    }
}

#[test]
fn heartbeat_responses_are_delayed_for_seconds_and_machines_pause() {
    run_scenario(|w| {
        for _ in 0..3 {
            let running = w.running_machines();
            set_machine_links_blocked(w, &running, BlockedDirection::ToMachines, true);
            w.run(1.0 + w.sim.random() * 4.0);
            set_machine_links_blocked(w, &running, BlockedDirection::ToMachines, false);
            for machine in running.iter().step_by(2) {
                w.sim
                    .pause(machine_host(machine), 1.0 + w.sim.random() * 8.0);
            }
            w.spawn_cancel(
                w.sim.random_below(3),
                &format!("j-a00{}", w.sim.random_below(10)),
            );
            w.run(6.0);
        }
    });
}

#[test]
fn state_service_is_slow_then_refuses_the_leader_then_all_controllers() {
    run_scenario(|w| {
        w.state_faults.borrow_mut().extra_latency_s = 0.3;
        w.run(12.0);
        w.state_faults.borrow_mut().extra_latency_s = 0.0;
        let leader = w.await_leader();
        w.set_node_refused(leader, true);
        for n in 0..6 {
            w.spawn_cancel(w.sim.random_below(3), &format!("j-a00{n}"));
            w.spawn_poll_all(&format!("j-a00{n}"));
        }
        w.run(w.sim.random() * 2.0);
        w.set_state_outage(true);
        w.run(CANCEL_S + 5.0);
        w.set_state_outage(false);
        w.set_node_refused(leader, false);
    });
}

#[test]
fn jobs_are_cancelled_during_leader_failover() {
    for mean_down_s in [0.2, 4.0] {
        run_scenario(|w| {
            let mut next = 0;
            for _ in 0..2 {
                let leader = w.await_leader();
                w.kill_node(leader);
                for _ in 0..8 {
                    w.spawn_cancel(w.sim.random_below(3), &format!("j-a{next:03}"));
                    next += 1;
                    w.run(w.sim.random() * mean_down_s / 4.0);
                }
                w.start_node(leader);
                w.run(4.0);
            }
        });
    }
}

#[test]
fn ten_leader_failovers_in_two_minutes_with_a_state_service_outage() {
    run_scenario(|w| {
        for round in 0..10 {
            let leader = w.leader().unwrap_or(round % 3);
            w.kill_node(leader);
            if round == 4 {
                w.set_state_outage(true);
            }
            w.spawn_cancel(w.sim.random_below(3), &format!("j-a{round:03}"));
            w.run(w.sim.random() * 6.0);
            w.start_node(leader);
            w.run(3.0 + w.sim.random() * 3.0);
            if round == 6 {
                w.set_state_outage(false);
            }
        }
    });
}

#[test]
fn repeated_failovers_then_all_controllers_fail_and_one_restarts_during_its_election() {
    run_scenario(|w| {
        for _ in 0..3 {
            restart_leader(w, 0.1);
            w.run(w.sim.random() * 3.0);
        }
        for node in 0..3 {
            w.kill_node(node);
        }
        w.run(0.3);
        let first = w.sim.random_below(3);
        w.start_node(first);
        // It is killed again during its election.
        w.run(w.sim.random() * 0.3);
        w.kill_node(first);
        w.run(0.2);
        w.start_node(first);
        w.run(6.0);
        for node in followers(first) {
            w.start_node(node);
        }
    });
}

#[test]
fn machines_provisioned_within_two_seconds_during_late_commits_and_leader_failovers() {
    for seed in SEEDS {
        let w = World::new(seed, 3);
        w.provisioning.set(Provisioning {
            time_s: 1.0,
            failure_rate: 0.1,
        });
        w.traffic("q", 20, 0.8, 0.3, |id| job(id, 3, 5.0));
        w.run(0.5);
        w.state_faults.borrow_mut().late_commit_rate = 0.3;
        for _ in 0..3 {
            w.run(1.0 + w.sim.random() * 2.0);
            restart_leader(&w, 0.5);
        }
        w.run(10.0);
        w.state_faults.replace(Default::default());
        w.assert_recovers(150.0);
    }
}

#[test]
fn urgent_and_low_priority_jobs_exceed_capacity_over_slow_links() {
    for seed in SEEDS {
        let w = World::new(seed, 3);
        w.capacity.set(3);
        w.sim.latency.set(150_000);
        w.traffic("o", 30, 1.0, 0.1, |id| {
            let rank = if id.ends_with(['1', '4', '7']) {
                "urgent"
            } else {
                "low"
            };
            with(
                job(id, 4, 6.0),
                json!({"rank": rank, "markS": 2.0, "stowS": 0.5}),
            )
        });
        w.run(25.0);
        restart_leader(&w, 2.0);
        w.run(15.0);
        w.sim.latency.set(500);
        w.assert_recovers(240.0);
    }
}

#[test]
fn tasks_of_a_job_complete_far_apart_across_leader_failovers() {
    for seed in SEEDS {
        let w = World::new(seed, 3);
        for n in 0..4 {
            w.submit(n, &job(&format!("j-{n}"), 3, 20.0));
        }
        // A machine with a task of the first job is paused, so that the tasks on it complete late.
        let first_machine = |w: &World| w.invariants.borrow().machines_of("j-0").first().cloned();
        assert!(
            w.run_until(60.0, |w| first_machine(w).is_some()),
            "the first job runs"
        );
        let machine = first_machine(&w).expect("a machine");
        w.run(4.0);
        w.sim.pause(machine_host(&machine), LEASE_S - 3.0);
        for _ in 0..3 {
            restart_leader(&w, 1.0);
            w.run(6.0);
        }
        w.assert_recovers(150.0);
    }
}

#[test]
fn machine_pauses_with_cancelled_tasks_and_resumes_before_or_after_its_lease_expires() {
    for pause_s in [2.0, LEASE_S - 2.0, LEASE_S + 2.0, CANCEL_S + 20.0] {
        run_scenario(|w| {
            let running = |n: &usize| w.invariants.borrow().running(&format!("j-a{n:03}")) > 0;
            let ids: Vec<usize> = (0..24).filter(running).collect();
            for n in ids {
                let id = format!("j-a{n:03}");
                w.spawn_cancel(w.sim.random_below(3), &id);
                for machine in w.invariants.borrow().machines_of(&id) {
                    w.sim.pause(machine_host(&machine), pause_s);
                }
            }
            w.run(CANCEL_S);
        });
    }
}

/// Seconds for which a user repeats a request that is not answered.
const USER_PATIENCE_S: f64 = 60.0;
/// Seconds for which a user waits for the response to one request.
const USER_TIMEOUT_S: f64 = 5.0;

/// Creates a cluster in which two jobs run, and returns it with the machines of `j-0`.
fn world_with_two_running_jobs(seed: u64) -> (Rc<World>, Vec<String>) {
    let w = World::new(seed, 3);
    for (id, tasks) in [("j-0", 6), ("j-1", 4)] {
        w.submit(0, &job(id, tasks, 150.0));
        let running = |w: &World| w.invariants.borrow().running(id) == tasks as usize;
        assert!(w.run_until(60.0, running), "{id} runs");
    }
    w.run(3.0);
    let machines = w.invariants.borrow().machines_of("j-0");
    (w, machines)
}

// Guards against "aborted" being told before a cancelled job's tasks are gone: the machines hang with them, and the
// cloud, which alone could end them, is down until the cancellation deadline would have passed.
#[test]
fn job_on_paused_machines_is_reported_aborted_only_once_its_tasks_are_gone() {
    for outage_after_s in [0.0, 6.0, 12.2, 20.0] {
        for pause_s in [LEASE_S - 2.0, 60.0] {
            for seed in SEEDS {
                println!("seed {seed} outage {outage_after_s} pause {pause_s}");
                let (w, machines) = world_with_two_running_jobs(seed);
                for machine in &machines {
                    w.sim.pause(machine_host(machine), pause_s);
                }
                w.spawn_cancel(1, "j-0");
                w.run(outage_after_s);
                w.cloud_unavailable.set(true);
                w.run(CANCEL_S + 1.5 - outage_after_s);
                w.cloud_unavailable.set(false);
                w.assert_invariants();
                let rest_s = USER_PATIENCE_S - CANCEL_S - 1.5;
                assert!(
                    w.run_until(rest_s, |w| w.is_cancel_confirmed("j-0")),
                    "the user is answered while it repeats the request"
                );
                w.assert_recovers(200.0);
            }
        }
    }
}

// Guards against users being left without an answer: on machines that respond, the first request gets it.
#[test]
fn running_job_is_reported_aborted_within_one_request_of_its_user() {
    for seed in SEEDS {
        let (w, _) = world_with_two_running_jobs(seed);
        w.spawn_cancel(w.sim.random_below(3), "j-0");
        assert!(
            w.run_until(USER_TIMEOUT_S, |w| w.is_cancel_confirmed("j-0")),
            "seed {seed}: the first request is answered"
        );
        w.assert_recovers(200.0);
    }
}

// Guards against users being left without an answer for as long as the key-value store is unavailable: the leader has
// proof of its own that the tasks are gone.
#[test]
fn cancellation_before_a_state_service_outage_is_confirmed_during_the_outage() {
    for seed in SEEDS {
        let (w, _) = world_with_two_running_jobs(seed);
        w.spawn_cancel(w.sim.random_below(3), "j-0");
        let recorded = |w: &World| w.keys.borrow().entries.contains_key("r/end/j-0");
        assert!(w.run_until(5.0, recorded), "seed {seed}");
        // Every controller has read the end by then.
        w.run(0.2);
        w.set_state_outage(true);
        let confirmed = |w: &World| w.is_cancel_confirmed("j-0");
        assert!(w.run_until(USER_PATIENCE_S, confirmed), "seed {seed}");
        w.set_state_outage(false);
        w.assert_recovers(200.0);
    }
}

// Guards against a user who waits for as long as the leader's way to the cloud is interrupted: the other controllers
// terminate the machine that hangs with the job's tasks.
#[test]
fn paused_machine_is_terminated_by_another_controller_if_the_leader_cannot_reach_the_cloud() {
    for seed in SEEDS {
        let (w, machines) = world_with_two_running_jobs(seed);
        let leader = w.await_leader();
        w.set_partition(&[node_host(leader)], &[CLOUD], true);
        for machine in &machines {
            w.sim.pause(machine_host(machine), 2.0 * USER_PATIENCE_S);
        }
        w.spawn_cancel(followers(leader)[0], "j-0");
        let confirmed = |w: &World| w.is_cancel_confirmed("j-0");
        assert!(w.run_until(USER_PATIENCE_S, confirmed), "seed {seed}");
        w.set_partition(&[node_host(leader)], &[CLOUD], false);
        w.assert_recovers(200.0);
    }
}

// Guards against machines being terminated for a cancellation although they respond: only the paused one is.
#[test]
fn only_the_paused_machine_is_terminated_for_a_cancellation() {
    for seed in SEEDS {
        let (w, machines) = world_with_two_running_jobs(seed);
        let busy = w.invariants.borrow().machines_of("j-1");
        let paused = machines.iter().find(|m| !busy.contains(m));
        let paused = paused.unwrap_or(&machines[0]);
        w.sim.pause(machine_host(paused), CANCEL_S);
        w.spawn_cancel(1, "j-0");
        let confirmed = |w: &World| w.is_cancel_confirmed("j-0");
        assert!(w.run_until(CANCEL_S, confirmed), "seed {seed}");
        let left = w.running_machines();
        assert!(!left.contains(paused), "seed {seed}: {paused} is left");
        let is_kept = |m: &String| m == paused || left.contains(m);
        assert!(busy.iter().all(is_kept), "seed {seed}: {busy:?}, {left:?}");
        w.assert_recovers(200.0);
    }
}

/// What isolates the leader from the key-value store, and from which other hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LeaderIsolation {
    /// The key-value store refuses only the leader.
    StateRefused,
    /// The leader reaches neither the key-value store nor any other controller.
    WorkersOnly,
    /// The leader reaches neither the key-value store nor one of the other controllers.
    OnePeer,
    /// The leader's zone, with its machines, is partitioned from all other hosts.
    Zone,
}

/// An additional fault.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ExtraFault {
    None,
    /// The leader is killed 1.5 s into the outage, once it has been told of the cancellations, and restarted 0.3 s
    /// later.
    LeaderRestarts,
    /// The controller that confirmed a cancellation is killed right after and restarted 4 s into the outage.
    ConfirmerRestarts,
    /// Some transactions commit late and without a response.
    LateCommits,
    /// Machines with tasks of a cancelled job are paused for the given seconds, less or more than their lease.
    MachinesPause(f64),
}

/// Cancels running jobs through another controller while the leader is isolated. Then the key-value store is
/// unavailable to all for longer than the cancellation deadline, while workers keep sending heartbeats to the
/// controllers that they reach.
fn cancel_while_leader_is_isolated(seed: u64, isolation: LeaderIsolation, extra: ExtraFault) {
    let w = World::new(seed, 3);
    for n in 0..6 {
        w.submit(n % 3, &job(&format!("j-{n}"), 4, 300.0));
    }
    let running = |w: &World| (0..6).all(|n| w.invariants.borrow().running(&format!("j-{n}")) == 4);
    assert!(w.run_until(60.0, running), "the jobs run");
    let leader = w.await_leader();
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let set_isolated = |w: &World, isolated: bool| match isolation {
        LeaderIsolation::StateRefused => w.set_node_refused(leader, isolated),
        LeaderIsolation::WorkersOnly => w.set_partition(
            &[node_host(leader)],
            &[STATE, node_host(others[0]), node_host(others[1])],
            isolated,
        ),
        LeaderIsolation::OnePeer => w.set_partition(
            &[node_host(leader)],
            &[STATE, node_host(others[1])],
            isolated,
        ),
        LeaderIsolation::Zone => {
            let zone = w.node_zone(leader);
            w.set_partition(&w.zone_hosts(&zone), &w.hosts_outside_zone(&zone), isolated);
        }
    };
    set_isolated(&w, true);
    if extra == ExtraFault::LateCommits {
        w.state_faults.borrow_mut().late_commit_rate = 0.3;
    }
    w.run(w.sim.random());
    let confirmer = others[w.sim.random_below(2)];
    for n in 0..5 {
        w.spawn_cancel(confirmer, &format!("j-{n}"));
    }
    let any_confirmed = |w: &World| (0..5).any(|n| w.is_cancel_confirmed(&format!("j-{n}")));
    w.run_until(1.5, any_confirmed);
    if extra == ExtraFault::ConfirmerRestarts {
        w.kill_node(confirmer);
    }
    w.run(w.sim.random() * 0.5);
    w.set_state_outage(true);
    match extra {
        ExtraFault::LeaderRestarts => {
            w.run(1.5);
            w.kill_node(leader);
            w.run(0.3);
            w.start_node(leader);
        }
        ExtraFault::ConfirmerRestarts => {
            w.run(4.0);
            w.start_node(confirmer);
        }
        ExtraFault::MachinesPause(pause_s) => {
            for machine in w.invariants.borrow().machines_of("j-1") {
                w.sim.pause(machine_host(&machine), pause_s);
            }
        }
        ExtraFault::None | ExtraFault::LateCommits => {}
    }
    w.run(CANCEL_S * 1.5);
    w.assert_invariants();
    w.set_state_outage(false);
    w.state_faults.borrow_mut().late_commit_rate = 0.0;
    set_isolated(&w, false);
    for n in 0..5 {
        assert!(
            w.run_until(30.0, |w| w.is_cancel_confirmed(&format!("j-{n}"))),
            "j-{n} is cancelled after recovery"
        );
    }
    w.spawn_cancel(0, "j-5");
    w.assert_recovers(60.0);
}

fn cancel_with_each_extra_fault(isolation: LeaderIsolation) {
    let extra = [
        ExtraFault::None,
        ExtraFault::LeaderRestarts,
        ExtraFault::ConfirmerRestarts,
        ExtraFault::LateCommits,
        ExtraFault::MachinesPause(8.0),
        ExtraFault::MachinesPause(60.0),
    ];
    for (n, extra) in extra.into_iter().enumerate() {
        // Two more base seeds give further cases. 115: another controller is elected just before the outage, and is
        // isolated too. 200: the controller that confirmed the cancellations is the only one that is not isolated.
        for seed in SEEDS.chain([115, 200]) {
            println!("{isolation:?} {extra:?} {seed}");
            cancel_while_leader_is_isolated(10 * n as u64 + seed, isolation, extra);
        }
    }
}

#[test]
fn cancel_with_the_leader_refused_by_the_state_service_before_an_outage() {
    cancel_with_each_extra_fault(LeaderIsolation::StateRefused);
}

#[test]
fn cancel_with_the_leader_reaching_only_workers_before_an_outage() {
    cancel_with_each_extra_fault(LeaderIsolation::WorkersOnly);
}

#[test]
fn cancel_with_the_leader_cut_from_the_state_service_and_one_controller_before_an_outage() {
    cancel_with_each_extra_fault(LeaderIsolation::OnePeer);
}

#[test]
fn cancel_with_the_leaders_zone_partitioned_before_an_outage() {
    cancel_with_each_extra_fault(LeaderIsolation::Zone);
}

// Guards against tasks that are started again or stopped by a restart of all controllers: each returns at its own time,
// the key-value store is slow or refuses one of them, and duplicates of old heartbeats arrive.
#[test]
fn running_tasks_are_neither_restarted_nor_stopped_by_a_full_restart() {
    for (extra_latency_s, refused, restart_delays_s) in [
        (0.0, None, [0.0, 0.0, 0.0]),
        (0.3, None, [0.0, 1.0, 2.0]),
        (0.0, Some(0), [0.0, 0.5, 1.5]),
    ] {
        for seed in SEEDS {
            let w = World::new(seed, 3);
            for n in 0..6 {
                w.spawn_submit(n, job(&format!("j-{n}"), 3, 90.0));
            }
            let all_run = |w: &World| w.invariants.borrow().starts == 18;
            assert!(w.run_until(60.0, all_run), "all tasks start");
            w.run(3.0);
            w.duplicate_rate.set(0.3);
            w.spawn_cancel(1, "j-5");
            assert!(w.run_until(10.0, |w| w.is_cancel_confirmed("j-5")));
            (0..3).for_each(|node| w.kill_node(node));
            w.run(1.0);
            w.state_faults.borrow_mut().extra_latency_s = extra_latency_s;
            if let Some(node) = refused {
                w.set_node_refused(node, true);
            }
            for (node, delay_s) in restart_delays_s.into_iter().enumerate() {
                w.run(delay_s);
                w.start_node(node);
            }
            w.run(20.0);
            w.state_faults.borrow_mut().extra_latency_s = 0.0;
            if let Some(node) = refused {
                w.set_node_refused(node, false);
            }
            w.run(20.0);
            let starts = w.invariants.borrow().starts;
            assert_eq!(starts, 18, "seed {seed}: no task is started again");
            w.duplicate_rate.set(0.0);
            w.assert_recovers(150.0);
            let invariants = w.invariants.borrow();
            for n in 0..5 {
                let completed = invariants.jobs[&format!("j-{n}")].completed.len();
                assert_eq!(completed, 3, "j-{n} completes without a second start");
            }
            assert_eq!(invariants.starts, 18);
        }
    }
}
