//! Changes of leader, restarts of all controllers and losses of stored state.

use super::{Simulation, TOKEN, aborted, count_starts, spec, token_after};
use crate::cloud_types::{ListedMachine, ListedStatus};
use crate::scheduler::{ExitCause, FleetPlan, JobId, JobSpec, MachineId, Pool, TaskState};
use crate::units::Micros;

#[test]
fn new_leader_does_not_release_an_absent_task_until_its_token_is_acknowledged() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    // The start sent by the old leader is still in transit when the new leader takes over.
    let delayed_commands = sim.send_heartbeat("m-1");
    sim.change_leader(token_after(TOKEN, 1));
    sim.add_worker("m-2", "a", false);
    let commands = sim.send_heartbeat("m-1");
    assert_eq!(
        count_starts(&commands),
        0,
        "the heartbeat lacks the task, but carries the old token"
    );
    assert_eq!(
        sim.workers["m-2"].running(),
        0,
        "the task is not placed elsewhere"
    );
    // The delayed start arrives first: the task runs once, where it was placed.
    sim.workers
        .get_mut("m-1")
        .unwrap()
        .execute(&delayed_commands, TOKEN);
    sim.workers
        .get_mut("m-1")
        .unwrap()
        .execute(&commands, token_after(TOKEN, 1));
    sim.heartbeat_all();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 1);
}

#[test]
fn new_leader_releases_a_task_that_is_absent_under_its_own_token() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    let delayed_commands = sim.send_heartbeat("m-1");
    sim.change_leader(token_after(TOKEN, 1));
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    // The worker drops the old leader's response, whose token is lower than the highest one received.
    sim.workers
        .get_mut("m-1")
        .unwrap()
        .execute(&delayed_commands, TOKEN);
    sim.heartbeat("m-1");
    assert_eq!(sim.running(), 1);
    let attempts: Vec<u64> = sim.workers["m-1"].tasks.keys().map(|(_, a)| *a).collect();
    assert_eq!(attempts, vec![2], "attempt numbers only increase");
}

#[test]
fn after_a_restart_of_all_controllers_no_task_runs_twice_and_none_is_lost() {
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
    for worker in sim.workers.values_mut() {
        worker.exit_all(ExitCause::Done);
    }
    sim.heartbeat_all();
    sim.heartbeat_all();
    assert_eq!(sim.done.len(), 1);
}

// Prevents slow starts after a change of leader: a new leader without records of the images on machines would place
// tasks where the image must be fetched.
#[test]
fn new_leader_places_tasks_by_the_recorded_images() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-2", "a", false);
    let first_job = sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-2");
    sim.heartbeat("m-2");
    sim.scheduler.end_job(&first_job, aborted(0));
    sim.heartbeat("m-2");
    sim.heartbeat("m-2");
    sim.commit();
    sim.records.remove(&first_job);
    sim.add_worker("m-1", "a", false);
    sim.change_leader(token_after(TOKEN, 1));
    sim.heartbeat_all();
    sim.heartbeat_all();
    sim.submit(spec("j-2", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.workers["m-2"].running(), 1);
    let terminated = MachineId("m-2".into());
    sim.scheduler
        .on_terminated(std::slice::from_ref(&terminated), sim.now);
    sim.commit();
    assert!(!sim.images.contains_key(&terminated));
}

// A worker may restart with a new agent epoch before the heartbeats of the old one are missed. The tasks that it lost
// start again, commands in transit to the old agent epoch do not count as received, and a single restart does not make
// the machine count as unreachable for responses.
#[test]
fn tasks_of_a_worker_that_restarts_at_once_with_a_new_agent_epoch_are_started_again() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 2));
    sim.run_cycle_and_commit();
    let lost_commands = sim.send_heartbeat("m-1");
    assert_eq!(count_starts(&lost_commands), 2);
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

