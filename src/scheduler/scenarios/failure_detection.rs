//! Who is dead, and who only out of reach.

use super::{Scenario, TOKEN, Worker, aborted, config, controller, later, runs, spec};
use crate::cloud_types::{ListedMachine, ListedStatus};
use crate::scheduler::{AgentCommand, ControllerStatus, ExitCause, JobId, MachineId};
use crate::units::Micros;

#[test]
fn tasks_of_a_timed_out_machine_run_elsewhere_only_after_its_termination_is_confirmed() {
    let mut t = Scenario::new(0.0);
    t.worker("m-1", "a", false);
    t.worker("m-2", "a", false);
    t.submit(spec("j-1", 1));
    t.round();
    t.beat("m-1");
    t.wait(30);
    t.beat("m-2");
    assert_eq!(t.workers["m-2"].running(), 0, "silence is no proof");
    let plan = t.s.plan_fleet(t.now, 0);
    assert_eq!(plan.terminate, vec![MachineId("m-1".into())]);
    t.beat("m-2");
    assert_eq!(
        t.workers["m-2"].running(),
        0,
        "nor is the request to return it"
    );
    t.s.on_terminated(&plan.terminate, t.now);
    t.round();
    t.beat("m-2");
    assert_eq!(t.workers["m-2"].running(), 1);
    // A heartbeat that was held up on the way does not bring the machine back.
    let orders = t.ask("m-1");
    assert_eq!(orders, vec![]);
}

#[test]
fn a_zone_that_times_out_together_is_taken_for_a_partition() {
    let mut t = Scenario::new(0.0);
    for i in 0..8 {
        t.worker(&format!("m-a{i}"), "a", false);
        t.worker(&format!("m-b{i}"), "b", false);
    }
    t.wait(20);
    for i in 0..8 {
        t.beat(&format!("m-a{i}"));
    }
    assert!(t.s.plan_fleet(t.now, 0).terminate.is_empty());
    // Another controller hears half of them; of the others the leases have ended in the end.
    t.wait(25);
    let heard: Vec<MachineId> = (0..4).map(|i| MachineId(format!("m-b{i}"))).collect();
    t.s.on_contact("n-2", &heard, t.now);
    for i in 0..8 {
        t.beat(&format!("m-a{i}"));
    }
    let given: Vec<String> =
        t.s.plan_fleet(t.now, 0)
            .terminate
            .into_iter()
            .map(|m| m.0)
            .collect();
    assert_eq!(given, ["m-b4", "m-b5", "m-b6", "m-b7"]);
}

#[test]
fn a_wave_of_preempted_spot_machines_is_not_taken_for_a_partition() {
    let mut t = Scenario::new(0.0);
    for i in 0..8 {
        t.worker(&format!("m-a{i}"), "a", i >= 2);
    }
    t.wait(20);
    t.beat("m-a0");
    t.beat("m-a1");
    assert_eq!(t.s.plan_fleet(t.now, 0).terminate.len(), 6);
}

