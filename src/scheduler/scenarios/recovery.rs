//! New leaders and restarts.

use super::{Simulation, TOKEN, aborted, count_starts, spec, token_after};
use crate::cloud_types::{Listed, ListedStatus};
use crate::scheduler::{ExitCause, FleetPlan, JobId, JobSpec, MachineId, Pool, TaskState};
use crate::units::Micros;

#[test]
fn a_new_leader_does_not_take_absence_for_proof_until_its_token_was_seen() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    // The old leader's start is on its way when the new one takes over.
    let late = sim.send_heartbeat("m-1");
    sim.change_leader(token_after(TOKEN, 1));
    sim.add_worker("m-2", "a", false);
    let commands = sim.send_heartbeat("m-1");
    assert_eq!(
        count_starts(&commands),
        0,
        "the report shows the task absent, but under the old token"
    );
    assert_eq!(
        sim.workers["m-2"].running(),
        0,
        "so it is not offered elsewhere"
    );
    // The late start arrives first after all: the task runs once, where it was placed.
    sim.workers.get_mut("m-1").unwrap().execute(&late, TOKEN);
    sim.workers
        .get_mut("m-1")
        .unwrap()
        .execute(&commands, token_after(TOKEN, 1));
    sim.heartbeat_all();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 1);
}

#[test]
fn a_new_leader_frees_what_is_absent_under_its_own_token() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    let late = sim.send_heartbeat("m-1");
    sim.change_leader(token_after(TOKEN, 1));
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    // The deposed leader's answer is dropped, as its token is lower now.
    sim.workers.get_mut("m-1").unwrap().execute(&late, TOKEN);
    sim.heartbeat("m-1");
    assert_eq!(sim.running(), 1);
    let attempts: Vec<u64> = sim.workers["m-1"].tasks.keys().map(|(_, a)| *a).collect();
    assert_eq!(attempts, vec![2], "attempts only rise");
}

#[test]
fn after_a_restart_of_all_controllers_nothing_runs_twice_and_nothing_is_lost() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "b", false);
    sim.submit(spec("j-1", 4));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 4);
    sim.change_leader(token_after(TOKEN, 1));
    sim.heartbeat_all();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 4);
    for w in sim.workers.values_mut() {
        w.exit_all(ExitCause::Done);
    }
    sim.heartbeat_all();
    sim.heartbeat_all();
    assert_eq!(sim.done.len(), 1);
}

// Guards against slow starts after a change of leader, when nobody knew any more which machine had which image.
#[test]
fn a_new_leader_knows_which_machine_has_an_image() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-2", "a", false);
    let first = sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-2");
    sim.heartbeat("m-2");
    sim.scheduler.end_job(&first, aborted(0));
    sim.heartbeat("m-2");
    sim.heartbeat("m-2");
    sim.commit();
    sim.records.remove(&first);
    sim.add_worker("m-1", "a", false);
    sim.change_leader(token_after(TOKEN, 1));
    sim.heartbeat_all();
    sim.heartbeat_all();
    sim.submit(spec("j-2", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.workers["m-2"].running(), 1);
    let gone = MachineId("m-2".into());
    sim.scheduler
        .on_terminated(std::slice::from_ref(&gone), sim.now);
    sim.commit();
    assert!(!sim.images.contains_key(&gone));
}

// Guards against a machine that is back under a new agent epoch before the old one was missed: what it lost starts again,
// what was on its way to the old agent epoch is not taken for started, and one such return is no deafness.
#[test]
fn a_machine_back_at_once_under_a_new_agent_epoch_starts_its_tasks_again() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 2));
    sim.run_cycle_and_commit();
    let lost = sim.send_heartbeat("m-1");
    assert_eq!(count_starts(&lost), 2);
    let worker = sim.workers.get_mut("m-1").expect("a worker");
    (worker.agent_epoch, worker.sequence) = (2, 0);
    sim.heartbeat("m-1");
    sim.advance(1);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    assert_eq!(sim.workers["m-1"].running(), 2);
    let worker = sim.workers.get_mut("m-1").expect("a worker");
    worker.tasks.clear();
    (worker.agent_epoch, worker.sequence) = (3, 0);
    sim.heartbeat("m-1");
    sim.advance(1);
    sim.heartbeat("m-1");
    assert_eq!(sim.workers["m-1"].running(), 2);
    assert!(sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty());
}

