//! Scenarios of whole controllers in one world, in memory and in virtual time: what happens when two troubles meet.
//!
//! The invariant checker holds every step against the protocol's rules; a scenario is its events and what else it expects.

mod support;

use serde_json::json;
use std::rc::Rc;
use support::world::{Boots, CANCEL_S, LEASE_S, STATE, World, job, machine_host, node_host, with};

/// Seeds over which a scenario is told.
const SEEDS: std::ops::Range<u64> = 1..4;

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed| {
        let w = World::new(seed, 3);
        w.traffic("a", 10, 1.0, 0.3, |id| job(id, 3, 6.0));
        w.run(20.0);
        w.kill_node(w.await_leader());
        w.run(20.0);
        w.assert_rules();
        w.invariants.take().record.join("\n")
    };
    let first = run(1);
    assert!(first.lines().count() > 100, "{first}");
    assert_eq!(first, run(1));
    assert_ne!(first, run(2));
}

/// Tells a scenario over all seeds: users come for some 40 s, then the events, then all must be well.
fn play(events: impl Fn(&Rc<World>)) {
    for seed in SEEDS {
        println!("seed {seed}");
        let w = World::new(seed, 3);
        w.traffic("a", 24, 1.2, 0.3, |id| {
            let tasks = 1 + id.len() as u32 % 3 + u32::from(id.ends_with(['0', '5']));
            job(id, tasks, 12.0)
        });
        w.run(14.0);
        events(&w);
        w.run(10.0);
        w.settle(150.0);
    }
}

/// The controllers that don't lead.
fn followers(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

/// The leader ends, and is back after some seconds.
fn change_leader(w: &Rc<World>, back_after: f64) -> usize {
    let leader = w.await_leader();
    w.kill_node(leader);
    w.run(back_after);
    w.start_node(leader);
    leader
}

#[test]
fn a_quiet_day() {
    play(|_| ());
}

#[test]
fn users_meet_the_end_of_a_jobs_last_task() {
    for seed in SEEDS {
        let w = World::new(seed, 3);
        for n in 0..12 {
            let id = format!("j-{n}");
            let spec = job(&id, 1 + n % 2, 3.0);
            w.submit(0, &spec);
            let all = spec["takes"].as_u64().expect("a number") as usize;
            let over = |w: &World| w.invariants.borrow().jobs[&id].done.len() == all;
            assert!(w.run_until(60.0, over), "{id} ends");
            w.run(w.sim.chance() * 0.4);
            // Some cancel, some submit again, all ask at all controllers, again and again.
            if n % 3 == 0 {
                w.spawn_cancel(w.sim.below(3), &id);
            }
            if n % 3 == 1 {
                w.spawn_submit(w.sim.below(3), spec);
            }
            for _ in 0..20 {
                w.spawn_ask_all(&id);
                w.run(0.03);
            }
        }
        w.settle(30.0);
    }
}

#[test]
fn all_controllers_are_asked_within_milliseconds_after_a_job_was_accepted_ended_or_cancelled() {
    for (answers_lost, late) in [(0.0, 0.0), (0.3, 0.0), (0.0, 0.15)] {
        for seed in SEEDS {
            let w = World::new(seed, 3);
            {
                let mut state = w.state.borrow_mut();
                (state.answers_lost, state.late) = (answers_lost, late);
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
                    w.spawn_ask_all(&id);
                    w.run(0.02);
                }
                w.spawn_submit(n + 1, spec);
                if n % 3 == 1 {
                    w.run(5.0);
                    w.spawn_cancel(n + 2, &id);
                    for _ in 0..30 {
                        w.spawn_ask_all(&id);
                        w.run(0.02);
                    }
                }
            }
            w.state.replace(Default::default());
            w.settle(90.0);
        }
    }
}

