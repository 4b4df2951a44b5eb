//! Placement, start, completion and stop of tasks.

use super::{Simulation, TOKEN, aborted, count_starts, critical_service, spec};
use crate::scheduler::machine::MAX_TASKS_PER_MACHINE;
use crate::scheduler::{
    AgentCommand, ExitCause, JobId, JobSpec, MAX_TASKS, MachineId, Shape, TaskState, Write,
};
use crate::units::Micros;

#[test]
fn job_is_placed_on_machines_with_lowest_ids_and_completes() {
    let mut sim = Simulation::new(0.0);
    for name in ["m-3", "m-1", "m-2"] {
        sim.add_worker(name, "a", false);
    }
    let job = sim.submit(spec("j-1", 3));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.workers["m-1"].running(), 2);
    assert_eq!(sim.workers["m-2"].running(), 1);
    assert_eq!(sim.workers["m-3"].running(), 0);
    for worker in sim.workers.values_mut() {
        worker.exit_all(ExitCause::Done);
    }
    sim.heartbeat_all();
    sim.heartbeat_all();
    sim.commit();
    assert!(sim.done.contains(&job));
    assert!(
        sim.workers.values().all(|worker| worker.tasks.is_empty()),
        "all tasks were cleared"
    );
}

#[test]
fn worker_starts_task_only_after_placement_is_committed() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 1));
    sim.scheduler.run_cycle(sim.now);
    let heartbeat = sim.workers.get_mut("m-1").unwrap().next_heartbeat("m-1");
    sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
    let position = heartbeat.position();
    assert_eq!(
        count_starts(
            &sim.scheduler
                .commands_for(&heartbeat.machine, position, sim.now)
        ),
        0
    );
    sim.commit();
    assert_eq!(
        count_starts(
            &sim.scheduler
                .commands_for(&heartbeat.machine, position, sim.now)
        ),
        1
    );
    assert_eq!(
        count_starts(
            &sim.scheduler
                .commands_for(&heartbeat.machine, position, sim.now)
        ),
        0,
        "the start is sent once"
    );
}

#[test]
fn lost_response_is_repeated_with_the_same_attempt_and_a_duplicate_heartbeat_gets_no_commands() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    let lost_commands = sim.send_heartbeat("m-1");
    assert_eq!(count_starts(&lost_commands), 1);
    let heartbeat = sim.workers.get_mut("m-1").unwrap().next_heartbeat("m-1");
    assert_eq!(
        sim.handle_heartbeat(&heartbeat),
        lost_commands,
        "the start is sent again with the same attempt"
    );
    assert_eq!(
        sim.handle_heartbeat(&heartbeat),
        vec![],
        "a duplicate heartbeat has no effect"
    );
}

#[test]
fn task_is_cleared_only_after_its_completion_is_written() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    let worker = sim.workers.get_mut("m-1").unwrap();
    worker.exit_all(ExitCause::Done);
    let heartbeat = worker.next_heartbeat("m-1");
    sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
    let position = heartbeat.position();
    assert_eq!(
        sim.scheduler
            .commands_for(&heartbeat.machine, position, sim.now),
        vec![]
    );
    sim.commit();
    let commands = sim
        .scheduler
        .commands_for(&heartbeat.machine, position, sim.now);
    assert!(matches!(commands[..], [AgentCommand::Clear { .. }]));
}

#[test]
fn cancelled_job_is_stopped_at_once_and_never_restarted() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    let job = sim.submit(spec("j-1", 4));
    sim.run_cycle_and_commit();
    let starts = sim.send_heartbeat("m-1");
    let worker = sim.workers.get_mut("m-1").unwrap();
    worker.execute(&starts, TOKEN);
    assert_eq!(sim.running(), 2);
    let end = aborted(0);
    sim.scheduler.end_job(&job, end);
    let commands = sim.send_heartbeat("m-1");
    assert!(
        commands
            .iter()
            .all(|c| matches!(c, AgentCommand::Stop { save_grace_s, .. } if *save_grace_s == 0.0))
    );
    sim.workers
        .get_mut("m-1")
        .unwrap()
        .execute(&commands, TOKEN);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    assert_eq!(sim.running(), 0);
    // The worker keeps the exited attempts, so that late copies of their starts have no effect.
    let worker = sim.workers.get_mut("m-1").unwrap();
    worker.execute(&starts, TOKEN);
    assert_eq!(sim.running(), 0);
}

