//! Placing, starting, finishing and stopping.

use super::{Simulation, TOKEN, aborted, count_starts, critical_service, spec};
use crate::scheduler::machine::MAX_TASKS_PER_MACHINE;
use crate::scheduler::{
    AgentCommand, ExitCause, JobId, JobSpec, MAX_TASKS, MachineId, Shape, TaskState, Write,
};
use crate::units::Micros;

#[test]
fn a_job_is_placed_on_low_ids_run_and_done() {
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
    for w in sim.workers.values_mut() {
        w.exit_all(ExitCause::Done);
    }
    sim.heartbeat_all();
    sim.heartbeat_all();
    sim.commit();
    assert!(sim.done.contains(&job));
    assert!(
        sim.workers.values().all(|w| w.tasks.is_empty()),
        "all were cleared"
    );
}

#[test]
fn a_task_is_started_only_after_its_placement_is_written() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 1));
    sim.scheduler.run_cycle(sim.now);
    let heartbeat = sim.workers.get_mut("m-1").unwrap().next_heartbeat("m-1");
    sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
    let at = heartbeat.position();
    assert_eq!(
        count_starts(&sim.scheduler.commands_for(&heartbeat.machine, at, sim.now)),
        0
    );
    sim.commit();
    assert_eq!(
        count_starts(&sim.scheduler.commands_for(&heartbeat.machine, at, sim.now)),
        1
    );
    assert_eq!(
        count_starts(&sim.scheduler.commands_for(&heartbeat.machine, at, sim.now)),
        0,
        "told once"
    );
}

#[test]
fn a_lost_answer_is_repeated_with_the_same_attempt_and_a_duplicate_heartbeat_gets_nothing() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    let lost = sim.send_heartbeat("m-1");
    assert_eq!(count_starts(&lost), 1);
    let heartbeat = sim.workers.get_mut("m-1").unwrap().next_heartbeat("m-1");
    assert_eq!(
        sim.handle_heartbeat(&heartbeat),
        lost,
        "the same attempt again"
    );
    assert_eq!(
        sim.handle_heartbeat(&heartbeat),
        vec![],
        "a copy of a report changes nothing"
    );
}

#[test]
fn a_finish_is_cleared_only_after_it_is_written() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    let w = sim.workers.get_mut("m-1").unwrap();
    w.exit_all(ExitCause::Done);
    let heartbeat = w.next_heartbeat("m-1");
    sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
    let at = heartbeat.position();
    assert_eq!(
        sim.scheduler.commands_for(&heartbeat.machine, at, sim.now),
        vec![]
    );
    sim.commit();
    let commands = sim.scheduler.commands_for(&heartbeat.machine, at, sim.now);
    assert!(matches!(commands[..], [AgentCommand::Clear { .. }]));
}

#[test]
fn a_cancelled_job_is_stopped_at_once_and_never_started_again() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    let job = sim.submit(spec("j-1", 4));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    assert_eq!(sim.running(), 2);
    let end = aborted(0);
    sim.scheduler.end_job(&job, end);
    let commands = sim.send_heartbeat("m-1");
    assert!(
        commands
            .iter()
            .all(|o| matches!(o, AgentCommand::Stop { save_grace_s, .. } if *save_grace_s == 0.0))
    );
    sim.workers
        .get_mut("m-1")
        .unwrap()
        .execute(&commands, TOKEN);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    assert_eq!(sim.running(), 0);
    assert!(sim.workers["m-1"].tasks.is_empty());
}

#[test]
fn a_cancellation_that_beats_the_write_takes_the_placement_back() {
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
    // The commit found the end key taken.
    sim.scheduler.batch_not_applied(&batch);
    sim.scheduler.on_job_already_ended(&job);
    sim.commit();
    assert_eq!(count_starts(&sim.send_heartbeat("m-1")), 0);
    assert_eq!(sim.free_places("m-1"), 2);
}

#[test]
fn a_machine_that_does_not_hear_of_a_cancellation_is_terminated_in_time() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    let job = sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.scheduler.end_job(&job, aborted(0));
    let half = Micros::secs(30).0;
    assert!(sim.scheduler.plan_fleet(sim.now, half).terminate.is_empty());
    let overdue_at = Micros::secs(37).0;
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, overdue_at).terminate,
        vec![MachineId("m-1".into())]
    );
}

#[test]
fn a_stopped_task_counts_towards_the_limit_until_it_is_gone() {
    let mut sim = Simulation::new(2.0);
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "a", false);
    let first = sim.submit(spec("j-1", 2));
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    sim.submit(spec("j-2", 2));
    sim.scheduler.end_job(&first, aborted(0));
    sim.run_cycle_and_commit();
    // m-2 has room, but the team's two tasks on m-1 are not proven to be gone.
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
fn spread_and_together_hold_for_every_task_that_may_be_there() {
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
        let there = sim.workers.values().filter(|w| w.zone == zone);
        there
            .flat_map(|w| w.tasks.keys())
            .filter(|(task, _)| task.starts_with(job))
            .count()
    };
    assert_eq!(
        in_zone(&sim, "j-1/", "a"),
        3,
        "five may have three in a zone"
    );
    assert_eq!(in_zone(&sim, "j-1/", "b"), 2);
    assert_eq!(in_zone(&sim, "j-2/", "a"), 3);
}