/// A team at its limit, with three times as many tasks waiting; their names.
fn at_the_limit(w: &Rc<World>) -> Vec<String> {
    let ids: Vec<String> = (0..9).map(|n| format!("j-s{n}")).collect();
    for id in &ids {
        let spec = with(job(id, 2, 25.0), json!({"crew": "small"}));
        w.submit(w.sim.below(3), &spec);
    }
    let full = |w: &World| {
        let invariants = w.invariants.borrow();
        ids.iter().map(|id| invariants.running(id)).sum::<usize>() == 6
    };
    assert!(w.run_until(60.0, full), "the team is at its limit");
    ids
}

#[test]
fn a_team_is_at_its_limit_while_jobs_on_cut_or_hung_machines_are_cancelled_and_the_leader_changes()
{
    for hang in [true, false] {
        for seed in SEEDS {
            let w = World::new(seed, 3);
            let ids = at_the_limit(&w);
            let held: Vec<String> = {
                let invariants = w.invariants.borrow();
                ids.iter()
                    .flat_map(|id| invariants.machines_of(id))
                    .collect()
            };
            let hosts: Vec<_> = held.iter().map(|m| machine_host(m)).collect();
            if hang {
                for host in &hosts {
                    w.sim.stand_still(*host, 3.0 + w.sim.chance() * 25.0);
                }
            } else {
                w.cut(&hosts, &w.node_hosts(), true);
            }
            for id in ids.iter().take(5) {
                w.spawn_cancel(w.sim.below(3), id);
            }
            w.run(w.sim.chance() * 2.0);
            change_leader(&w, 3.0);
            w.spawn_cancel(w.sim.below(3), &ids[5]);
            w.run(8.0);
            w.cut(&hosts, &w.node_hosts(), false);
            w.settle(150.0);
        }
    }
}

#[test]
fn a_leader_keeps_only_its_workers_and_users_and_jobs_are_cancelled_through_the_next() {
    play(|w| {
        let leader = w.await_leader();
        let [a, b] = followers(leader);
        let others = [STATE, node_host(a), node_host(b)];
        w.cut(&[node_host(leader)], &others, true);
        let next = |w: &World| w.leader().is_some_and(|l| l != leader);
        assert!(w.run_until(20.0, next), "another leads");
        for n in 0..6 {
            w.spawn_cancel(a, &format!("j-a00{n}"));
        }
        w.run(CANCEL_S);
        w.cut(&[node_host(leader)], &others, false);
    });
}

/// Copies of heartbeats from before some tasks began reach every controller some time after a new leader began, while the
/// machines of these tasks hang, or reach nobody, so that nothing newer is heard of them.
#[test]
fn old_reports_reach_every_controller_just_as_a_new_leader_begins_or_after_it_acted() {
    for hang in [true, false] {
        for after in [0.0, 1.0, 4.0] {
            play(|w| {
                w.kept_for_next.replace(Some(Vec::new()));
                w.run(3.0);
                let kept = w.kept_for_next.take().expect("reports");
                for n in 0..4 {
                    w.submit(n % 3, &job(&format!("j-n{n}"), 3, 30.0));
                }
                let running = |w: &World| {
                    (0..4).all(|n| w.invariants.borrow().running(&format!("j-n{n}")) == 3)
                };
                assert!(w.run_until(40.0, running), "the new jobs run");
                let of = |n: usize| w.invariants.borrow().machines_of(&format!("j-n{n}"));
                let machines: Vec<String> = (0..4).flat_map(of).collect();
                let old = w.await_leader();
                w.kill_node(old);
                for machine in machines.iter().filter(|_| hang) {
                    w.sim.stand_still(machine_host(machine), LEASE_S - 1.0);
                }
                if !hang {
                    trouble(w, &machines, Way::Mute, true);
                }
                let next = |w: &World| w.leader().is_some_and(|l| l != old);
                assert!(w.run_until(20.0, next), "another leads");
                w.run(after);
                for body in kept {
                    for node in followers(old) {
                        w.send_copy(node, body.clone(), 0.0);
                    }
                }
                w.run(4.0);
                trouble(w, &machines, Way::Mute, false);
                w.start_node(old);
            });
        }
    }
}

