//! Who is dead, and who only out of reach.

use super::{
    Simulation, TOKEN, Worker, aborted, config, controller, count_starts, spec, token_after,
};
use crate::cloud_types::{Listed, ListedStatus};
use crate::scheduler::{AgentCommand, ControllerStatus, ExitCause, JobId, MachineId};
use crate::units::Micros;

#[test]
fn tasks_of_a_timed_out_machine_run_elsewhere_only_after_its_termination_is_confirmed() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "a", false);
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.advance(30);
    sim.heartbeat("m-2");
    assert_eq!(sim.workers["m-2"].running(), 0, "silence is no proof");
    let plan = sim.scheduler.plan_fleet(sim.now, 0);
    assert_eq!(plan.terminate, vec![MachineId("m-1".into())]);
    sim.heartbeat("m-2");
    assert_eq!(
        sim.workers["m-2"].running(),
        0,
        "nor is the request to return it"
    );
    sim.scheduler.on_terminated(&plan.terminate, sim.now);
    sim.run_cycle_and_commit();
    sim.heartbeat("m-2");
    assert_eq!(sim.workers["m-2"].running(), 1);
    // A heartbeat that was held up on the way does not bring the machine back.
    let commands = sim.send_heartbeat("m-1");
    assert_eq!(commands, vec![]);
}

#[test]
fn a_zone_that_times_out_together_is_taken_for_a_partition() {
    let mut sim = Simulation::new(0.0);
    for i in 0..8 {
        sim.add_worker(&format!("m-a{i}"), "a", false);
        sim.add_worker(&format!("m-b{i}"), "b", false);
    }
    sim.advance(20);
    for i in 0..8 {
        sim.heartbeat(&format!("m-a{i}"));
    }
    assert!(sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty());
    // Another controller hears half of them; of the others the leases have ended in the end.
    sim.advance(25);
    let heard: Vec<MachineId> = (0..4).map(|i| MachineId(format!("m-b{i}"))).collect();
    sim.scheduler.on_contact("n-2", &heard, sim.now);
    for i in 0..8 {
        sim.heartbeat(&format!("m-a{i}"));
    }
    let given: Vec<String> = sim
        .scheduler
        .plan_fleet(sim.now, 0)
        .terminate
        .into_iter()
        .map(|m| m.0)
        .collect();
    assert_eq!(given, ["m-b4", "m-b5", "m-b6", "m-b7"]);
}

#[test]
fn a_wave_of_preempted_spot_machines_is_not_taken_for_a_partition() {
    let mut sim = Simulation::new(0.0);
    for i in 0..8 {
        sim.add_worker(&format!("m-a{i}"), "a", i >= 2);
    }
    sim.advance(20);
    sim.heartbeat("m-a0");
    sim.heartbeat("m-a1");
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).terminate.len(), 6);
}

#[test]
fn a_machine_missing_from_the_list_is_lost_only_when_the_list_cannot_be_too_old() {
    let mut sim = Simulation::new(0.0);
    let listed = |name: &str, age_s: f64| Listed {
        machine: MachineId(name.into()),
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: false,
        status: ListedStatus::Running,
        age_s,
    };
    sim.scheduler
        .on_list(&[listed("m-1", 5.0), listed("m-2", 100.0)], sim.now);
    sim.scheduler.on_list(&[], sim.now);
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, 0).terminate,
        vec![MachineId("m-2".into())]
    );
}

// Guards against giving up live machines in a cut: a worker may try two controllers in vain, five seconds each.
#[test]
fn the_grace_period_is_longer_while_controllers_are_unreachable() {
    let quiet_until_given_up = |silent: &[(&str, &str)]| {
        let mut controllers = vec![controller("n-0", "a", true), controller("n-1", "a", true)];
        controllers.push(controller("n-2", "b", true));
        controllers.extend(silent.iter().map(|(n, z)| controller(n, z, false)));
        let mut sim = Simulation::new(0.0);
        for i in 0..8 {
            sim.add_worker(&format!("m-{i}"), "a", false);
        }
        // Long enough in office to know whether all is well.
        for _ in 0..20 {
            sim.advance(1);
            sim.scheduler.set_controllers(&controllers, sim.now);
            sim.heartbeat_all();
        }
        for second in 1..30 {
            sim.advance(1);
            sim.scheduler.set_controllers(&controllers, sim.now);
            sim.heartbeat_numbered(1..8);
            if !sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty() {
                return second;
            }
        }
        30
    };
    assert_eq!(quiet_until_given_up(&[]), 7);
    assert_eq!(quiet_until_given_up(&[("n-3", "b")]), 12);
    assert_eq!(quiet_until_given_up(&[("n-3", "a")]), 17);
    assert_eq!(quiet_until_given_up(&[("n-3", "b"), ("n-4", "b")]), 17);
}

