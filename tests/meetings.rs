//! Stories of whole controllers in one world, in memory and in virtual time: what happens when two troubles meet.
//!
//! The ledger holds every step against the protocol's rules; a story is its events and what else it expects.

mod support;

use support::world::{CANCEL_S, STATE, World, job, machine_host, node_host};

/// Seeds over which a story is told.
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
        w.ledger.take().record.join("\n")
    };
    let first = run(1);
    assert!(first.lines().count() > 100, "{first}");
    assert_eq!(first, run(1));
    assert_ne!(first, run(2));
}

#[test]
fn a_quiet_day() {
    for seed in SEEDS {
        let w = World::new(seed, 3);
        w.traffic("a", 20, 1.0, 0.2, |id| job(id, 4, 8.0));
        w.run(30.0);
        w.settle(120.0);
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
    let running = |w: &World| (0..6).all(|n| w.ledger.borrow().running(&format!("j-{n}")) == 4);
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
            for machine in w.ledger.borrow().machines_of("j-1") {
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
        for seed in SEEDS {
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