#[test]
fn a_machine_missing_from_the_list_is_lost_only_when_the_list_cannot_be_too_old() {
    let mut t = Scenario::new(0.0);
    let listed = |name: &str, age_s: f64| ListedMachine {
        machine: MachineId(name.into()),
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: false,
        status: ListedStatus::Running,
        age_s,
    };
    t.s.on_list(&[listed("m-1", 5.0), listed("m-2", 100.0)], t.now);
    t.s.on_list(&[], t.now);
    assert_eq!(
        t.s.plan_fleet(t.now, 0).terminate,
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
        let mut t = Scenario::new(0.0);
        for i in 0..8 {
            t.worker(&format!("m-{i}"), "a", false);
        }
        // Long enough in office to know whether all is well.
        for _ in 0..20 {
            t.wait(1);
            t.s.set_controllers(&controllers, t.now);
            t.beat_all();
        }
        for second in 1..30 {
            t.wait(1);
            t.s.set_controllers(&controllers, t.now);
            t.beat_some(1..8);
            if !t.s.plan_fleet(t.now, 0).terminate.is_empty() {
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
    let mut t = Scenario::new(0.0);
    for i in 0..12 {
        t.worker(&format!("m-a{i:02}"), "a", false);
        t.worker(&format!("m-b{i:02}"), "b", false);
    }
    let mut given = 0;
    for second in 0..20 {
        t.wait(1);
        for i in 0..12 {
            t.beat(&format!("m-a{i:02}"));
            if i > second {
                t.beat(&format!("m-b{i:02}"));
            }
        }
        let plan = t.s.plan_fleet(t.now, 0);
        given += plan.terminate.len();
        t.s.on_terminated(&plan.terminate, t.now);
    }
    assert!((1..=3).contains(&given), "{given} given up");
}

/// Reports that go out, each by another controller as nobody answers, while the commands of their answers are lost.
fn unheard(t: &mut Scenario, name: &str, nth: usize) -> Vec<AgentCommand> {
    t.via = ["n-1", "n-2", "n-3"][nth % 3];
    let orders = t.ask(name);
    t.via = "n-1";
    orders
}

// Guards against a machine whose reports arrive while answers do not reach it: silence never shows, and id order would
// send the same task there for ever.
#[test]
fn a_machine_that_acknowledges_no_answer_gets_no_offers_and_is_terminated() {
    let mut t = Scenario::new(0.0);
    t.s.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 1..9 {
        t.worker(&format!("m-{i}"), "a", false);
    }
    t.submit(spec("j-1", 1));
    t.round();
    assert_eq!(runs(&unheard(&mut t, "m-1", 0)), 1);
    t.wait(5);
    assert_eq!(
        runs(&unheard(&mut t, "m-1", 1)),
        1,
        "one lost answer says nothing"
    );
    t.wait(5);
    assert_eq!(runs(&unheard(&mut t, "m-1", 2)), 0, "two in a row do");
    t.wait(1);
    t.beat_some(2..9);
    assert_eq!(t.workers["m-2"].running(), 1, "its start was proven lost");
    // A task that it does run, and that must stop, is lost on deaf ears as well; then the machine is terminated.
    let stuck = t.submit(spec("j-2", 40));
    t.round();
    t.beat("m-1");
    assert_eq!(t.workers["m-1"].running(), 0);
    t.wait(60);
    t.beat_all();
    t.beat_all();
    assert!(
        t.workers["m-1"].running() > 0,
        "answers arrive again, so it takes offers again"
    );
    t.s.end_job(&stuck, aborted(0));
    let mut waited = 0;
    while t.s.plan_fleet(t.now, 0).terminate.is_empty() {
        t.wait(5);
        waited += 5;
        unheard(&mut t, "m-1", waited);
        t.beat_some(2..9);
        assert!(
            waited <= 30,
            "its reports must not count as signs of life for ever"
        );
    }
    let gone = t.s.plan_fleet(t.now, 0).terminate;
    assert_eq!(gone, [MachineId("m-1".into())]);
    assert!(
        t.workers["m-1"].running() > 0,
        "and until then nothing of it ran elsewhere"
    );
}

// Guards against emptying a zone behind a cut through which only one direction passes.
#[test]
fn many_machines_that_acknowledge_no_answer_are_taken_for_a_partition() {
    let mut t = Scenario::new(0.0);
    t.s.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..8 {
        t.worker(&format!("m-{i}"), "a", false);
    }
    let job = t.submit(spec("j-1", 16));
    t.round();
    t.beat_all();
    t.s.end_job(&job, aborted(0));
    for second in (0..30).step_by(5) {
        t.wait(5);
        for i in 0..8 {
            let name = format!("m-{i}");
            if i < 4 {
                unheard(&mut t, &name, second / 5);
            } else {
                t.beat(&name);
            }
        }
        assert!(
            t.s.plan_fleet(t.now, 0).terminate.is_empty(),
            "after {second} s"
        );
    }
}

// Guards against late copies of heartbeats: of a machine returned, of an earlier state, of an earlier agent epoch.
#[test]
fn stale_copies_of_heartbeats_prove_nothing_revive_nothing_and_count_nothing_twice() {
    let mut t = Scenario::new(0.0);
    t.worker("m-1", "a", false);
    t.worker("m-2", "a", false);
    let before_any = t.workers.get_mut("m-1").expect("a worker").report("m-1");
    t.submit(spec("j-1", 2));
    t.round();
    t.beat("m-1");
    t.beat("m-1");
    assert_eq!(t.workers["m-1"].running(), 2);
    // To the same leader: the copy lacks the tasks, which proves nothing.
    t.wait(40);
    assert_eq!(t.deliver(&before_any), vec![]);
    assert_eq!(t.s.jobs[&JobId("j-1".into())].live, 2);
    // To a new leader that has not heard the machine: no proof, no sign that it is there, no commands to start.
    t.submit(spec("j-2", 2));
    t.take_over(later(TOKEN, 1));
    assert_eq!(runs(&t.deliver(&before_any)), 0);
    assert_eq!(t.s.jobs[&JobId("j-1".into())].live, 2);
    // A machine that the earlier leader returned is not brought back to take offers.
    let mut lost = Worker {
        zone: "a".into(),
        agent_epoch: 1,
        token: TOKEN,
        ..Worker::default()
    };
    for _ in 0..4 {
        t.wait(1);
        let copy = lost.report("m-0");
        assert_eq!(runs(&t.deliver(&copy)), 0);
    }
    assert!(t.s.machines[&MachineId("m-0".into())].reserved.is_empty());
    // A finish told again, in a copy and from an earlier agent epoch, counts once; its clear goes out as ever.
    t.beat_all();
    t.workers
        .get_mut("m-1")
        .expect("a worker")
        .exit_all(ExitCause::Done);
    let finished = t.workers.get_mut("m-1").expect("a worker").report("m-1");
    t.deliver(&finished);
    t.deliver(&finished);
    assert_eq!(t.done.len(), 1);
    let job = JobId("j-1".into());
    assert!(!t.s.jobs.contains_key(&job), "nothing is left of it");
    t.take_over(later(TOKEN, 2));
    t.deliver(&finished);
    assert!(!t.s.jobs.contains_key(&job) && t.done.len() == 1);
    // From a machine that this leader returned: nothing at all.
    let gone = MachineId("m-1".into());
    t.s.on_terminated(std::slice::from_ref(&gone), t.now);
    assert_eq!(t.deliver(&finished), vec![]);
    assert!(!t.s.machines.contains_key(&gone));
}

// Guards against giving up the workers of a controller that lost the state service and the other controllers, but keeps
// its workers alive; and against keeping for ever what died behind it.
#[test]
fn suspicion_is_suppressed_for_workers_of_an_isolated_controller() {
    let mut t = Scenario::new(0.0);
    t.s.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..10 {
        t.worker(&format!("m-{i}"), "a", false);
    }
    let mut controllers = vec![controller("n-0", "a", true), controller("n-1", "a", true)];
    let beat = |t: &mut Scenario, nth: usize| {
        t.via = if nth == 0 { "n-1" } else { "n-0" };
        t.beat(&format!("m-{nth}"));
    };
    (0..10).for_each(|i| beat(&mut t, i));
    controllers[1].is_reachable = false;
    for _ in 0..30 {
        t.wait(3);
        t.s.set_controllers(&controllers, t.now);
        (1..10).for_each(|i| beat(&mut t, i));
        assert!(t.s.plan_fleet(t.now, 0).terminate.is_empty());
    }
    // Once the controller answers again, its workers have the time to be heard.
    controllers[1].is_reachable = true;
    t.wait(1);
    t.s.set_controllers(&controllers, t.now);
    assert!(
        t.s.plan_fleet(t.now, 0).terminate.is_empty(),
        "the cut has only just ended"
    );
    // One that the cloud says has failed is not waited for.
    let listed = (0..10).map(|i| ListedMachine {
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
    t.s.on_list(&listed.collect::<Vec<_>>(), t.now);
    assert_eq!(
        t.s.plan_fleet(t.now, 0).terminate,
        [MachineId("m-0".into())]
    );
}

// Guards against what gave up 186 live machines on a quiet day: reports through one controller were held up for a few
// seconds, and its workers, fewer than a quarter of all, were taken to have died.
#[test]
fn many_late_workers_of_one_controller_get_the_grace_period_of_a_reconnect() {
    let mut t = Scenario::new(0.0);
    t.s.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..40 {
        t.via = ["n-1", "n-2", "n-3", "n-4", "n-5"][i % 5];
        t.worker(&format!("m-{i:02}"), ["a", "b"][i % 2], false);
    }
    let controllers: Vec<ControllerStatus> = ["n-1", "n-2", "n-3", "n-4", "n-5"]
        .iter()
        .map(|n| controller(n, "a", true))
        .collect();
    for second in 0..32 {
        t.wait(1);
        t.s.set_controllers(&controllers, t.now);
        for i in (0..40).filter(|i| i % 5 != 0 || second < 20) {
            t.via = ["n-1", "n-2", "n-3", "n-4", "n-5"][i % 5];
            t.beat(&format!("m-{i:02}"));
        }
        let given = t.s.plan_fleet(t.now, 0).terminate;
        assert!(given.is_empty(), "{given:?} after {second} s");
    }
}

// Guards against what gave up 235 live machines: the leader held most workers of a large fleet, lost the way to all of
// them, and every one of them late by a few seconds was taken to have died while the others were not late yet.
#[test]
fn a_stopped_path_is_no_failure_of_its_machines() {
    let mut t = Scenario::new(0.0);
    t.s.config.idle_timeout = Some(Micros::secs(10_000));
    let via = |i: usize| if i.is_multiple_of(10) { "n-1" } else { "" };
    for i in 0..300 {
        t.via = via(i);
        t.worker(&format!("m-{i:03}"), ["a", "b"][i % 2], false);
    }
    let controllers = [controller("n-0", "a", true), controller("n-1", "b", true)];
    let mut given = Vec::new();
    for second in 0..60 {
        t.wait(1);
        t.s.set_controllers(&controllers, t.now);
        // From the 30th second on the leader hears its own workers no more; they find the other one after 12 s. One
        // that reports there died at the same time.
        let lost = |i: usize| via(i).is_empty() && second < 42 || i == 10;
        for i in (0..300).filter(|i| i % 3 == second % 3 && (second < 30 || !lost(*i))) {
            t.via = if second < 30 { via(i) } else { "n-1" };
            t.beat(&format!("m-{i:03}"));
        }
        let plan = t.s.plan_fleet(t.now, 0);
        given.extend(plan.terminate.iter().map(|m| (m.clone(), second)));
        t.s.on_terminated(&plan.terminate, t.now);
    }
    assert_eq!(given, vec![(MachineId("m-010".into()), 35)]);
}

// Guards against giving up the first quarter of a cut zone that has no controller, which is late a little before the rest.
#[test]
fn an_unreachable_zone_is_not_terminated_before_its_leases_end() {
    let mut t = Scenario::new(0.0);
    t.s.config.idle_timeout = Some(Micros::secs(10_000));
    t.s.config.heartbeat_interval = Micros::secs(6);
    for i in 0..60 {
        t.worker(&format!("m-{i}"), ["a", "a", "b"][i % 3], false);
    }
    let controllers = [controller("n-0", "a", true), controller("n-1", "a", true)];
    let mut first = 0;
    for second in 0..80 {
        t.wait(1);
        t.s.set_controllers(&controllers, t.now);
        // Every machine reports every sixth second; from the 30th on those of the other zone are not heard.
        let heard = |i: &usize| i / 3 % 6 == second % 6 && (i % 3 != 2 || second < 30);
        t.beat_some((0..60).filter(heard));
        let given = t.s.plan_fleet(t.now, 0).terminate;
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
    let mut t = Scenario::new(0.0);
    t.s.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..20 {
        t.worker(&format!("m-{i}"), "a", false);
    }
    t.wait(50);
    t.s.on_process_pause(Micros::secs(50), t.now);
    for _ in 0..6 {
        assert_eq!(t.s.plan_fleet(t.now, 0).terminate, vec![]);
        t.wait(1);
    }
    t.beat_some(1..20);
    t.wait(15);
    t.beat_some(1..20);
    let given = t.s.plan_fleet(t.now, 0).terminate;
    assert_eq!(given, vec![MachineId("m-0".into())], "silent since");
    t.s.on_terminated(&given, t.now);
    // One that stops for a second every three still finds the next that dies.
    for second in 0..40 {
        t.wait(1);
        if second % 3 == 0 {
            t.s.on_process_pause(Micros::secs(1), t.now);
        }
        t.beat_some(2..20);
        let given = t.s.plan_fleet(t.now, 0).terminate;
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
    let mut t = Scenario::new(0.0);
    t.s.config.idle_timeout = Some(Micros::secs(10_000));
    t.via = "";
    for i in 0..30 {
        t.worker(&format!("m-{i:02}"), "a", false);
    }
    let controllers = [controller("n-0", "a", true), controller("n-1", "a", true)];
    let shed_after = |t: &mut Scenario, seconds: u64| {
        let mut shed = 0;
        for _ in 0..seconds {
            t.wait(1);
            t.s.set_controllers(&controllers, t.now);
            t.beat_all();
            t.s.plan_fleet(t.now, 0);
            shed = (0..30).filter(|_| t.s.take_redirect()).count();
        }
        shed
    };
    assert_eq!(
        shed_after(&mut t, 10),
        0,
        "not while it may still be needed"
    );
    assert_eq!(shed_after(&mut t, 20), 1, "ten too many, so one at a time");
    t.via = "n-1";
    assert_eq!(shed_after(&mut t, 2), 0, "and none once others have them");
}

// Guards against giving up the workers beyond a cut of two other zones, of which this controller reaches every one.
#[test]
fn a_partition_that_only_others_see_resets_stability() {
    let mut t = Scenario::new(0.0);
    t.s.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..20 {
        t.worker(&format!("m-{i:02}"), ["a", "b"][i % 2], false);
    }
    let controllers = [controller("n-0", "c", true), controller("n-1", "a", true)];
    let mut given = Vec::new();
    for second in 0..30 {
        t.wait(1);
        t.s.set_controllers(&controllers, t.now);
        if second >= 20 {
            t.s.reset_stability();
        }
        for i in (0..20).filter(|i| i % 7 != 0 || second < 20) {
            t.beat(&format!("m-{i:02}"));
        }
        given.extend(t.s.plan_fleet(t.now, 0).terminate);
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
    let mut t = Scenario::new(0.0);
    for i in 0..10 {
        t.worker(&format!("m-{i}"), "a", false);
    }
    t.submit(spec("j-1", 20));
    t.round();
    t.beat_all();
    t.take_over(later(TOKEN, 1));
    let controllers = [controller("n-0", "a", false), controller("n-1", "a", true)];
    let mut given_up = None;
    for second in 1..60 {
        t.wait(1);
        t.s.set_controllers(&controllers, t.now);
        // Two of them hear only the silent controller.
        if second % 3 == 0 {
            t.beat_some(2..10);
        }
        if !t.s.plan_fleet(t.now, 0).terminate.is_empty() {
            given_up.get_or_insert(second);
        }
    }
    let lease = config().worker_lease.0 / 1_000_000;
    assert!(given_up.is_some_and(|s| s > lease), "{given_up:?}");
}