#[test]
fn transactions_without_an_answer_are_carried_out_late_or_at_once() {
    for (answers_lost, late) in [(0.0, 0.25), (0.35, 0.0), (0.15, 0.15)] {
        play(|w| {
            {
                let mut state = w.state.borrow_mut();
                (state.answers_lost, state.late) = (answers_lost, late);
            }
            w.run(15.0);
            change_leader(w, 0.4);
            w.run(15.0);
            w.state.replace(Default::default());
        });
    }
}

#[test]
fn a_zone_with_a_controller_is_cut_off_for_longer_than_a_lease() {
    play(|w| {
        let zone = w.zone_of(w.sim.below(2));
        let (inside, beyond) = (w.zone_hosts(&zone), w.hosts_beyond(&zone));
        w.cut(&inside, &beyond, true);
        w.run(2.0);
        for n in 0..4 {
            w.spawn_cancel(w.sim.below(3), &format!("j-a00{n}"));
        }
        w.run(LEASE_S * 2.0);
        w.cut(&inside, &beyond, false);
    });
}

#[test]
fn one_task_jobs_come_four_a_second_and_a_quarter_is_cancelled() {
    for seed in SEEDS {
        let w = World::new(seed, 3);
        w.traffic("b", 160, 0.25, 0.25, |id| job(id, 1, 3.0));
        w.run(20.0);
        change_leader(&w, 2.0);
        w.run(25.0);
        w.settle(120.0);
    }
}

#[test]
fn all_controllers_are_away_for_less_and_for_longer_than_a_lease() {
    for away in [1.0, LEASE_S * 1.5] {
        play(|w| {
            for node in 0..3 {
                w.kill_node(node);
            }
            w.run(away);
            for node in 0..3 {
                w.run(w.sim.chance());
                w.start_node(node);
            }
        });
    }
}

#[test]
fn copies_of_reports_arrive_seconds_to_well_over_a_lease_later() {
    play(|w| {
        w.copies.set(0.4);
        // Some sessions end and begin anew meanwhile.
        for machine in w.machines_up().iter().take(3) {
            w.sim.stand_still(machine_host(machine), LEASE_S + 2.0);
        }
        w.run(15.0);
        change_leader(w, 1.0);
        w.run(20.0);
        w.copies.set(0.0);
    });
}

/// The ways of machines that are troubled.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Their reports arrive, answers do not.
    Deaf,
    /// They reach nobody.
    Mute,
    /// Neither way is open.
    Cut,
}

fn trouble(w: &Rc<World>, machines: &[String], way: Way, on: bool) {
    for machine in machines {
        for node in w.node_hosts() {
            if way != Way::Mute {
                w.sim.block(node, machine_host(machine), on);
            }
            if way != Way::Deaf {
                w.sim.block(machine_host(machine), node, on);
            }
        }
    }
}

#[test]
fn a_leader_ends_while_machines_can_not_be_reached_or_hear_nothing_or_reach_nobody() {
    for way in [Way::Deaf, Way::Mute, Way::Cut] {
        for lasts in [3.0, 6.0, LEASE_S * 1.5] {
            play(|w| {
                println!("{way:?} {lasts}");
                let up = w.machines_up();
                let some = &up[..up.len().div_ceil(2)];
                trouble(w, some, way, true);
                w.run(w.sim.chance() * 2.0);
                w.spawn_cancel(w.sim.below(3), "j-a001");
                change_leader(w, 1.5);
                w.spawn_cancel(w.sim.below(3), "j-a002");
                w.run(lasts);
                trouble(w, some, way, false);
            });
        }
    }
}

#[test]
fn jobs_bound_to_one_zone_lose_machines() {
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
            let up = w.machines_up();
            if let Some(machine) = up.get(w.sim.below(up.len())) {
                w.remove_machine(machine);
            }
        }
        change_leader(&w, 1.0);
        w.settle(200.0);
    }
}