// Guards against giving up a cut zone a few machines at a time, as they fall silent one after the other.
#[test]
fn a_partitioned_zone_is_not_terminated_piece_by_piece() {
    let mut sim = Simulation::new(0.0);
    for i in 0..12 {
        sim.add_worker(&format!("m-a{i:02}"), "a", false);
        sim.add_worker(&format!("m-b{i:02}"), "b", false);
    }
    let mut given = 0;
    for second in 0..20 {
        sim.advance(1);
        for i in 0..12 {
            sim.heartbeat(&format!("m-a{i:02}"));
            if i > second {
                sim.heartbeat(&format!("m-b{i:02}"));
            }
        }
        let plan = sim.scheduler.plan_fleet(sim.now, 0);
        given += plan.terminate.len();
        sim.scheduler.on_terminated(&plan.terminate, sim.now);
    }
    assert!((1..=3).contains(&given), "{given} given up");
}

/// Reports that go out, each by another controller as nobody answers, while the commands of their answers are lost.
fn unheard(sim: &mut Simulation, name: &str, nth: usize) -> Vec<AgentCommand> {
    sim.via = ["n-1", "n-2", "n-3"][nth % 3];
    let commands = sim.send_heartbeat(name);
    sim.via = "n-1";
    commands
}

// Guards against a machine whose reports arrive while answers do not reach it: silence never shows, and id order would
// send the same task there for ever.
#[test]
fn a_machine_that_acknowledges_no_answer_gets_no_offers_and_is_terminated() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 1..9 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    assert_eq!(count_starts(&unheard(&mut sim, "m-1", 0)), 1);
    sim.advance(5);
    assert_eq!(
        count_starts(&unheard(&mut sim, "m-1", 1)),
        1,
        "one lost answer says nothing"
    );
    sim.advance(5);
    assert_eq!(
        count_starts(&unheard(&mut sim, "m-1", 2)),
        0,
        "two in a row do"
    );
    sim.advance(1);
    sim.heartbeat_numbered(2..9);
    assert_eq!(sim.workers["m-2"].running(), 1, "its start was proven lost");
    // A task that it does run, and that must stop, is lost on deaf ears as well; then the machine is terminated.
    let stuck = sim.submit(spec("j-2", 40));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    assert_eq!(sim.workers["m-1"].running(), 0);
    sim.advance(60);
    sim.heartbeat_all();
    sim.heartbeat_all();
    assert!(
        sim.workers["m-1"].running() > 0,
        "answers arrive again, so it takes offers again"
    );
    sim.scheduler.end_job(&stuck, aborted(0));
    let mut waited = 0;
    while sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty() {
        sim.advance(5);
        waited += 5;
        unheard(&mut sim, "m-1", waited);
        sim.heartbeat_numbered(2..9);
        assert!(
            waited <= 30,
            "its reports must not count as signs of life for ever"
        );
    }
    let gone = sim.scheduler.plan_fleet(sim.now, 0).terminate;
    assert_eq!(gone, [MachineId("m-1".into())]);
    assert!(
        sim.workers["m-1"].running() > 0,
        "and until then nothing of it ran elsewhere"
    );
}

// Guards against emptying a zone behind a cut through which only one direction passes.
#[test]
fn many_machines_that_acknowledge_no_answer_are_taken_for_a_partition() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..8 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    let job = sim.submit(spec("j-1", 16));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    sim.scheduler.end_job(&job, aborted(0));
    for second in (0..30).step_by(5) {
        sim.advance(5);
        for i in 0..8 {
            let name = format!("m-{i}");
            if i < 4 {
                unheard(&mut sim, &name, second / 5);
            } else {
                sim.heartbeat(&name);
            }
        }
        assert!(
            sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty(),
            "after {second} s"
        );
    }
}

