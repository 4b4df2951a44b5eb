//! Distinction between failed machines and machines that are alive but unreachable.

use super::{
    Simulation, TOKEN, Worker, aborted, config, controller, count_starts, spec, token_after,
};
use crate::cloud_types::{ListedMachine, ListedStatus};
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
    assert_eq!(
        sim.workers["m-2"].running(),
        0,
        "a heartbeat timeout does not prove that the task has stopped"
    );
    let plan = sim.scheduler.plan_fleet(sim.now, 0);
    assert_eq!(plan.terminate, vec![MachineId("m-1".into())]);
    sim.heartbeat("m-2");
    assert_eq!(
        sim.workers["m-2"].running(),
        0,
        "nor does the request to terminate the machine"
    );
    sim.scheduler.on_terminated(&plan.terminate, sim.now);
    sim.run_cycle_and_commit();
    sim.heartbeat("m-2");
    assert_eq!(sim.workers["m-2"].running(), 1);
    // A delayed heartbeat does not add the machine again.
    let commands = sim.send_heartbeat("m-1");
    assert_eq!(commands, vec![]);
}

#[test]
fn simultaneous_timeout_of_a_zone_is_treated_as_a_partition() {
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
    // Another controller receives heartbeats of half of the machines in zone b. The leases of the others expire.
    sim.advance(25);
    let contacted: Vec<MachineId> = (0..4).map(|i| MachineId(format!("m-b{i}"))).collect();
    sim.scheduler.on_contact("n-2", &contacted, sim.now);
    for i in 0..8 {
        sim.heartbeat(&format!("m-a{i}"));
    }
    let terminated: Vec<String> = sim
        .scheduler
        .plan_fleet(sim.now, 0)
        .terminate
        .into_iter()
        .map(|m| m.0)
        .collect();
    assert_eq!(terminated, ["m-b4", "m-b5", "m-b6", "m-b7"]);
}