#[test]
fn answers_to_machines_are_held_up_for_seconds_and_machines_hang_and_go_on() {
    play(|w| {
        for _ in 0..3 {
            let up = w.machines_up();
            trouble(w, &up, Way::Deaf, true);
            w.run(1.0 + w.sim.chance() * 4.0);
            trouble(w, &up, Way::Deaf, false);
            for machine in up.iter().step_by(2) {
                w.sim
                    .stand_still(machine_host(machine), 1.0 + w.sim.chance() * 8.0);
            }
            w.spawn_cancel(w.sim.below(3), &format!("j-a00{}", w.sim.below(10)));
            w.run(6.0);
        }
    });
}

#[test]
fn the_state_service_is_slow_then_refuses_the_leader_then_all() {
    play(|w| {
        w.state.borrow_mut().slow_s = 0.3;
        w.run(12.0);
        w.state.borrow_mut().slow_s = 0.0;
        let leader = w.await_leader();
        w.refuse_node(leader, true);
        for n in 0..6 {
            w.spawn_cancel(w.sim.below(3), &format!("j-a00{n}"));
            w.spawn_ask_all(&format!("j-a00{n}"));
        }
        w.run(w.sim.chance() * 2.0);
        w.state_out(true);
        w.run(CANCEL_S + 5.0);
        w.state_out(false);
        w.refuse_node(leader, false);
    });
}

#[test]
fn jobs_are_cancelled_in_the_seconds_in_which_work_changes_hands() {
    for back_after in [0.2, 4.0] {
        play(|w| {
            let mut next = 0;
            for _ in 0..2 {
                let leader = w.await_leader();
                w.kill_node(leader);
                for _ in 0..8 {
                    w.spawn_cancel(w.sim.below(3), &format!("j-a{next:03}"));
                    next += 1;
                    w.run(w.sim.chance() * back_after / 4.0);
                }
                w.start_node(leader);
                w.run(4.0);
            }
        });
    }
}

#[test]
fn leaders_change_ten_times_in_two_minutes_also_in_an_outage() {
    play(|w| {
        for turn in 0..10 {
            let leader = w.leader().unwrap_or(turn % 3);
            w.kill_node(leader);
            if turn == 4 {
                w.state_out(true);
            }
            w.spawn_cancel(w.sim.below(3), &format!("j-a{turn:03}"));
            w.run(w.sim.chance() * 6.0);
            w.start_node(leader);
            w.run(3.0 + w.sim.chance() * 3.0);
            if turn == 6 {
                w.state_out(false);
            }
        }
    });
}