// Guards against a new leader that rents anew what runs already, and against one that waits though it heard all.
#[test]
fn a_new_leader_provisions_once_it_has_heard_what_is_up() {
    let mut sim = Simulation::new(0.0);
    sim.change_leader(token_after(TOKEN, 1));
    let up = Listed {
        machine: MachineId("m-1".into()),
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: false,
        status: ListedStatus::Running,
        age_s: 100.0,
    };
    sim.submit(spec("j-1", 8));
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, 0).provision,
        vec![],
        "nothing is known yet"
    );
    sim.scheduler.on_list(&[up], sim.now);
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, 0).provision,
        vec![],
        "one is up and not heard"
    );
    sim.add_worker("m-1", "a", false);
    sim.advance(1);
    sim.heartbeat("m-1");
    let rented: usize = sim
        .scheduler
        .plan_fleet(sim.now, 0)
        .provision
        .iter()
        .map(|w| w.count)
        .sum();
    assert_eq!(rented, 3);
}

// Guards against tasks that wait for machines which the leader before gave back, though its note of them still stands.
#[test]
fn a_new_leader_does_not_count_on_what_should_long_be_up() {
    let mut sim = Simulation::new(0.0);
    let pool = Pool {
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: true,
    };
    let rents = |sim: &mut Simulation, age: u64| {
        sim.change_leader(token_after(sim.scheduler.token(), 1));
        sim.scheduler.on_list(&[], sim.now);
        let noted = [MachineId("m-1".into())];
        sim.scheduler
            .inherit_provisioned(&pool, &noted, Micros::secs(age), sim.now);
        sim.advance(6);
        sim.scheduler.plan_fleet(sim.now, 0).provision.len()
    };
    sim.submit(spec("j-1", 2));
    assert_eq!(rents(&mut sim, 10), 0, "it boots");
    assert_eq!(rents(&mut sim, 80), 1, "it is not there, or stuck");
}

// Guards against a new leader that takes what the one before gave back for boots that are late, as on the incident inc-f66a:
// it then waits for other late machines of these zones, and rents elsewhere first.
#[test]
fn what_an_earlier_leader_provisioned_and_the_list_lacks_is_no_late_boot() {
    let mut sim = Simulation::new(0.0);
    let pool = Pool {
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: true,
    };
    let noted: Vec<MachineId> = (0..4).map(|i| MachineId(format!("m-{i}"))).collect();
    sim.change_leader(token_after(sim.scheduler.token(), 1));
    sim.scheduler
        .inherit_provisioned(&pool, &noted, Micros::secs(69), sim.now);
    sim.scheduler.on_list(&[], sim.now);
    sim.submit(spec("j-1", 2));
    let mut rented = 0;
    for _ in 0..24 {
        sim.advance(1);
        rented += sim.scheduler.plan_fleet(sim.now, 0).provision.len();
    }
    assert!(rented > 0, "nothing comes");
    assert_eq!(
        sim.scheduler
            .machines
            .values()
            .filter(|m| !m.is_gone)
            .count(),
        0
    );
    let notes = sim.info_lines();
    assert!(
        notes.iter().any(|n| n.contains("why=lost")),
        "they are dropped: {notes:?}"
    );
    assert!(
        !notes.iter().any(|n| n.contains("provisioning_slow")),
        "{notes:?}"
    );
}

// Guards against a job said to be done too early, or run again, because its tasks end under one leader each.
#[test]
fn tasks_that_end_far_apart_over_changes_of_leader_are_done_once_all_are() {
    let mut sim = Simulation::new(0.0);
    for i in 0..3 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    let large = JobSpec {
        accelerators: 2.0,
        ..spec("j-1", 3)
    };
    let job = sim.submit(large);
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 3);
    for i in 0..3 {
        assert!(!sim.done.contains(&job), "{i} of 3 are finished");
        let worker = sim.workers.get_mut(&format!("m-{i}")).expect("a worker");
        worker.exit_all(ExitCause::Done);
        sim.heartbeat_all();
        assert_eq!(sim.running(), 2 - i, "nothing runs again");
        if i < 2 {
            sim.change_leader(token_after(sim.scheduler.token(), 1));
            sim.heartbeat_all();
            sim.advance(30);
            sim.heartbeat_all();
        }
    }
    assert!(sim.done.contains(&job));
}