#[test]
fn a_notice_sends_saving_tasks_away_and_takes_no_more() {
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
fn a_hundred_thousand_tasks_fit_into_values_and_transactions() {
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
fn a_running_task_without_placement_is_adopted_not_started_elsewhere() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "a", false);
    let stray = ("j-1/0".to_owned(), 5);
    sim.workers
        .get_mut("m-2")
        .unwrap()
        .tasks
        .insert(stray, (TaskState::Running, None));
    sim.submit(spec("j-1", 1));
    let heartbeat = sim.workers.get_mut("m-2").unwrap().next_heartbeat("m-2");
    sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 1);
    assert_eq!(sim.workers["m-2"].running(), 1);
}

// Guards against gangs whose tasks wait for each other in vain: they find each other by their common attempt.
#[test]
fn a_gang_starts_whole_with_one_attempt_and_again_whole_when_it_lost_a_member() {
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
    assert_eq!(sim.running(), 0, "no zone has room for all three");
    sim.add_worker("m-3", "b", false);
    sim.advance(1);
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    let attempts = |sim: &Simulation| -> Vec<u64> {
        let tasks = sim.workers.values().flat_map(|w| w.tasks.iter());
        tasks
            .filter(|(_, s)| s.0 == TaskState::Running)
            .map(|((_, a), _)| *a)
            .collect()
    };
    let first = attempts(&sim);
    assert_eq!(first.len(), 3);
    assert!(first.iter().all(|a| *a == first[0]));
    assert_eq!(sim.workers["m-1"].running(), 0, "together in one zone");
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
    let second = attempts(&sim);
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|a| *a == second[0] && *a > first[0]));
}

// Guards against tasks that wait for the end of a cut on machines beyond it, while machines on this side have room.
#[test]
fn unsent_placements_of_an_unreachable_machine_go_elsewhere() {
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
    // It takes offers again once it reports here, and what runs there is left alone.
    sim.submit(spec("j-2", 2));
    sim.heartbeat("m-1");
    sim.advance(1);
    sim.heartbeat("m-1");
    assert_eq!(sim.workers["m-1"].running(), 2);
}

// Guards against what matters less taking the writes that users and workers wait for.
#[test]
fn where_writes_are_short_images_and_old_records_wait() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    let job = sim.submit(spec("j-1", 1));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    let running = sim
        .workers
        .get_mut("m-1")
        .expect("a worker")
        .next_heartbeat("m-1");
    sim.scheduler.on_heartbeat(&running, "n-1", sim.now);
    assert_eq!(sim.scheduler.next_batch(20, 36_000, true), vec![]);
    sim.scheduler.end_job(&job, aborted(0));
    sim.workers
        .get_mut("m-1")
        .expect("a worker")
        .exit_all(ExitCause::Stopped);
    let stopped = sim
        .workers
        .get_mut("m-1")
        .expect("a worker")
        .next_heartbeat("m-1");
    sim.scheduler.on_heartbeat(&stopped, "n-1", sim.now);
    let urgent = sim.scheduler.next_batch(20, 36_000, true);
    assert!(matches!(urgent[..], [Write::Chunk { .. }]), "{urgent:?}");
    sim.revision.0 += 1;
    sim.scheduler.batch_applied(&urgent, sim.revision);
    assert!(matches!(
        sim.scheduler.next_batch(20, 36_000, false)[..],
        [Write::Images { .. }]
    ));
    assert!(matches!(
        sim.scheduler.next_batch(20, 36_000, false)[..],
        [Write::Remove { .. }]
    ));
}

// Guards against a machine whose heartbeat is longer than a body may be.
#[test]
fn a_machine_holds_no_more_tasks_than_a_heartbeat_can_name() {
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
    let rent = sim.scheduler.plan_fleet(sim.now, 0).provision;
    let count: usize = rent.iter().map(|w| w.count).sum();
    assert_eq!(count, 3, "for 1,100 more");
    sim.workers
        .get_mut("m-1")
        .unwrap()
        .exit_all(ExitCause::Done);
    let heartbeat = sim.workers.get_mut("m-1").unwrap().next_heartbeat("m-1");
    sim.handle_heartbeat(&heartbeat);
    let body = serde_json::to_string(&heartbeat).expect("JSON");
    assert!(body.len() < 64 * 1024 / 2, "{}", body.len());
    let named = sim.scheduler.machines[&MachineId("m-1".into())].reported_tasks();
    assert!(
        named <= MAX_TASKS_PER_MACHINE,
        "what is not cleared is reported: {named}"
    );
}

// Guards against a swarm of tiny jobs using up the changes that everything else needs.
#[test]
fn a_job_of_one_task_costs_few_changes_and_ends_in_one_step() {
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
    // Before it is written its worker keeps the result; where its user cancelled it first, that is how it ended.
    let at = heartbeat.position();
    assert_eq!(
        sim.scheduler.commands_for(&heartbeat.machine, at, sim.now),
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
    let clear = sim.scheduler.commands_for(&heartbeat.machine, at, sim.now);
    assert!(matches!(&clear[..], [AgentCommand::Clear { .. }]));
}

// Guards against a critical task's placement that waits behind a guest's tens of thousands.
#[test]
fn what_is_critical_is_written_first() {
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