#[test]
fn preemption_of_many_spot_machines_is_not_treated_as_a_partition() {
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
fn machine_missing_from_the_list_is_lost_only_if_the_list_cannot_predate_it() {
    let mut sim = Simulation::new(0.0);
    let listed = |name: &str, age_s: f64| ListedMachine {
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

// Prevents live machines from being terminated during a partition: a worker may first try two unreachable controllers,
// which takes five seconds each.
#[test]
fn grace_period_is_longer_while_controllers_are_unreachable() {
    let seconds_until_termination = |unreachable: &[(&str, &str)]| {
        let mut controllers = vec![controller("n-0", "a", true), controller("n-1", "a", true)];
        controllers.push(controller("n-2", "b", true));
        controllers.extend(
            unreachable
                .iter()
                .map(|(node, zone)| controller(node, zone, false)),
        );
        let mut sim = Simulation::new(0.0);
        for i in 0..8 {
            sim.add_worker(&format!("m-{i}"), "a", false);
        }
        // Long enough for the leader to consider the controllers stable.
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
    assert_eq!(seconds_until_termination(&[]), 7);
    assert_eq!(seconds_until_termination(&[("n-3", "b")]), 12);
    assert_eq!(seconds_until_termination(&[("n-3", "a")]), 17);
    assert_eq!(seconds_until_termination(&[("n-3", "b"), ("n-4", "b")]), 17);
}

// Prevents a partitioned zone from being terminated a few machines at a time as their heartbeats stop one after the
// other.
#[test]
fn partitioned_zone_is_not_terminated_a_few_machines_at_a_time() {
    let mut sim = Simulation::new(0.0);
    for i in 0..12 {
        sim.add_worker(&format!("m-a{i:02}"), "a", false);
        sim.add_worker(&format!("m-b{i:02}"), "b", false);
    }
    let mut terminated = 0;
    for second in 0..20 {
        sim.advance(1);
        for i in 0..12 {
            sim.heartbeat(&format!("m-a{i:02}"));
            if i > second {
                sim.heartbeat(&format!("m-b{i:02}"));
            }
        }
        let plan = sim.scheduler.plan_fleet(sim.now, 0);
        terminated += plan.terminate.len();
        sim.scheduler.on_terminated(&plan.terminate, sim.now);
    }
    assert!((1..=3).contains(&terminated), "{terminated} terminated");
}

/// Sends a heartbeat whose response is lost. As the worker gets no responses, it sends each heartbeat through another
/// controller.
fn heartbeat_with_lost_response(
    sim: &mut Simulation,
    name: &str,
    index: usize,
) -> Vec<AgentCommand> {
    sim.via = ["n-1", "n-2", "n-3"][index % 3];
    let commands = sim.send_heartbeat(name);
    sim.via = "n-1";
    commands
}

// Heartbeats of a machine may arrive while responses do not reach it. Without detection of this, the machine would
// never time out, and offers in id order would place the same task there forever.
#[test]
fn machine_that_acknowledges_no_responses_gets_no_offers_and_is_terminated() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 1..9 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    assert_eq!(
        count_starts(&heartbeat_with_lost_response(&mut sim, "m-1", 0)),
        1
    );
    sim.advance(5);
    assert_eq!(
        count_starts(&heartbeat_with_lost_response(&mut sim, "m-1", 1)),
        1,
        "a single lost response does not count"
    );
    sim.advance(5);
    assert_eq!(
        count_starts(&heartbeat_with_lost_response(&mut sim, "m-1", 2)),
        0,
        "two consecutive lost responses do"
    );
    sim.advance(1);
    sim.heartbeat_numbered(2..9);
    assert_eq!(
        sim.workers["m-2"].running(),
        1,
        "the start sent to m-1 is known to be lost"
    );
    // The stop of a task that does run there does not arrive either, so the machine is terminated.
    let running_job = sim.submit(spec("j-2", 40));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    assert_eq!(sim.workers["m-1"].running(), 0);
    sim.advance(60);
    sim.heartbeat_all();
    sim.heartbeat_all();
    assert!(
        sim.workers["m-1"].running() > 0,
        "responses arrive again, so the machine takes offers again"
    );
    sim.scheduler.end_job(&running_job, aborted(0));
    let mut waited = 0;
    while sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty() {
        sim.advance(5);
        waited += 5;
        heartbeat_with_lost_response(&mut sim, "m-1", waited);
        sim.heartbeat_numbered(2..9);
        assert!(
            waited <= 30,
            "its heartbeats must not count as contact forever"
        );
    }
    let terminated = sim.scheduler.plan_fleet(sim.now, 0).terminate;
    assert_eq!(terminated, [MachineId("m-1".into())]);
    assert!(
        sim.workers["m-1"].running() > 0,
        "until then, its tasks do not run elsewhere"
    );
}

// Prevents a zone from being terminated behind a partition that lets messages pass in one direction only.
#[test]
fn many_machines_that_acknowledge_no_responses_are_treated_as_a_partition() {
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
                heartbeat_with_lost_response(&mut sim, &name, second / 5);
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

// Delayed duplicates of heartbeats may come from a terminated machine, an earlier state or an earlier agent epoch.
#[test]
fn stale_heartbeats_release_no_tasks_add_no_machines_and_count_no_completion_twice() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "a", false);
    let heartbeat_without_tasks = sim
        .workers
        .get_mut("m-1")
        .expect("a worker")
        .next_heartbeat("m-1");
    sim.submit(spec("j-1", 2));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    assert_eq!(sim.workers["m-1"].running(), 2);
    // The same leader receives a duplicate that lacks the tasks, which does not prove that they are gone.
    sim.advance(40);
    assert_eq!(sim.handle_heartbeat(&heartbeat_without_tasks), vec![]);
    assert_eq!(sim.scheduler.jobs[&JobId("j-1".into())].live, 2);
    // A new leader that has received no other heartbeat of the machine receives the duplicate. This proves neither that
    // the tasks are gone nor that the machine is alive, and no start is sent.
    sim.submit(spec("j-2", 2));
    sim.change_leader(token_after(TOKEN, 1));
    assert_eq!(
        count_starts(&sim.handle_heartbeat(&heartbeat_without_tasks)),
        0
    );
    assert_eq!(sim.scheduler.jobs[&JobId("j-1".into())].live, 2);
    // A machine that the earlier leader terminated does not take offers again.
    let mut terminated_worker = Worker {
        zone: "a".into(),
        agent_epoch: 1,
        token: TOKEN,
        ..Worker::default()
    };
    for _ in 0..4 {
        sim.advance(1);
        let duplicate = terminated_worker.next_heartbeat("m-0");
        assert_eq!(count_starts(&sim.handle_heartbeat(&duplicate)), 0);
    }
    assert!(
        sim.scheduler.machines[&MachineId("m-0".into())]
            .reserved
            .is_empty()
    );
    // A completion that is reported again, in a duplicate or from an earlier agent epoch, counts once and is cleared as
    // usual.
    sim.heartbeat_all();
    sim.workers
        .get_mut("m-1")
        .expect("a worker")
        .exit_all(ExitCause::Done);
    let heartbeat_with_completion = sim
        .workers
        .get_mut("m-1")
        .expect("a worker")
        .next_heartbeat("m-1");
    sim.handle_heartbeat(&heartbeat_with_completion);
    sim.handle_heartbeat(&heartbeat_with_completion);
    assert_eq!(sim.done.len(), 1);
    let job = JobId("j-1".into());
    assert!(!sim.scheduler.jobs.contains_key(&job), "the job is removed");
    sim.change_leader(token_after(TOKEN, 2));
    sim.handle_heartbeat(&heartbeat_with_completion);
    assert!(!sim.scheduler.jobs.contains_key(&job) && sim.done.len() == 1);
    // Heartbeats of a machine that this leader terminated have no effect.
    let terminated = MachineId("m-1".into());
    sim.scheduler
        .on_terminated(std::slice::from_ref(&terminated), sim.now);
    assert_eq!(sim.handle_heartbeat(&heartbeat_with_completion), vec![]);
    assert!(!sim.scheduler.machines.contains_key(&terminated));
}

// A controller that can reach neither the key-value store nor the other controllers keeps its workers alive, so they
// must not be terminated. Machines that fail while they are connected to it must not be kept forever either.
#[test]
fn suspicion_is_suppressed_for_workers_of_an_isolated_controller() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..10 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    let mut controllers = vec![controller("n-0", "a", true), controller("n-1", "a", true)];
    let send = |sim: &mut Simulation, index: usize| {
        sim.via = if index == 0 { "n-1" } else { "n-0" };
        sim.heartbeat(&format!("m-{index}"));
    };
    (0..10).for_each(|i| send(&mut sim, i));
    controllers[1].is_reachable = false;
    for _ in 0..30 {
        sim.advance(3);
        sim.scheduler.set_controllers(&controllers, sim.now);
        (1..10).for_each(|i| send(&mut sim, i));
        assert!(sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty());
    }
    // Once the controller is reachable again, its workers get time to make contact.
    controllers[1].is_reachable = true;
    sim.advance(1);
    sim.scheduler.set_controllers(&controllers, sim.now);
    assert!(
        sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty(),
        "the partition has only just ended"
    );

    // A machine that the cloud reports as failed is terminated at once.
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
    sim.scheduler.on_list(&listed.collect::<Vec<_>>(), sim.now);
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, 0).terminate,
        [MachineId("m-0".into())]
    );
}