// Prevents a new leader from provisioning machines that already exist, and from waiting although all have reported.
#[test]
fn new_leader_provisions_only_after_all_running_machines_have_reported() {
    let mut sim = Simulation::new(0.0);
    sim.change_leader(token_after(TOKEN, 1));
    let listed_machine = ListedMachine {
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
        "the machine list has not been read"
    );
    sim.scheduler.on_list(&[listed_machine], sim.now);
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, 0).provision,
        vec![],
        "a listed machine has not reported"
    );
    sim.add_worker("m-1", "a", false);
    sim.advance(1);
    sim.heartbeat("m-1");
    let provisioned: usize = sim
        .scheduler
        .plan_fleet(sim.now, 0)
        .provision
        .iter()
        .map(|request| request.count)
        .sum();
    assert_eq!(provisioned, 3);
}

// Prevents tasks from waiting for machines that an earlier leader terminated but that its provisioning record still
// contains.
#[test]
fn new_leader_does_not_count_machines_past_their_provisioning_time_as_incoming() {
    let mut sim = Simulation::new(0.0);
    let pool = Pool {
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: true,
    };
    let scale_out_requests = |sim: &mut Simulation, age_s: u64| {
        sim.change_leader(token_after(sim.scheduler.token(), 1));
        sim.scheduler.on_list(&[], sim.now);
        let recorded = [MachineId("m-1".into())];
        sim.scheduler
            .inherit_provisioned(&pool, &recorded, Micros::secs(age_s), sim.now);
        sim.advance(6);
        sim.scheduler.plan_fleet(sim.now, 0).provision.len()
    };
    sim.submit(spec("j-1", 2));
    assert_eq!(
        scale_out_requests(&mut sim, 10),
        0,
        "the machine is being provisioned"
    );
    assert_eq!(
        scale_out_requests(&mut sim, 80),
        1,
        "the machine is missing or stuck"
    );
}

// Prevents a new leader from counting as late the machines that the earlier leader terminated, as in incident inc-f66a:
// it would then wait longer for other late machines of these zones, and prefer other zones for scale-out.
#[test]
fn unlisted_machines_of_an_earlier_leader_do_not_count_as_late() {
    let mut sim = Simulation::new(0.0);
    let pool = Pool {
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: true,
    };
    let recorded: Vec<MachineId> = (0..4).map(|i| MachineId(format!("m-{i}"))).collect();
    sim.change_leader(token_after(sim.scheduler.token(), 1));
    sim.scheduler
        .inherit_provisioned(&pool, &recorded, Micros::secs(69), sim.now);
    sim.scheduler.on_list(&[], sim.now);
    sim.submit(spec("j-1", 2));
    let mut request_count = 0;
    for _ in 0..24 {
        sim.advance(1);
        request_count += sim.scheduler.plan_fleet(sim.now, 0).provision.len();
    }
    assert!(request_count > 0, "nothing is provisioned");
    assert_eq!(
        sim.scheduler
            .machines
            .values()
            .filter(|m| !m.is_gone)
            .count(),
        0
    );
    let lines = sim.info_lines();
    assert!(
        lines.iter().any(|line| line.contains("why=lost")),
        "the machines are removed: {lines:?}"
    );
    assert!(
        !lines.iter().any(|line| line.contains("provisioning_slow")),
        "{lines:?}"
    );
}

// Prevents a job whose tasks each end under a different leader from completing too early or running again.
#[test]
fn job_whose_tasks_end_under_different_leaders_completes_once_all_tasks_have() {
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
        assert!(
            !sim.done.contains(&job),
            "only {i} of 3 tasks have finished"
        );
        let worker = sim.workers.get_mut(&format!("m-{i}")).expect("a worker");
        worker.exit_all(ExitCause::Done);
        sim.heartbeat_all();
        assert_eq!(sim.running(), 2 - i, "no task runs again");
        if i < 2 {
            sim.change_leader(token_after(sim.scheduler.token(), 1));
            sim.heartbeat_all();
            sim.advance(30);
            sim.heartbeat_all();
        }
    }
    assert!(sim.done.contains(&job));
}

