//! Many short tasks of several teams, and few writes.

use super::{Simulation, TOKEN, count_starts, spec};
use crate::scheduler::{
    AgentCommand, ExitCause, JobSpec, MachineId, Priority, TaskState, TeamQuota, Write,
};
use crate::units::Micros;

/// A job whose aims leave no time for a boot.
fn latency_sensitive(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        priority: Priority::Urgent,
        expected_run_s: 15.0,
        checkpoint_s: 0.0,
        due_s: Some(30.0),
        ..spec(id, tasks)
    }
}

// Guards against two jobs that stop each other's tasks for ever, one by its rank and one by its team's guarantee, and
// against small tasks that take, bit by bit, the room that is being made for a large one.
#[test]
fn what_a_team_is_guaranteed_takes_the_room_made_for_it_and_keeps_it() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.guarantee_start_delay = Some(Micros::secs(15));
    for (name, cards) in [("owed", 2.0), ("borrows", 1.0)] {
        let share = TeamQuota::new(0.0, 0.0, cards, 0.0);
        sim.scheduler.teams.insert(name.into(), share);
    }
    let of = |team: &str, spec: JobSpec| JobSpec {
        team: team.into(),
        ..spec
    };
    sim.add_worker("m-1", "a", false);
    let long = |id: &str, tasks: u32| JobSpec {
        expected_run_s: 100.0,
        due_s: Some(200.0),
        ..latency_sensitive(id, tasks)
    };
    sim.submit(of("borrows", long("j-1", 2)));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    assert_eq!(sim.running(), 2);
    sim.submit(of("borrows", latency_sensitive("j-2", 3)));
    let large = JobSpec {
        priority: Priority::Normal,
        cores: 12.0,
        accelerators: 2.0,
        ram_gb: 96.0,
        ..spec("j-3", 1)
    };
    sim.submit(of("owed", large));
    let stops = sim.send_heartbeat("m-1");
    assert_eq!(stops.len(), 2, "{stops:?}");
    assert!(stops.iter().all(|o| matches!(o, AgentCommand::Stop { .. })));
    // One of the two exits first.
    let worker = sim.workers.get_mut("m-1").expect("a worker");
    worker.execute(&stops[..1], TOKEN);
    let commands = sim.send_heartbeat("m-1");
    assert_eq!(count_starts(&commands), 0, "its room is kept: {commands:?}");
    let worker = sim.workers.get_mut("m-1").expect("a worker");
    worker.execute(&stops[1..], TOKEN);
    for _ in 0..6 {
        sim.heartbeat("m-1");
        sim.advance(1);
    }
    let tasks = &sim.workers["m-1"].tasks;
    let live = tasks
        .iter()
        .filter(|(_, (state, _))| *state != TaskState::Exited);
    let names: Vec<&str> = live.map(|((task, _), _)| task.as_str()).collect();
    assert_eq!(names, ["j-3/0"]);
}

// Guards against a task of normal priority that urgent arrays stop every time it has just begun: it loses least, and so it
// would be stopped for each of them and never end.
#[test]
fn an_array_is_not_stopped_for_a_higher_one_before_it_ran_for_a_while() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler
        .config
        .max_start_delay
        .insert("fast".into(), Micros::secs(8));
    let whole_machine = JobSpec {
        cores: 16.0,
        accelerators: 0.0,
        ..spec("j-1", 1)
    };
    sim.add_worker("m-1", "a", false);
    sim.submit(whole_machine);
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    assert_eq!(sim.running(), 1);
    sim.submit(JobSpec {
        class: "fast".into(),
        accelerators: 0.0,
        ..latency_sensitive("j-2", 1)
    });
    let mut ran = 0;
    let stops = loop {
        sim.run_cycle_and_commit();
        let stops = sim.send_heartbeat("m-1");
        if !stops.is_empty() || ran > 60 {
            break stops;
        }
        sim.advance(1);
        ran += 1;
    };
    assert!(
        matches!(&stops[..], [AgentCommand::Stop { task, .. }] if task == "j-1/0"),
        "{stops:?}"
    );
    assert_eq!(ran, 45);
}

// Guards against borrowed room that is taken back by stops where it is free again in less time than the stopped tasks need to
// run once more.
#[test]
fn a_guarantee_waits_for_short_borrowed_tasks_but_not_for_long_ones() {
    let stops = |expected_run_s: f64| {
        let mut sim = Simulation::new(0.0);
        sim.scheduler.config.guarantee_start_delay = Some(Micros::secs(10));
        for team in ["owed", "borrows"] {
            let share = TeamQuota::new(0.0, 0.0, 1.0, 0.0);
            sim.scheduler.teams.insert(team.into(), share);
        }
        sim.add_worker("m-1", "a", false);
        sim.submit(JobSpec {
            team: "borrows".into(),
            expected_run_s,
            ..spec("j-1", 2)
        });
        sim.run_cycle_and_commit();
        sim.heartbeat("m-1");
        sim.heartbeat("m-1");
        sim.submit(JobSpec {
            team: "owed".into(),
            ..spec("j-2", 1)
        });
        sim.run_cycle_and_commit();
        sim.send_heartbeat("m-1").len()
    };
    assert_eq!(stops(20.0), 0);
    assert_eq!(stops(100.0), 1);
}