// Guards against a recovery of which nobody can tell how far it is: what no worker has confirmed is counted until it is.
#[test]
fn a_new_leader_logs_what_it_has_confirmed_and_what_not_yet() {
    let mut sim = Simulation::new(0.0);
    for name in ["m-1", "m-2", "m-3"] {
        sim.add_worker(name, "a", false);
    }
    sim.submit(JobSpec {
        accelerators: 2.0,
        ..spec("j-1", 3)
    });
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 3);
    sim.change_leader(token_after(TOKEN, 1));
    let told = |sim: &mut Simulation| {
        sim.scheduler.plan_fleet(sim.now, 0);
        let notes = sim.info_lines();
        let about = notes.into_iter().filter(|n| n.contains("=recovery_"));
        about.collect::<Vec<String>>().join("\n")
    };
    assert!(told(&mut sim).contains("recovery_started token=8 recorded=3"));
    // One agrees, one has ended; the third says nothing.
    sim.heartbeat("m-1");
    let worker = sim.workers.get_mut("m-2").expect("a worker");
    worker.exit_all(ExitCause::Done);
    sim.heartbeat("m-2");
    sim.advance(10);
    let line = told(&mut sim);
    assert!(
        line.contains("recovery_progress token=8 unconfirmed=1 agreed=1 ended=1"),
        "{line}"
    );
    sim.scheduler
        .on_terminated(&[MachineId("m-3".into())], sim.now);
    let line = told(&mut sim);
    assert!(
        line.contains("recovery_completed token=8 recorded=3"),
        "{line}"
    );
    assert!(
        line.contains("agreed=1 ended=1 gone=0 machine_returned=1"),
        "{line}"
    );
    assert_eq!(told(&mut sim), "");
}

// Guards against two workers that claim one task after a loss, whose records lack what was placed last.
#[test]
fn after_a_loss_the_higher_attempt_of_a_task_counts_and_nothing_is_offered_before_all_were_heard() {
    let mut sim = Simulation::new(0.0);
    for name in ["m-1", "m-2", "m-3"] {
        sim.add_worker(name, "a", false);
    }
    let id = sim.submit(spec("j-1", 3));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    let reserved = |sim: &Simulation, name: &str| {
        sim.scheduler.machines[&MachineId(name.into())]
            .reserved
            .len()
    };
    assert_eq!((reserved(&sim, "m-1"), reserved(&sim, "m-2")), (2, 1));
    // The records are from before the first task was lost and placed again on another machine, which runs it.
    let run = |sim: &mut Simulation, name: &str, attempt: u64| {
        let worker = sim.workers.get_mut(name).expect("a worker");
        let running = (TaskState::Running, None);
        worker.tasks.insert(("j-1/0".into(), attempt), running);
    };
    run(&mut sim, "m-3", 7);
    sim.change_leader(token_after(TOKEN, 1));
    sim.scheduler.begin_rebuild(1, sim.now);
    sim.submit(spec("j-2", 1));
    let begun = sim.now;
    for _ in 0..2 {
        sim.advance(3);
        for name in ["m-1", "m-3"] {
            sim.heartbeat(name);
        }
    }
    let placed = |sim: &Simulation| {
        sim.scheduler.jobs[&id]
            .placement(0)
            .map(|p| (p.machine.0.clone(), p.attempt))
    };
    assert_eq!(placed(&sim), Some(("m-3".into(), 7)));
    let first = &sim.workers["m-1"].tasks[&("j-1/0".into(), 1)];
    assert_eq!(first.0, TaskState::Exited, "the lower attempt is stopped");
    // One machine was not heard, and the list is too old to tell of all there are.
    sim.scheduler.on_list(&[], begun);
    assert!(!sim.scheduler.check_rebuild(sim.now));
    sim.run_cycle_and_commit();
    assert_eq!(sim.scheduler.jobs[&JobId("j-2".into())].live, 0);
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, 1_000_000_000),
        FleetPlan::default()
    );
    sim.heartbeat("m-2");
    sim.heartbeat("m-2");
    assert!(!sim.scheduler.check_rebuild(sim.now));
    sim.advance(20);
    sim.heartbeat_all();
    let list = ["m-1", "m-2", "m-3"].map(|name| Listed {
        machine: MachineId(name.into()),
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: false,
        status: ListedStatus::Running,
        age_s: 60.0,
    });
    sim.scheduler.on_list(&list, sim.now);
    assert!(sim.scheduler.check_rebuild(sim.now));
    sim.advance(1);
    sim.run_cycle_and_commit();
    let job = &sim.scheduler.jobs[&JobId("j-2".into())];
    assert_eq!(job.live, 1);
    let attempt = job.placement(0).map_or(0, |p| p.attempt);
    assert!(
        attempt >= 1 << 32,
        "above all that were given out before: {attempt}"
    );
}
