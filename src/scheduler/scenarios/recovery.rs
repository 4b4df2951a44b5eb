//! New leaders and restarts.

use super::{Scenario, TOKEN, aborted, later, runs, spec};
use crate::cloud_types::{ListedMachine, ListedStatus};
use crate::scheduler::{ExitCause, FleetPlan, JobId, JobSpec, MachineId, Pool, TaskState};
use crate::units::Micros;

#[test]
fn a_new_leader_does_not_take_absence_for_proof_until_its_token_was_seen() {
    let mut t = Scenario::new(0.0);
    t.worker("m-1", "a", false);
    t.submit(spec("j-1", 1));
    t.round();
    // The old leader's start is on its way when the new one takes over.
    let late = t.ask("m-1");
    t.take_over(later(TOKEN, 1));
    t.worker("m-2", "a", false);
    let orders = t.ask("m-1");
    assert_eq!(
        runs(&orders),
        0,
        "the report shows the task absent, but under the old token"
    );
    assert_eq!(
        t.workers["m-2"].running(),
        0,
        "so it is not offered elsewhere"
    );
    // The late start arrives first after all: the task runs once, where it was placed.
    t.workers.get_mut("m-1").unwrap().execute(&late, TOKEN);
    t.workers
        .get_mut("m-1")
        .unwrap()
        .execute(&orders, later(TOKEN, 1));
    t.beat_all();
    t.beat_all();
    assert_eq!(t.running(), 1);
}

#[test]
fn a_new_leader_frees_what_is_absent_under_its_own_token() {
    let mut t = Scenario::new(0.0);
    t.worker("m-1", "a", false);
    t.submit(spec("j-1", 1));
    t.round();
    let late = t.ask("m-1");
    t.take_over(later(TOKEN, 1));
    t.beat("m-1");
    t.beat("m-1");
    // The deposed leader's answer is dropped, as its token is lower now.
    t.workers.get_mut("m-1").unwrap().execute(&late, TOKEN);
    t.beat("m-1");
    assert_eq!(t.running(), 1);
    let attempts: Vec<u64> = t.workers["m-1"].tasks.keys().map(|(_, a)| *a).collect();
    assert_eq!(attempts, vec![2], "attempts only rise");
}

#[test]
fn after_a_restart_of_all_controllers_nothing_runs_twice_and_nothing_is_lost() {
    let mut t = Scenario::new(0.0);
    t.worker("m-1", "a", false);
    t.worker("m-2", "b", false);
    t.submit(spec("j-1", 4));
    t.round();
    t.beat_all();
    assert_eq!(t.running(), 4);
    t.take_over(later(TOKEN, 1));
    t.beat_all();
    t.beat_all();
    assert_eq!(t.running(), 4);
    for w in t.workers.values_mut() {
        w.exit_all(ExitCause::Done);
    }
    t.beat_all();
    t.beat_all();
    assert_eq!(t.done.len(), 1);
}

// Guards against slow starts after a change of leader, when nobody knew any more which machine had which image.
#[test]
fn a_new_leader_knows_which_machine_has_an_image() {
    let mut t = Scenario::new(0.0);
    t.worker("m-2", "a", false);
    let first = t.submit(spec("j-1", 1));
    t.round();
    t.beat("m-2");
    t.beat("m-2");
    t.s.end_job(&first, aborted(0));
    t.beat("m-2");
    t.beat("m-2");
    t.commit();
    t.records.remove(&first);
    t.worker("m-1", "a", false);
    t.take_over(later(TOKEN, 1));
    t.beat_all();
    t.beat_all();
    t.submit(spec("j-2", 1));
    t.round();
    t.beat_all();
    assert_eq!(t.workers["m-2"].running(), 1);
    let gone = MachineId("m-2".into());
    t.s.on_terminated(std::slice::from_ref(&gone), t.now);
    t.commit();
    assert!(!t.images.contains_key(&gone));
}

// Guards against a machine that is back under a new agent epoch before the old one was missed: what it lost starts again,
// what was on its way to the old agent epoch is not taken for started, and one such return is no deafness.
#[test]
fn a_machine_back_at_once_under_a_new_agent_epoch_starts_its_tasks_again() {
    let mut t = Scenario::new(0.0);
    t.worker("m-1", "a", false);
    t.submit(spec("j-1", 2));
    t.round();
    let lost = t.ask("m-1");
    assert_eq!(runs(&lost), 2);
    let worker = t.workers.get_mut("m-1").expect("a worker");
    (worker.agent_epoch, worker.sequence) = (2, 0);
    t.beat("m-1");
    t.wait(1);
    t.beat("m-1");
    t.beat("m-1");
    assert_eq!(t.workers["m-1"].running(), 2);
    let worker = t.workers.get_mut("m-1").expect("a worker");
    worker.tasks.clear();
    (worker.agent_epoch, worker.sequence) = (3, 0);
    t.beat("m-1");
    t.wait(1);
    t.beat("m-1");
    assert_eq!(t.workers["m-1"].running(), 2);
    assert!(t.s.plan_fleet(t.now, 0).terminate.is_empty());
}