// A leader terminated 186 live machines without any outage: heartbeats through one controller were delayed by a few
// seconds, and its workers, fewer than a quarter of all, were considered failed.
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
        let terminated = sim.scheduler.plan_fleet(sim.now, 0).terminate;
        assert!(terminated.is_empty(), "{terminated:?} after {second} s");
    }
}

// A leader terminated 235 live machines: most workers of a large fleet sent their heartbeats to it directly, and it
// lost contact with all of them at once. Each one that was late by a few seconds was considered failed while the others
// were not late yet.
#[test]
fn stopped_path_does_not_count_as_failure_of_its_machines() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    let via = |i: usize| if i.is_multiple_of(10) { "n-1" } else { "" };
    for i in 0..300 {
        sim.via = via(i);
        sim.add_worker(&format!("m-{i:03}"), ["a", "b"][i % 2], false);
    }
    let controllers = [controller("n-0", "a", true), controller("n-1", "b", true)];
    let mut terminated = Vec::new();
    for second in 0..60 {
        sim.advance(1);
        sim.scheduler.set_controllers(&controllers, sim.now);
        // From second 30 on, the leader gets no heartbeats of its own workers; they reconnect to the other controller
        // after 12 s. One of the workers of that controller fails at second 30 too.
        let is_cut_off = |i: usize| via(i).is_empty() && second < 42 || i == 10;
        for i in (0..300).filter(|i| i % 3 == second % 3 && (second < 30 || !is_cut_off(*i))) {
            sim.via = if second < 30 { via(i) } else { "n-1" };
            sim.heartbeat(&format!("m-{i:03}"));
        }
        let plan = sim.scheduler.plan_fleet(sim.now, 0);
        terminated.extend(plan.terminate.iter().map(|m| (m.clone(), second)));
        sim.scheduler.on_terminated(&plan.terminate, sim.now);
    }
    assert_eq!(terminated, vec![(MachineId("m-010".into()), 35)]);
}

// Prevents the first quarter of the machines in a partitioned zone without a controller, which are late a little before
// the rest, from being terminated as separate failures.
#[test]
fn unreachable_zone_is_not_terminated_before_its_leases_expire() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    sim.scheduler.config.heartbeat_interval = Micros::secs(6);
    for i in 0..60 {
        sim.add_worker(&format!("m-{i}"), ["a", "a", "b"][i % 3], false);
    }
    let controllers = [controller("n-0", "a", true), controller("n-1", "a", true)];
    let mut terminated_after = 0;
    for second in 0..80 {
        sim.advance(1);
        sim.scheduler.set_controllers(&controllers, sim.now);
        // Each machine sends a heartbeat every 6 s. From second 30 on, those of zone b do not arrive.
        let arrives = |i: &usize| i / 3 % 6 == second % 6 && (i % 3 != 2 || second < 30);
        sim.heartbeat_numbered((0..60).filter(arrives));
        let terminated = sim.scheduler.plan_fleet(sim.now, 0).terminate;
        if !terminated.is_empty() {
            terminated_after = second;
            break;
        }
    }
    assert!(
        (30 + 36..30 + 45).contains(&terminated_after),
        "after {terminated_after} s"
    );
}