/// Seconds for which an empty machine is kept after such a job.
fn kept_after(job: JobSpec, on_spot: bool) -> u64 {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", on_spot);
    sim.submit(job);
    sim.scheduler.plan_fleet(sim.now, 1_000_000);
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.advance(70);
    let worker = sim.workers.get_mut("m-1").expect("a worker");
    worker.exit_all(ExitCause::Done);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    for seconds in 0..100 {
        sim.heartbeat("m-1");
        if !sim
            .scheduler
            .plan_fleet(sim.now, 1_000_000)
            .terminate
            .is_empty()
        {
            return seconds;
        }
        sim.advance(1);
    }
    100
}

// Guards against machines that are terminated and provisioned again all the time where work comes and goes faster than
// machines boot: each boot is paid for, and comes too late.
#[test]
fn machines_are_kept_as_long_as_a_boot_takes_for_work_that_cannot_wait_for_one() {
    assert_eq!(kept_after(spec("j-1", 1), false), 5);
    assert_eq!(kept_after(spec("j-1", 1), true), 5);
    for spot in [true, false] {
        let job = JobSpec {
            spot,
            ..latency_sensitive("j-1", 1)
        };
        assert_eq!(kept_after(job, spot), 40);
    }
}

// Guards against machines at three times the price that wait for work which cheaper ones may serve.
#[test]
fn ordinary_machines_are_not_kept_for_work_that_may_use_spot_machines() {
    let job = JobSpec {
        spot: true,
        ..latency_sensitive("j-1", 1)
    };
    assert_eq!(kept_after(job, false), 5);
}

// Guards against the finishes of many short tasks using up the writes for which starts wait.
#[test]
fn where_writes_are_short_finishes_wait_for_their_jobs_next_placement_or_end_or_some_seconds() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(JobSpec {
        cores: 1.0,
        accelerators: 0.0,
        ram_gb: 1.0,
        ..spec("j-1", 3)
    });
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    let finish = |sim: &mut Simulation, index: u32| {
        let worker = sim.workers.get_mut("m-1").expect("a worker");
        let task = format!("j-1/{index}");
        for ((name, _), state) in worker.tasks.iter_mut() {
            if *name == task {
                *state = (TaskState::Exited, Some(ExitCause::Done));
            }
        }
        let heartbeat = worker.next_heartbeat("m-1");
        sim.scheduler.on_heartbeat(&heartbeat, sim.via, sim.now);
    };
    finish(&mut sim, 0);
    assert_eq!(sim.scheduler.next_batch(20, 36_000, true), vec![]);
    sim.advance(11);
    finish(&mut sim, 1);
    let batch = sim.scheduler.next_batch(20, 36_000, true);
    assert!(
        matches!(&batch[..], [Write::Chunk { record, .. }] if record.finished == 0b11),
        "{batch:?}"
    );
    sim.revision.0 += 1;
    sim.scheduler.batch_applied(&batch, sim.revision);
    finish(&mut sim, 2);
    let batch = sim.scheduler.next_batch(20, 36_000, true);
    assert!(
        matches!(&batch[..], [Write::DoneAndRemove { .. }]),
        "{batch:?}"
    );
}

// Guards against a change for every task that starts, and for every machine that goes back: images are written where they
// differ from what was written, and removed where they were.
#[test]
fn images_are_written_once_and_removed_only_where_they_were() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.add_worker("m-2", "a", false);
    for n in 0..3 {
        sim.submit(spec(&format!("j-{n}"), 1));
        sim.run_cycle_and_commit();
        sim.heartbeat("m-1");
        sim.heartbeat("m-1");
        let written = sim.images.remove(&MachineId("m-1".into()));
        assert_eq!(
            written.is_some(),
            n == 0,
            "the same image is not written again"
        );
        let worker = sim.workers.get_mut("m-1").expect("a worker");
        worker.exit_all(ExitCause::Done);
        sim.heartbeat("m-1");
        sim.heartbeat("m-1");
    }
    for (machine, removed) in [("m-2", false), ("m-1", true)] {
        sim.scheduler
            .on_terminated(&[MachineId(machine.into())], sim.now);
        let batch = sim.scheduler.next_batch(20, 36_000, false);
        let is_removal = matches!(&batch[..], [Write::Images { images: None, .. }]);
        assert_eq!(is_removal, removed, "{machine}: {batch:?}");
    }
}