// Guards against late copies of heartbeats: of a machine returned, of an earlier state, of an earlier agent epoch.
#[test]
fn stale_copies_of_heartbeats_prove_nothing_revive_nothing_and_count_nothing_twice() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "a", false);
    let before_any = sim
        .workers
        .get_mut("m-1")
        .expect("a worker")
        .next_heartbeat("m-1");
    sim.submit(spec("j-1", 2));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    assert_eq!(sim.workers["m-1"].running(), 2);
    // To the same leader: the copy lacks the tasks, which proves nothing.
    sim.advance(40);
    assert_eq!(sim.handle_heartbeat(&before_any), vec![]);
    assert_eq!(sim.scheduler.jobs[&JobId("j-1".into())].live, 2);
    // To a new leader that has not heard the machine: no proof, no sign that it is there, no commands to start.
    sim.submit(spec("j-2", 2));
    sim.change_leader(token_after(TOKEN, 1));
    assert_eq!(count_starts(&sim.handle_heartbeat(&before_any)), 0);
    assert_eq!(sim.scheduler.jobs[&JobId("j-1".into())].live, 2);
    // A machine that the earlier leader returned is not brought back to take offers.
    let mut lost = Worker {
        zone: "a".into(),
        agent_epoch: 1,
        token: TOKEN,
        ..Worker::default()
    };
    for _ in 0..4 {
        sim.advance(1);
        let copy = lost.next_heartbeat("m-0");
        assert_eq!(count_starts(&sim.handle_heartbeat(&copy)), 0);
    }
    assert!(
        sim.scheduler.machines[&MachineId("m-0".into())]
            .reserved
            .is_empty()
    );
    // A finish told again, in a copy and from an earlier agent epoch, counts once; its clear goes out as ever.
    sim.heartbeat_all();
    sim.workers
        .get_mut("m-1")
        .expect("a worker")
        .exit_all(ExitCause::Done);
    let finished = sim
        .workers
        .get_mut("m-1")
        .expect("a worker")
        .next_heartbeat("m-1");
    sim.handle_heartbeat(&finished);
    sim.handle_heartbeat(&finished);
    assert_eq!(sim.done.len(), 1);
    let job = JobId("j-1".into());
    assert!(
        !sim.scheduler.jobs.contains_key(&job),
        "nothing is left of it"
    );
    sim.change_leader(token_after(TOKEN, 2));
    sim.handle_heartbeat(&finished);
    assert!(!sim.scheduler.jobs.contains_key(&job) && sim.done.len() == 1);
    // From a machine that this leader returned: nothing at all.
    let gone = MachineId("m-1".into());
    sim.scheduler
        .on_terminated(std::slice::from_ref(&gone), sim.now);
    assert_eq!(sim.handle_heartbeat(&finished), vec![]);
    assert!(!sim.scheduler.machines.contains_key(&gone));
}

// Guards against giving up the workers of a controller that lost the state service and the other controllers, but keeps
// its workers alive; and against keeping for ever what died behind it.
#[test]
fn suspicion_is_suppressed_for_workers_of_an_isolated_controller() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..10 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    let mut controllers = vec![controller("n-0", "a", true), controller("n-1", "a", true)];
    let beat = |sim: &mut Simulation, nth: usize| {
        sim.via = if nth == 0 { "n-1" } else { "n-0" };
        sim.heartbeat(&format!("m-{nth}"));
    };
    (0..10).for_each(|i| beat(&mut sim, i));
    controllers[1].is_reachable = false;
    for _ in 0..30 {
        sim.advance(3);
        sim.scheduler.set_controllers(&controllers, sim.now);
        (1..10).for_each(|i| beat(&mut sim, i));
        assert!(sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty());
    }
    // Once the controller answers again, its workers have the time to be heard.
    controllers[1].is_reachable = true;
    sim.advance(1);
    sim.scheduler.set_controllers(&controllers, sim.now);
    assert!(
        sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty(),
        "the cut has only just ended"
    );
    // One that the cloud says has failed is not waited for.
    let listed = (0..10).map(|i| Listed {
        machine: MachineId(format!("m-{i}")),
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: false,
        status: if i == 0 {
            ListedStatus::Failed
        } else {
            ListedStatus::Running
        },
        age_s: 100.0,
    });
    sim.scheduler.on_list(&listed.collect::<Vec<_>>(), sim.now);
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, 0).terminate,
        [MachineId("m-0".into())]
    );
}