// A leader whose process was paused for longer than a worker lease may still be the leader, as after an outage. The
// heartbeats that it could not receive during the pause must not count as missed.
#[test]
fn process_pause_of_the_leader_does_not_count_as_missed_heartbeats() {
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
    let terminated = sim.scheduler.plan_fleet(sim.now, 0).terminate;
    assert_eq!(
        terminated,
        vec![MachineId("m-0".into())],
        "no heartbeat since the pause"
    );
    sim.scheduler.on_terminated(&terminated, sim.now);
    // A leader that is paused for 1 s every 3 s still detects the next failure.
    for second in 0..40 {
        sim.advance(1);
        if second % 3 == 0 {
            sim.scheduler.on_process_pause(Micros::secs(1), sim.now);
        }
        sim.heartbeat_numbered(2..20);
        let terminated = sim.scheduler.plan_fleet(sim.now, 0).terminate;
        if !terminated.is_empty() {
            assert_eq!(terminated, vec![MachineId("m-1".into())]);
            return;
        }
    }
    panic!("the failed machine was not detected");
}

// Prevents the leader from keeping every worker after a partition between the controllers.
#[test]
fn leader_with_surplus_workers_redirects_them_gradually_once_controllers_are_stable() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    sim.via = "";
    for i in 0..30 {
        sim.add_worker(&format!("m-{i:02}"), "a", false);
    }
    let controllers = [controller("n-0", "a", true), controller("n-1", "a", true)];
    let redirects_after = |sim: &mut Simulation, seconds: u64| {
        let mut redirects = 0;
        for _ in 0..seconds {
            sim.advance(1);
            sim.scheduler.set_controllers(&controllers, sim.now);
            sim.heartbeat_all();
            sim.scheduler.plan_fleet(sim.now, 0);
            redirects = (0..30).filter(|_| sim.scheduler.take_redirect()).count();
        }
        redirects
    };
    assert_eq!(
        redirects_after(&mut sim, 10),
        0,
        "not before the controllers have been stable for long enough"
    );
    assert_eq!(
        redirects_after(&mut sim, 20),
        1,
        "ten surplus workers, so one redirect per plan"
    );
    sim.via = "n-1";
    assert_eq!(
        redirects_after(&mut sim, 2),
        0,
        "none once other controllers have the workers"
    );
}

// Prevents workers from being terminated because of a partition between two other zones, both of which this controller
// can reach.
#[test]
fn partition_observed_only_by_other_controllers_resets_stability() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..20 {
        sim.add_worker(&format!("m-{i:02}"), ["a", "b"][i % 2], false);
    }
    let controllers = [controller("n-0", "c", true), controller("n-1", "a", true)];
    let mut terminated = Vec::new();
    for second in 0..30 {
        sim.advance(1);
        sim.scheduler.set_controllers(&controllers, sim.now);
        if second >= 20 {
            sim.scheduler.reset_stability();
        }
        for i in (0..20).filter(|i| i % 7 != 0 || second < 20) {
            sim.heartbeat(&format!("m-{i:02}"));
        }
        terminated.extend(sim.scheduler.plan_fleet(sim.now, 0).terminate);
    }
    assert_eq!(
        terminated,
        vec![],
        "the workers reconnect to another controller within 10 s"
    );
}

// Prevents a new leader from terminating live machines because it does not know yet that their controller is
// partitioned.
#[test]
fn new_leader_waits_for_machines_that_may_be_in_contact_with_an_unreachable_controller() {
    let mut sim = Simulation::new(0.0);
    for i in 0..10 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(spec("j-1", 20));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    sim.change_leader(token_after(TOKEN, 1));
    let controllers = [controller("n-0", "a", false), controller("n-1", "a", true)];
    let mut terminated_after = None;
    for second in 1..60 {
        sim.advance(1);
        sim.scheduler.set_controllers(&controllers, sim.now);
        // Two of the machines are in contact with the unreachable controller only.
        if second % 3 == 0 {
            sim.heartbeat_numbered(2..10);
        }
        if !sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty() {
            terminated_after.get_or_insert(second);
        }
    }
    let lease = config().worker_lease.0 / 1_000_000;
    assert!(
        terminated_after.is_some_and(|s| s > lease),
        "{terminated_after:?}"
    );
}