// Guards against a new leader that rents anew what runs already, and against one that waits though it heard all.
#[test]
fn a_new_leader_provisions_once_it_has_heard_what_is_up() {
    let mut t = Scenario::new(0.0);
    t.take_over(later(TOKEN, 1));
    let up = ListedMachine {
        machine: MachineId("m-1".into()),
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: false,
        status: ListedStatus::Running,
        age_s: 100.0,
    };
    t.submit(spec("j-1", 8));
    assert_eq!(
        t.s.plan_fleet(t.now, 0).provision,
        vec![],
        "nothing is known yet"
    );
    t.s.on_list(&[up], t.now);
    assert_eq!(
        t.s.plan_fleet(t.now, 0).provision,
        vec![],
        "one is up and not heard"
    );
    t.worker("m-1", "a", false);
    t.wait(1);
    t.beat("m-1");
    let rented: usize =
        t.s.plan_fleet(t.now, 0)
            .provision
            .iter()
            .map(|w| w.count)
            .sum();
    assert_eq!(rented, 3);
}

// Guards against tasks that wait for machines which the leader before gave back, though its note of them still stands.
#[test]
fn a_new_leader_does_not_count_on_what_should_long_be_up() {
    let mut t = Scenario::new(0.0);
    let pool = Pool {
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: true,
    };
    let rents = |t: &mut Scenario, age: u64| {
        t.take_over(later(t.s.token(), 1));
        t.s.on_list(&[], t.now);
        let noted = [MachineId("m-1".into())];
        t.s.inherit_provisioned(&pool, &noted, Micros::secs(age), t.now);
        t.wait(6);
        t.s.plan_fleet(t.now, 0).provision.len()
    };
    t.submit(spec("j-1", 2));
    assert_eq!(rents(&mut t, 10), 0, "it boots");
    assert_eq!(rents(&mut t, 80), 1, "it is not there, or stuck");
}

// Guards against a new leader that takes what the one before gave back for boots that are late, as on the incident inc-f66a:
// it then waits for other late machines of these zones, and rents elsewhere first.
#[test]
fn what_an_earlier_leader_provisioned_and_the_list_lacks_is_no_late_boot() {
    let mut t = Scenario::new(0.0);
    let pool = Pool {
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: true,
    };
    let noted: Vec<MachineId> = (0..4).map(|i| MachineId(format!("m-{i}"))).collect();
    t.take_over(later(t.s.token(), 1));
    t.s.inherit_provisioned(&pool, &noted, Micros::secs(69), t.now);
    t.s.on_list(&[], t.now);
    t.submit(spec("j-1", 2));
    let mut rented = 0;
    for _ in 0..24 {
        t.wait(1);
        rented += t.s.plan_fleet(t.now, 0).provision.len();
    }
    assert!(rented > 0, "nothing comes");
    assert_eq!(t.s.machines.values().filter(|m| !m.is_gone).count(), 0);
    let notes = t.info_lines();
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
    let mut t = Scenario::new(0.0);
    for i in 0..3 {
        t.worker(&format!("m-{i}"), "a", false);
    }
    let large = JobSpec {
        accelerators: 2.0,
        ..spec("j-1", 3)
    };
    let job = t.submit(large);
    t.round();
    t.beat_all();
    assert_eq!(t.running(), 3);
    for i in 0..3 {
        assert!(!t.done.contains(&job), "{i} of 3 are finished");
        let worker = t.workers.get_mut(&format!("m-{i}")).expect("a worker");
        worker.exit_all(ExitCause::Done);
        t.beat_all();
        assert_eq!(t.running(), 2 - i, "nothing runs again");
        if i < 2 {
            t.take_over(later(t.s.token(), 1));
            t.beat_all();
            t.wait(30);
            t.beat_all();
        }
    }
    assert!(t.done.contains(&job));
}

