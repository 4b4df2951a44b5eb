//! Faulty machines and faulty jobs.

use super::{Simulation, spec};
use crate::scheduler::{ExitCause, JobId, JobSpec, MachineId, MachineState, Shape, TaskState};

#[test]
fn machine_that_fails_tasks_of_two_jobs_is_quarantined_and_terminated() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "a", false);
    sim.add_worker("m-3", "a", false);
    for id in ["j-1", "j-2"] {
        sim.submit(spec(id, 1));
        sim.run_cycle_and_commit();
        sim.heartbeat("m-1");
        sim.workers
            .get_mut("m-1")
            .unwrap()
            .exit_all(ExitCause::Error);
        sim.heartbeat("m-1");
    }
    sim.heartbeat_all();
    assert_eq!(sim.workers["m-1"].running(), 0);
    assert_eq!(sim.running(), 2, "both tasks run elsewhere");
    assert!(
        sim.scheduler
            .plan_fleet(sim.now, 0)
            .terminate
            .contains(&MachineId("m-1".into()))
    );
}

#[test]
fn crash_looping_job_backs_off_and_no_machine_is_quarantined() {
    let mut sim = Simulation::new(0.0);
    for i in 1..=4 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(spec("j-1", 1));
    for _ in 0..3 {
        sim.run_cycle_and_commit();
        sim.heartbeat_all();
        for worker in sim.workers.values_mut() {
            worker.exit_all(ExitCause::Error);
        }
        sim.heartbeat_all();
        sim.advance(1);
    }
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 0, "the job backs off");
    assert!(
        sim.scheduler
            .machines
            .values()
            .all(|m| m.state == MachineState::Ready && m.failed_jobs.is_empty())
    );
    sim.advance(40);
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(
        sim.running(),
        1,
        "the job is retried, as the machines may be faulty rather than the job"
    );
}

/// Simulates `seconds` seconds in which tasks fail if they belong to `faulty_jobs` or run on `faulty_machines`, and all
/// others complete. Returns the number of failures.
fn run_with_failures(
    sim: &mut Simulation,
    faulty_jobs: &[&str],
    faulty_machines: &[&str],
    seconds: u64,
) -> usize {
    let mut failed = 0;
    for _ in 0..seconds {
        sim.run_cycle_and_commit();
        sim.heartbeat_all();
        for (name, worker) in &mut sim.workers {
            let tasks = worker.tasks.iter_mut();
            for ((task, _), state) in tasks.filter(|(_, s)| s.0 != TaskState::Exited) {
                let job = task.split('/').next().unwrap_or_default();
                let fails = faulty_jobs.contains(&job) || faulty_machines.contains(&name.as_str());
                failed += usize::from(fails);
                let cause = if fails {
                    ExitCause::Error
                } else {
                    ExitCause::Done
                };
                *state = (TaskState::Exited, Some(cause));
            }
        }
        sim.heartbeat_all();
        sim.advance(1);
    }
    failed
}

// Prevents three faults: healthy machines are terminated because two faulty jobs ran on them, all tasks of a large
// faulty job are started, and machines provisioned for them, again and again, or a faulty job hides a faulty machine.
#[test]
fn failures_are_attributed_to_faulty_jobs_or_to_a_faulty_machine() {
    let mut sim = Simulation::new(0.0);
    for i in 1..=12 {
        sim.add_worker(&format!("m-{i:02}"), "a", false);
    }
    for id in ["j-1", "j-2"] {
        sim.submit(spec(id, 40));
    }
    let failed = run_with_failures(&mut sim, &["j-1", "j-2"], &[], 60);
    assert!(
        sim.scheduler
            .machines
            .values()
            .all(|m| m.state == MachineState::Ready)
    );
    assert!(
        failed < 2 * (24 + 10),
        "one failure per place, then one task at a time: {failed}"
    );
    // Other jobs still complete, and failures on a single machine are attributed to that machine.
    for i in 3..=8 {
        sim.submit(spec(&format!("j-{i}"), 30));
    }
    run_with_failures(&mut sim, &["j-1", "j-2"], &["m-01"], 40);
    let quarantined: Vec<&MachineId> = sim
        .scheduler
        .machines
        .iter()
        .filter(|(_, m)| m.state != MachineState::Ready)
        .map(|(id, _)| id)
        .collect();
    assert_eq!(quarantined, vec![&MachineId("m-01".into())]);
    assert!((3..=8).all(|i| sim.done.contains(&JobId(format!("j-{i}")))));
    assert!(!sim.done.contains(&JobId("j-1".into())));
    let requests = sim.scheduler.plan_fleet(sim.now, 100_000_000).provision;
    assert!(
        requests.iter().map(|request| request.count).sum::<usize>() <= 1,
        "{requests:?}"
    );
}

// Prevents the tasks of a healthy job that failed on faulty machines from waiting until all its other tasks have ended.
#[test]
fn tasks_that_failed_on_faulty_machines_are_retried_while_the_others_run() {
    let mut sim = Simulation::new(0.0);
    for i in 1..=10 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(spec("j-1", 14));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    for name in ["m-1", "m-2", "m-3"] {
        let worker = sim.workers.get_mut(name).expect("a worker");
        worker.exit_all(ExitCause::Error);
    }
    sim.heartbeat_all();
    let running_before = sim.running();
    assert!(running_before < 14);
    for _ in 0..35 {
        sim.advance(1);
        sim.heartbeat_all();
    }
    assert!(
        (running_before + 1..=running_before + 3).contains(&sim.running()),
        "one task is retried, then another after a pause"
    );
}

// Prevents a healthy job that first ran only on faulty machines from counting as crash-looping permanently, and these
// machines from counting as healthy.
#[test]
fn failures_of_a_job_that_succeeds_elsewhere_are_attributed_to_the_machines() {
    let mut sim = Simulation::new(0.0);
    for i in 1..=8 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    let faulty_machines = ["m-1", "m-2", "m-3"];
    let first = sim.submit(spec("j-1", 6));
    run_with_failures(&mut sim, &[], &faulty_machines, 40);
    assert!(
        sim.done.contains(&first),
        "the other machines complete the job"
    );
    sim.submit(spec("j-2", 6));
    run_with_failures(&mut sim, &[], &faulty_machines, 40);
    for (id, m) in &sim.scheduler.machines {
        assert_eq!(
            m.state == MachineState::Ready,
            !faulty_machines.contains(&id.0.as_str()),
            "{id}"
        );
    }
}

// Prevents a gang from counting as crash-looping: it would be offered one task at a time and never start again.
#[test]
fn gang_that_failed_on_all_its_machines_restarts_whole_after_its_backoff() {
    let mut sim = Simulation::new(0.0);
    for i in 1..=8 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(JobSpec {
        shape: Shape::Gang,
        accelerators: 2.0,
        ..spec("j-1", 4)
    });
    for _ in 0..3 {
        sim.run_cycle_and_commit();
        sim.heartbeat_all();
        assert_eq!(sim.running(), 4);
        for worker in sim.workers.values_mut() {
            worker.exit_all(ExitCause::Error);
        }
        sim.heartbeat_all();
        sim.advance(60);
    }
}