// The log must show how far a recovery has progressed: placements count as unconfirmed until they are resolved.
#[test]
fn new_leader_logs_how_many_placements_are_confirmed_and_unconfirmed() {
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
    let recovery_lines = |sim: &mut Simulation| {
        sim.scheduler.plan_fleet(sim.now, 0);
        let lines = sim.info_lines();
        let matching_lines = lines.into_iter().filter(|line| line.contains("=recovery_"));
        matching_lines.collect::<Vec<String>>().join("\n")
    };
    assert!(recovery_lines(&mut sim).contains("recovery_started token=8 recorded=3"));
    // One placement is confirmed, one task has ended, and the third machine does not report.
    sim.heartbeat("m-1");
    let worker = sim.workers.get_mut("m-2").expect("a worker");
    worker.exit_all(ExitCause::Done);
    sim.heartbeat("m-2");
    sim.advance(10);
    let line = recovery_lines(&mut sim);
    assert!(
        line.contains("recovery_progress token=8 unconfirmed=1 agreed=1 ended=1"),
        "{line}"
    );
    sim.scheduler
        .on_terminated(&[MachineId("m-3".into())], sim.now);
    let line = recovery_lines(&mut sim);
    assert!(
        line.contains("recovery_completed token=8 recorded=3"),
        "{line}"
    );
    assert!(
        line.contains("agreed=1 ended=1 gone=0 machine_returned=1"),
        "{line}"
    );
    assert_eq!(recovery_lines(&mut sim), "");
}

// After a loss of stored state, the records may lack the latest placements, so two workers may report the same task.
#[test]
fn after_a_loss_the_higher_attempt_is_kept_and_offers_wait_until_all_machines_report() {
    let mut sim = Simulation::new(0.0);
    for name in ["m-1", "m-2", "m-3"] {
        sim.add_worker(name, "a", false);
    }
    let job_id = sim.submit(spec("j-1", 3));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    let reserved = |sim: &Simulation, name: &str| {
        sim.scheduler.machines[&MachineId(name.into())]
            .reserved
            .len()
    };
    assert_eq!((reserved(&sim, "m-1"), reserved(&sim, "m-2")), (2, 1));
    // The records date from before the first task was lost and placed again on another machine, which runs it.
    let run = |sim: &mut Simulation, name: &str, attempt: u64| {
        let worker = sim.workers.get_mut(name).expect("a worker");
        let running = (TaskState::Running, None);
        worker.tasks.insert(("j-1/0".into(), attempt), running);
    };
    run(&mut sim, "m-3", 7);
    sim.change_leader(token_after(TOKEN, 1));
    sim.scheduler.begin_rebuild(1, sim.now);
    sim.submit(spec("j-2", 1));
    let list_requested_at = sim.now;
    for _ in 0..2 {
        sim.advance(3);
        for name in ["m-1", "m-3"] {
            sim.heartbeat(name);
        }
    }
    let placement_of_first_task = |sim: &Simulation| {
        sim.scheduler.jobs[&job_id]
            .placement(0)
            .map(|p| (p.machine.0.clone(), p.attempt))
    };
    assert_eq!(placement_of_first_task(&sim), Some(("m-3".into(), 7)));
    let lower_attempt = &sim.workers["m-1"].tasks[&("j-1/0".into(), 1)];
    assert_eq!(
        lower_attempt.0,
        TaskState::Exited,
        "the lower attempt is stopped"
    );
    // One machine has not reported, and the machine list is too old to contain all machines.
    sim.scheduler.on_list(&[], list_requested_at);
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
    let list = ["m-1", "m-2", "m-3"].map(|name| ListedMachine {
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
    assert!(attempt >= 1 << 32, "above all earlier attempts: {attempt}");
}