// Guards against a recovery of which nobody can tell how far it is: what no worker has confirmed is counted until it is.
#[test]
fn a_new_leader_logs_what_it_has_confirmed_and_what_not_yet() {
    let mut t = Scenario::new(0.0);
    for name in ["m-1", "m-2", "m-3"] {
        t.worker(name, "a", false);
    }
    t.submit(JobSpec {
        accelerators: 2.0,
        ..spec("j-1", 3)
    });
    t.round();
    t.beat_all();
    t.beat_all();
    assert_eq!(t.running(), 3);
    t.take_over(later(TOKEN, 1));
    let told = |t: &mut Scenario| {
        t.s.plan_fleet(t.now, 0);
        let notes = t.info_lines();
        let about = notes.into_iter().filter(|n| n.contains("=recovery_"));
        about.collect::<Vec<String>>().join("\n")
    };
    assert!(told(&mut t).contains("recovery_started token=8 recorded=3"));
    // One agrees, one has ended; the third says nothing.
    t.beat("m-1");
    let worker = t.workers.get_mut("m-2").expect("a worker");
    worker.exit_all(ExitCause::Done);
    t.beat("m-2");
    t.wait(10);
    let line = told(&mut t);
    assert!(
        line.contains("recovery_progress token=8 unconfirmed=1 agreed=1 ended=1"),
        "{line}"
    );
    t.s.on_terminated(&[MachineId("m-3".into())], t.now);
    let line = told(&mut t);
    assert!(
        line.contains("recovery_completed token=8 recorded=3"),
        "{line}"
    );
    assert!(
        line.contains("agreed=1 ended=1 gone=0 machine_returned=1"),
        "{line}"
    );
    assert_eq!(told(&mut t), "");
}

// Guards against two workers that claim one task after a loss, whose records lack what was placed last.
#[test]
fn after_a_loss_the_higher_attempt_of_a_task_counts_and_nothing_is_offered_before_all_were_heard() {
    let mut t = Scenario::new(0.0);
    for name in ["m-1", "m-2", "m-3"] {
        t.worker(name, "a", false);
    }
    let id = t.submit(spec("j-1", 3));
    t.round();
    t.beat_all();
    let reserved = |t: &Scenario, name: &str| t.s.machines[&MachineId(name.into())].reserved.len();
    assert_eq!((reserved(&t, "m-1"), reserved(&t, "m-2")), (2, 1));
    // The records are from before the first task was lost and placed again on another machine, which runs it.
    let run = |t: &mut Scenario, name: &str, attempt: u64| {
        let worker = t.workers.get_mut(name).expect("a worker");
        let running = (TaskState::Running, None);
        worker.tasks.insert(("j-1/0".into(), attempt), running);
    };
    run(&mut t, "m-3", 7);
    t.take_over(later(TOKEN, 1));
    t.s.begin_rebuild(1, t.now);
    t.submit(spec("j-2", 1));
    let begun = t.now;
    for _ in 0..2 {
        t.wait(3);
        for name in ["m-1", "m-3"] {
            t.beat(name);
        }
    }
    let placed = |t: &Scenario| {
        t.s.jobs[&id]
            .placement(0)
            .map(|p| (p.machine.0.clone(), p.attempt))
    };
    assert_eq!(placed(&t), Some(("m-3".into(), 7)));
    let first = &t.workers["m-1"].tasks[&("j-1/0".into(), 1)];
    assert_eq!(first.0, TaskState::Exited, "the lower attempt is stopped");
    // One machine was not heard, and the list is too old to tell of all there are.
    t.s.on_list(&[], begun);
    assert!(!t.s.check_rebuild(t.now));
    t.round();
    assert_eq!(t.s.jobs[&JobId("j-2".into())].live, 0);
    assert_eq!(t.s.plan_fleet(t.now, 1_000_000_000), FleetPlan::default());
    t.beat("m-2");
    t.beat("m-2");
    assert!(!t.s.check_rebuild(t.now));
    t.wait(20);
    t.beat_all();
    let list = ["m-1", "m-2", "m-3"].map(|name| ListedMachine {
        machine: MachineId(name.into()),
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: false,
        status: ListedStatus::Running,
        age_s: 60.0,
    });
    t.s.on_list(&list, t.now);
    assert!(t.s.check_rebuild(t.now));
    t.wait(1);
    t.round();
    let job = &t.s.jobs[&JobId("j-2".into())];
    assert_eq!(job.live, 1);
    let attempt = job.placement(0).map_or(0, |p| p.attempt);
    assert!(
        attempt >= 1 << 32,
        "above all that were given out before: {attempt}"
    );
}