// Guards against what gave up 186 live machines on a quiet day: reports through one controller were held up for a few
// seconds, and its workers, fewer than a quarter of all, were taken to have died.
#[test]
fn many_late_workers_of_one_controller_get_the_grace_period_of_a_reconnect() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..40 {
        sim.via = ["n-1", "n-2", "n-3", "n-4", "n-5"][i % 5];
        sim.add_worker(&format!("m-{i:02}"), ["a", "b"][i % 2], false);
    }
    let controllers: Vec<ControllerStatus> = ["n-1", "n-2", "n-3", "n-4", "n-5"]
        .iter()
        .map(|n| controller(n, "a", true))
        .collect();
    for second in 0..32 {
        sim.advance(1);
        sim.scheduler.set_controllers(&controllers, sim.now);
        for i in (0..40).filter(|i| i % 5 != 0 || second < 20) {
            sim.via = ["n-1", "n-2", "n-3", "n-4", "n-5"][i % 5];
            sim.heartbeat(&format!("m-{i:02}"));
        }
        let given = sim.scheduler.plan_fleet(sim.now, 0).terminate;
        assert!(given.is_empty(), "{given:?} after {second} s");
    }
}

// Guards against what gave up 235 live machines: the leader held most workers of a large fleet, lost the way to all of
// them, and every one of them late by a few seconds was taken to have died while the others were not late yet.
#[test]
fn a_stopped_path_is_no_failure_of_its_machines() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    let via = |i: usize| if i.is_multiple_of(10) { "n-1" } else { "" };
    for i in 0..300 {
        sim.via = via(i);
        sim.add_worker(&format!("m-{i:03}"), ["a", "b"][i % 2], false);
    }
    let controllers = [controller("n-0", "a", true), controller("n-1", "b", true)];
    let mut given = Vec::new();
    for second in 0..60 {
        sim.advance(1);
        sim.scheduler.set_controllers(&controllers, sim.now);
        // From the 30th second on the leader hears its own workers no more; they find the other one after 12 s. One
        // that reports there died at the same time.
        let lost = |i: usize| via(i).is_empty() && second < 42 || i == 10;
        for i in (0..300).filter(|i| i % 3 == second % 3 && (second < 30 || !lost(*i))) {
            sim.via = if second < 30 { via(i) } else { "n-1" };
            sim.heartbeat(&format!("m-{i:03}"));
        }
        let plan = sim.scheduler.plan_fleet(sim.now, 0);
        given.extend(plan.terminate.iter().map(|m| (m.clone(), second)));
        sim.scheduler.on_terminated(&plan.terminate, sim.now);
    }
    assert_eq!(given, vec![(MachineId("m-010".into()), 35)]);
}

// Guards against giving up the first quarter of a cut zone that has no controller, which is late a little before the rest.
#[test]
fn an_unreachable_zone_is_not_terminated_before_its_leases_end() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    sim.scheduler.config.heartbeat_interval = Micros::secs(6);
    for i in 0..60 {
        sim.add_worker(&format!("m-{i}"), ["a", "a", "b"][i % 3], false);
    }
    let controllers = [controller("n-0", "a", true), controller("n-1", "a", true)];
    let mut first = 0;
    for second in 0..80 {
        sim.advance(1);
        sim.scheduler.set_controllers(&controllers, sim.now);
        // Every machine reports every sixth second; from the 30th on those of the other zone are not heard.
        let heard = |i: &usize| i / 3 % 6 == second % 6 && (i % 3 != 2 || second < 30);
        sim.heartbeat_numbered((0..60).filter(heard));
        let given = sim.scheduler.plan_fleet(sim.now, 0).terminate;
        if !given.is_empty() {
            first = second;
            break;
        }
    }
    assert!((30 + 36..30 + 45).contains(&first), "after {first} s");
}