#[test]
fn placement_is_released_if_the_job_is_cancelled_before_it_is_written() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    let job = sim.submit(spec("j-1", 1));
    sim.scheduler.run_cycle(sim.now);
    let batch = sim.scheduler.next_batch(20, 36_000, false);
    assert!(matches!(
        batch[0],
        Write::Chunk {
            has_new_placements: true,
            ..
        }
    ));
    // The commit failed because the key of the job's end already exists.
    sim.scheduler.batch_not_applied(&batch);
    sim.scheduler.on_job_already_ended(&job);
    sim.commit();
    assert_eq!(count_starts(&sim.send_heartbeat("m-1")), 0);
    assert_eq!(sim.free_places("m-1"), 2);
}

#[test]
fn machine_that_does_not_receive_a_cancellation_is_terminated_before_the_timeout() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    let job = sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.scheduler.end_job(&job, aborted(0));
    let halfway_at = Micros::secs(30).0;
    assert!(
        sim.scheduler
            .plan_fleet(sim.now, halfway_at)
            .terminate
            .is_empty()
    );
    let overdue_at = Micros::secs(37).0;
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, overdue_at).terminate,
        vec![MachineId("m-1".into())]
    );
}

#[test]
fn stopping_task_counts_towards_the_team_limit_until_it_is_gone() {
    let mut sim = Simulation::new(2.0);
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "a", false);
    let first = sim.submit(spec("j-1", 2));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    sim.submit(spec("j-2", 2));
    sim.scheduler.end_job(&first, aborted(0));
    sim.run_cycle_and_commit();
    // m-2 has free resources, but the team's two tasks on m-1 are not proven to be gone.
    sim.heartbeat("m-2");
    assert_eq!(sim.workers["m-2"].running(), 0);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    sim.advance(1);
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 2);
}

#[test]
fn spread_and_together_constraints_hold_for_every_placed_task() {
    let mut sim = Simulation::new(0.0);
    for i in 0..4 {
        sim.add_worker(&format!("m-a{i}"), "a", false);
    }
    sim.add_worker("m-b0", "b", false);
    sim.submit(JobSpec {
        spread: true,
        ..spec("j-1", 5)
    });
    sim.submit(JobSpec {
        together: true,
        ..spec("j-2", 3)
    });
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    let in_zone = |sim: &Simulation, job: &str, zone: &str| -> usize {
        let workers_in_zone = sim.workers.values().filter(|w| w.zone == zone);
        workers_in_zone
            .flat_map(|w| w.tasks.keys())
            .filter(|(task, _)| task.starts_with(job))
            .count()
    };
    assert_eq!(
        in_zone(&sim, "j-1/", "a"),
        3,
        "at most three of five tasks in one zone"
    );
    assert_eq!(in_zone(&sim, "j-1/", "b"), 2);
    assert_eq!(in_zone(&sim, "j-2/", "a"), 3);
}

#[test]
fn machine_with_preemption_notice_is_drained_and_gets_no_offers() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", true);
    sim.add_worker("m-2", "a", true);
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.workers.get_mut("m-1").unwrap().notice_s = Some(15.0);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    sim.heartbeat("m-2");
    assert_eq!(sim.workers["m-1"].running(), 0);
    assert_eq!(sim.workers["m-2"].running(), 1);
}

#[test]
fn records_of_100_000_tasks_fit_the_limits_of_values_and_transactions() {
    let mut sim = Simulation::new(0.0);
    for i in 0..40 {
        sim.add_worker(&format!("m-{i:06}"), "a", false);
    }
    sim.submit(JobSpec {
        cores: 0.1,
        accelerators: 0.0,
        ram_gb: 0.1,
        ..spec("j-1", MAX_TASKS)
    });
    for _ in 0..4 {
        sim.advance(1);
        sim.scheduler.run_cycle(sim.now);
        let batch = sim.scheduler.next_batch(20, 36_000, false);
        let mut bytes = 0;
        for write in &batch {
            if let Write::Chunk { record, .. } = write {
                let size = serde_json::to_string(record).unwrap().len();
                assert!(size < 4 * 1024, "a value of {size} bytes");
                bytes += size;
            }
        }
        assert!(batch.len() <= 20 && bytes < 60 * 1024, "{bytes} bytes");
        sim.revision.0 += 1;
        sim.scheduler.batch_applied(&batch, sim.revision);
    }
}