#[test]
fn controllers_hand_over_and_back_all_end_and_one_returns_within_a_second() {
    play(|w| {
        for _ in 0..3 {
            change_leader(w, 0.1);
            w.run(w.sim.chance() * 3.0);
        }
        for node in 0..3 {
            w.kill_node(node);
        }
        w.run(0.3);
        let first = w.sim.below(3);
        w.start_node(first);
        // It ends once more in the middle of its election.
        w.run(w.sim.chance() * 0.3);
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
fn machines_are_up_within_two_seconds_and_get_work_while_writes_lag_and_the_leader_ends() {
    for seed in SEEDS {
        let w = World::new(seed, 3);
        w.boots.set(Boots {
            seconds: 1.0,
            failed: 0.1,
        });
        w.traffic("q", 20, 0.8, 0.3, |id| job(id, 3, 5.0));
        w.run(0.5);
        w.state.borrow_mut().late = 0.3;
        for _ in 0..3 {
            w.run(1.0 + w.sim.chance() * 2.0);
            change_leader(&w, 0.5);
        }
        w.run(10.0);
        w.state.replace(Default::default());
        w.settle(150.0);
    }
}

#[test]
fn there_is_more_work_than_room_urgent_and_not_over_slow_links() {
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
        change_leader(&w, 2.0);
        w.run(15.0);
        w.sim.latency.set(500);
        w.settle(240.0);
    }
}

#[test]
fn tasks_of_a_job_end_far_apart_over_changes_of_leader() {
    for seed in SEEDS {
        let w = World::new(seed, 3);
        for n in 0..4 {
            w.submit(n, &job(&format!("j-{n}"), 3, 20.0));
        }
        // One task of each is held back.
        let one = |w: &World| w.invariants.borrow().machines_of("j-0").first().cloned();
        assert!(w.run_until(60.0, |w| one(w).is_some()), "it runs");
        let machine = one(&w).expect("a machine");
        w.run(4.0);
        w.sim.stand_still(machine_host(&machine), LEASE_S - 3.0);
        for _ in 0..3 {
            change_leader(&w, 1.0);
            w.run(6.0);
        }
        w.settle(150.0);
    }
}

#[test]
fn a_machine_hangs_with_tasks_that_are_cancelled_and_goes_on_within_or_after_its_lease() {
    for hangs in [2.0, LEASE_S - 2.0, LEASE_S + 2.0, CANCEL_S + 20.0] {
        play(|w| {
            let running = |n: &usize| w.invariants.borrow().running(&format!("j-a{n:03}")) > 0;
            let ids: Vec<usize> = (0..24).filter(running).collect();
            for n in ids {
                let id = format!("j-a{n:03}");
                w.spawn_cancel(w.sim.below(3), &id);
                for machine in w.invariants.borrow().machines_of(&id) {
                    w.sim.stand_still(machine_host(&machine), hangs);
                }
            }
            w.run(CANCEL_S);
        });
    }
}

/// What keeps the leader from the state service, and from whom else.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cut {
    /// The state service refuses the leader alone.
    Refused,
    /// The leader reaches neither the state service nor any other controller.
    Alone,
    /// The leader reaches neither the state service nor one of the others.
    OnePeer,
    /// The leader's zone is cut off, machines and all.
    Zone,
}

/// What happens besides.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Besides {
    Nothing,
    /// The leader ends after it was told, and is back at once.
    LeaderRestarts,
    /// The controller that confirmed ends right after, and is back.
    ConfirmerRestarts,
    /// Transactions get no answer and are carried out late.
    LateWrites,
    /// Machines that hold cancelled tasks hang, and go on within their lease or after it.
    Hangs(f64),
}

/// Jobs that run are cancelled through another controller while the leader is cut off; then nobody reaches the state
/// service for longer than a cancellation may take, and the workers go on reporting to whom they reach.
fn gap(seed: u64, cut: Cut, besides: Besides) {
    let w = World::new(seed, 3);
    for n in 0..6 {
        w.submit(n % 3, &job(&format!("j-{n}"), 4, 300.0));
    }
    let running = |w: &World| (0..6).all(|n| w.invariants.borrow().running(&format!("j-{n}")) == 4);
    assert!(w.run_until(60.0, running), "the jobs run");
    let leader = w.await_leader();
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let change = |w: &World, on: bool| match cut {
        Cut::Refused => w.refuse_node(leader, on),
        Cut::Alone => w.cut(
            &[node_host(leader)],
            &[STATE, node_host(others[0]), node_host(others[1])],
            on,
        ),
        Cut::OnePeer => w.cut(&[node_host(leader)], &[STATE, node_host(others[1])], on),
        Cut::Zone => {
            let zone = w.zone_of(leader);
            w.cut(&w.zone_hosts(&zone), &w.hosts_beyond(&zone), on);
        }
    };
    change(&w, true);
    if besides == Besides::LateWrites {
        w.state.borrow_mut().late = 0.3;
    }
    w.run(w.sim.chance());
    let confirmer = others[w.sim.below(2)];
    for n in 0..5 {
        w.spawn_cancel(confirmer, &format!("j-{n}"));
    }
    let told = |w: &World| (0..5).any(|n| w.told_cancelled(&format!("j-{n}")));
    w.run_until(1.5, told);
    if besides == Besides::ConfirmerRestarts {
        w.kill_node(confirmer);
    }
    w.run(w.sim.chance() * 0.5);
    w.state_out(true);
    match besides {
        Besides::LeaderRestarts => {
            w.run(1.5);
            w.kill_node(leader);
            w.run(0.3);
            w.start_node(leader);
        }
        Besides::ConfirmerRestarts => {
            w.run(4.0);
            w.start_node(confirmer);
        }
        Besides::Hangs(seconds) => {
            for machine in w.invariants.borrow().machines_of("j-1") {
                w.sim.stand_still(machine_host(&machine), seconds);
            }
        }
        Besides::Nothing | Besides::LateWrites => {}
    }
    w.run(CANCEL_S * 1.5);
    w.assert_rules();
    w.state_out(false);
    w.state.borrow_mut().late = 0.0;
    change(&w, false);
    for n in 0..5 {
        assert!(
            w.run_until(30.0, |w| w.told_cancelled(&format!("j-{n}"))),
            "j-{n} is cancelled in the end"
        );
    }
    w.spawn_cancel(0, "j-5");
    w.settle(60.0);
}