// Guards against a leader that was paused for longer than a lease and still leads, as after an outage: what it did not
// hear meanwhile is no silence.
#[test]
fn a_process_pause_of_the_leader_is_no_silence_of_its_machines() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..20 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.advance(50);
    sim.scheduler.on_process_pause(Micros::secs(50), sim.now);
    for _ in 0..6 {
        assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).terminate, vec![]);
        sim.advance(1);
    }
    sim.heartbeat_numbered(1..20);
    sim.advance(15);
    sim.heartbeat_numbered(1..20);
    let given = sim.scheduler.plan_fleet(sim.now, 0).terminate;
    assert_eq!(given, vec![MachineId("m-0".into())], "silent since");
    sim.scheduler.on_terminated(&given, sim.now);
    // One that stops for a second every three still finds the next that dies.
    for second in 0..40 {
        sim.advance(1);
        if second % 3 == 0 {
            sim.scheduler.on_process_pause(Micros::secs(1), sim.now);
        }
        sim.heartbeat_numbered(2..20);
        let given = sim.scheduler.plan_fleet(sim.now, 0).terminate;
        if !given.is_empty() {
            assert_eq!(given, vec![MachineId("m-1".into())]);
            return;
        }
    }
    panic!("a dead machine was never found");
}

// Guards against a leader that keeps every worker after a filter between controllers.
#[test]
fn a_leader_with_too_many_workers_redirects_them_gradually_once_controllers_are_stable() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    sim.via = "";
    for i in 0..30 {
        sim.add_worker(&format!("m-{i:02}"), "a", false);
    }
    let controllers = [controller("n-0", "a", true), controller("n-1", "a", true)];
    let shed_after = |sim: &mut Simulation, seconds: u64| {
        let mut shed = 0;
        for _ in 0..seconds {
            sim.advance(1);
            sim.scheduler.set_controllers(&controllers, sim.now);
            sim.heartbeat_all();
            sim.scheduler.plan_fleet(sim.now, 0);
            shed = (0..30).filter(|_| sim.scheduler.take_redirect()).count();
        }
        shed
    };
    assert_eq!(
        shed_after(&mut sim, 10),
        0,
        "not while it may still be needed"
    );
    assert_eq!(
        shed_after(&mut sim, 20),
        1,
        "ten too many, so one at a time"
    );
    sim.via = "n-1";
    assert_eq!(shed_after(&mut sim, 2), 0, "and none once others have them");
}

// Guards against giving up the workers beyond a cut of two other zones, of which this controller reaches every one.
#[test]
fn a_partition_that_only_others_see_resets_stability() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..20 {
        sim.add_worker(&format!("m-{i:02}"), ["a", "b"][i % 2], false);
    }
    let controllers = [controller("n-0", "c", true), controller("n-1", "a", true)];
    let mut given = Vec::new();
    for second in 0..30 {
        sim.advance(1);
        sim.scheduler.set_controllers(&controllers, sim.now);
        if second >= 20 {
            sim.scheduler.reset_stability();
        }
        for i in (0..20).filter(|i| i % 7 != 0 || second < 20) {
            sim.heartbeat(&format!("m-{i:02}"));
        }
        given.extend(sim.scheduler.plan_fleet(sim.now, 0).terminate);
    }
    assert_eq!(
        given,
        vec![],
        "they find another controller within ten seconds"
    );
}

// Guards against live machines given up by a new leader, which does not know yet that their controller is cut off.
#[test]
fn a_new_leader_waits_for_machines_that_an_unreachable_controller_may_hear() {
    let mut sim = Simulation::new(0.0);
    for i in 0..10 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(spec("j-1", 20));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    sim.change_leader(token_after(TOKEN, 1));
    let controllers = [controller("n-0", "a", false), controller("n-1", "a", true)];
    let mut given_up = None;
    for second in 1..60 {
        sim.advance(1);
        sim.scheduler.set_controllers(&controllers, sim.now);
        // Two of them hear only the silent controller.
        if second % 3 == 0 {
            sim.heartbeat_numbered(2..10);
        }
        if !sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty() {
            given_up.get_or_insert(second);
        }
    }
    let lease = config().agent_lease.0 / 1_000_000;
    assert!(given_up.is_some_and(|s| s > lease), "{given_up:?}");
}