#[test]
fn running_task_without_placement_is_adopted_and_not_started_elsewhere() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "a", false);
    let unplaced_task = ("j-1/0".to_owned(), 5);
    sim.workers
        .get_mut("m-2")
        .unwrap()
        .tasks
        .insert(unplaced_task, (TaskState::Running, None));
    sim.submit(spec("j-1", 1));
    let heartbeat = sim.workers.get_mut("m-2").unwrap().next_heartbeat("m-2");
    sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 1);
    assert_eq!(sim.workers["m-2"].running(), 1);
}

// The tasks of a gang find each other by their common attempt number. With different ones, they would wait for each
// other forever.
#[test]
fn gang_starts_whole_with_one_attempt_and_restarts_whole_after_losing_a_task() {
    let mut sim = Simulation::new(0.0);
    let gang = JobSpec {
        shape: Shape::Gang,
        together: true,
        ..spec("j-1", 3)
    };
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "b", false);
    sim.submit(gang);
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 0, "no zone has free resources for all three");
    sim.add_worker("m-3", "b", false);
    sim.advance(1);
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    let attempts = |sim: &Simulation| -> Vec<u64> {
        let tasks = sim.workers.values().flat_map(|w| w.tasks.iter());
        tasks
            .filter(|(_, status)| status.0 == TaskState::Running)
            .map(|((_, attempt), _)| *attempt)
            .collect()
    };
    let first_attempts = attempts(&sim);
    assert_eq!(first_attempts.len(), 3);
    assert!(
        first_attempts
            .iter()
            .all(|attempt| *attempt == first_attempts[0])
    );
    assert_eq!(sim.workers["m-1"].running(), 0, "all tasks are in one zone");
    sim.workers
        .get_mut("m-3")
        .unwrap()
        .exit_all(ExitCause::Other);
    for _ in 0..4 {
        sim.heartbeat_all();
        sim.advance(1);
        sim.run_cycle_and_commit();
    }
    sim.heartbeat_all();
    let second_attempts = attempts(&sim);
    assert_eq!(second_attempts.len(), 3);
    assert!(
        second_attempts
            .iter()
            .all(|attempt| *attempt == second_attempts[0] && *attempt > first_attempts[0])
    );
}

// Prevents tasks from waiting for the end of a partition on unreachable machines while reachable machines have free
// resources.
#[test]
fn unsent_placements_of_an_unreachable_machine_are_moved_elsewhere() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    sim.add_worker("m-1", "b", false);
    sim.add_worker("m-2", "a", false);
    sim.submit(spec("j-1", 2));
    sim.run_cycle_and_commit();
    assert_eq!(sim.free_places("m-1"), 0);
    for _ in 0..3 {
        sim.advance(2);
        sim.scheduler
            .on_contact("n-2", &[MachineId("m-1".into())], sim.now);
        sim.heartbeat("m-2");
        assert!(sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty());
    }
    sim.run_cycle_and_commit();
    sim.heartbeat("m-2");
    assert_eq!(sim.workers["m-2"].running(), 2);
    // The machine takes offers again once its heartbeats reach this controller. Tasks that run there are not stopped.
    sim.submit(spec("j-2", 2));
    sim.heartbeat("m-1");
    sim.advance(1);
    sim.heartbeat("m-1");
    assert_eq!(sim.workers["m-1"].running(), 2);
}

// Prevents less urgent writes from using up the write rate that is needed for writes that users and workers wait for.
#[test]
fn images_and_removals_of_old_records_wait_while_writes_are_limited() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    let job = sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    let running_heartbeat = sim
        .workers
        .get_mut("m-1")
        .expect("a worker")
        .next_heartbeat("m-1");
    sim.scheduler
        .on_heartbeat(&running_heartbeat, "n-1", sim.now);
    assert_eq!(sim.scheduler.next_batch(20, 36_000, true), vec![]);
    sim.scheduler.end_job(&job, aborted(0));
    sim.workers
        .get_mut("m-1")
        .expect("a worker")
        .exit_all(ExitCause::Stopped);
    let exited_heartbeat = sim
        .workers
        .get_mut("m-1")
        .expect("a worker")
        .next_heartbeat("m-1");
    sim.scheduler
        .on_heartbeat(&exited_heartbeat, "n-1", sim.now);
    let urgent_batch = sim.scheduler.next_batch(20, 36_000, true);
    assert!(
        matches!(urgent_batch[..], [Write::Chunk { .. }]),
        "{urgent_batch:?}"
    );
    sim.revision.0 += 1;
    sim.scheduler.batch_applied(&urgent_batch, sim.revision);
    assert!(matches!(
        sim.scheduler.next_batch(20, 36_000, false)[..],
        [Write::Images { .. }]
    ));
    assert!(matches!(
        sim.scheduler.next_batch(20, 36_000, false)[..],
        [Write::Remove { .. }]
    ));
}