fn gaps(cut: Cut) {
    let besides = [
        Besides::Nothing,
        Besides::LeaderRestarts,
        Besides::ConfirmerRestarts,
        Besides::LateWrites,
        Besides::Hangs(8.0),
        Besides::Hangs(60.0),
    ];
    for (n, besides) in besides.into_iter().enumerate() {
        // With the first of the last two another is elected just before the outage and reaches nobody either; with the
        // second the controller that confirmed is the only one that is not cut off.
        for seed in SEEDS.chain([115, 200]) {
            println!("{cut:?} {besides:?} {seed}");
            gap(10 * n as u64 + seed, cut, besides);
        }
    }
}

#[test]
fn the_state_service_refuses_the_leader_then_all() {
    gaps(Cut::Refused);
}

#[test]
fn the_leader_keeps_only_its_workers_then_the_state_service_is_out() {
    gaps(Cut::Alone);
}

#[test]
fn the_leader_loses_the_state_service_and_one_controller_then_it_is_out() {
    gaps(Cut::OnePeer);
}

#[test]
fn the_leaders_zone_is_cut_off_then_the_state_service_is_out() {
    gaps(Cut::Zone);
}

// Guards against a restart of all controllers that starts again, or stops, what its workers run on: whoever comes back when,
// while the state service is slow or refuses one, and old heartbeats come once more.
#[test]
fn after_a_full_restart_what_runs_is_neither_started_again_nor_stopped() {
    for (slow_s, refused, back_after) in [
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
            w.copies.set(0.3);
            w.spawn_cancel(1, "j-5");
            assert!(w.run_until(10.0, |w| w.told_cancelled("j-5")));
            (0..3).for_each(|node| w.kill_node(node));
            w.run(1.0);
            w.state.borrow_mut().slow_s = slow_s;
            if let Some(node) = refused {
                w.refuse_node(node, true);
            }
            for (node, after) in back_after.into_iter().enumerate() {
                w.run(after);
                w.start_node(node);
            }
            w.run(20.0);
            w.state.borrow_mut().slow_s = 0.0;
            if let Some(node) = refused {
                w.refuse_node(node, false);
            }
            w.run(20.0);
            let starts = w.invariants.borrow().starts;
            assert_eq!(starts, 18, "seed {seed}: nothing is started again");
            w.copies.set(0.0);
            w.settle(150.0);
            let invariants = w.invariants.borrow();
            for n in 0..5 {
                let done = invariants.jobs[&format!("j-{n}")].done.len();
                assert_eq!(done, 3, "j-{n} is done by its first starts");
            }
            assert_eq!(invariants.starts, 18);
        }
    }
}