// Prevents a machine from having so many tasks that its heartbeat exceeds the maximum size of a request body.
#[test]
fn machine_gets_no_more_tasks_than_fit_in_a_heartbeat() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", true);
    let tiny = JobSpec {
        cores: 0.01,
        accelerators: 0.0,
        ram_gb: 0.01,
        ..spec("j-1", 1_500)
    };
    sim.submit(tiny);
    for _ in 0..4 {
        sim.advance(1);
        sim.heartbeat("m-1");
    }
    assert_eq!(sim.workers["m-1"].running(), MAX_TASKS_PER_MACHINE);
    let requests = sim.scheduler.plan_fleet(sim.now, 0).provision;
    let count: usize = requests.iter().map(|request| request.count).sum();
    assert_eq!(count, 3, "for the other 1,100 tasks");
    sim.workers
        .get_mut("m-1")
        .unwrap()
        .exit_all(ExitCause::Done);
    let heartbeat = sim.workers.get_mut("m-1").unwrap().next_heartbeat("m-1");
    sim.handle_heartbeat(&heartbeat);
    let body = serde_json::to_string(&heartbeat).expect("JSON");
    assert!(body.len() < 64 * 1024 / 2, "{}", body.len());
    let reported = sim.scheduler.machines[&MachineId("m-1".into())].reported_tasks();
    assert!(
        reported <= MAX_TASKS_PER_MACHINE,
        "exited tasks are reported until they are cleared: {reported}"
    );
}

// Prevents many jobs with one task each from using up the write rate that all other work needs.
#[test]
fn job_with_one_task_ends_in_a_single_write_of_three_operations() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", true);
    let job = sim.submit(spec("j-1", 1));
    sim.heartbeat("m-1");
    sim.workers
        .get_mut("m-1")
        .unwrap()
        .exit_all(ExitCause::Done);
    let heartbeat = sim.workers.get_mut("m-1").unwrap().next_heartbeat("m-1");
    sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
    let batch = sim.scheduler.next_batch(20, 36_000, true);
    assert!(
        matches!(&batch[..], [Write::DoneAndRemove { .. }]),
        "{batch:?}"
    );
    assert_eq!(batch[0].ops(), 3);
    // The worker keeps the exited task until its completion is written. If the user cancels the job before that, the
    // job counts as cancelled.
    let position = heartbeat.position();
    assert_eq!(
        sim.scheduler
            .commands_for(&heartbeat.machine, position, sim.now),
        vec![]
    );
    sim.scheduler.batch_not_applied(&batch);
    sim.scheduler.on_job_already_ended(&job);
    sim.scheduler.end_job(&job, aborted(1));
    assert!(
        !sim.scheduler
            .next_batch(20, 36_000, false)
            .iter()
            .any(|w| matches!(w, Write::DoneAndRemove { .. } | Write::Done { .. }))
    );
    let commands = sim
        .scheduler
        .commands_for(&heartbeat.machine, position, sim.now);
    assert!(matches!(&commands[..], [AgentCommand::Clear { .. }]));
}

// Prevents the placement of a critical task from waiting behind tens of thousands of placements of low-priority
// jobs.
#[test]
fn placements_of_critical_jobs_are_written_first() {
    let mut sim = Simulation::new(0.0);
    for i in 1..=30 {
        sim.add_worker(&format!("m-{i:02}"), "a", false);
    }
    let tiny = JobSpec {
        cores: 0.25,
        accelerators: 0.0,
        ram_gb: 0.5,
        ..spec("j-1", 2_000)
    };
    sim.submit(tiny);
    sim.submit(critical_service("j-2"));
    sim.scheduler.run_cycle(sim.now);
    let batch = sim.scheduler.next_batch(4, 36_000, true);
    assert_eq!(batch[0].job(), Some(&JobId("j-2".into())));
}
