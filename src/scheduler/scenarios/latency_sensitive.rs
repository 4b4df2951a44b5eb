//! Latency-sensitive work: many short tasks of several teams, with a limited write rate.

use super::{Simulation, TOKEN, count_starts, spec};
use crate::scheduler::{
    AgentCommand, ExitCause, JobSpec, MachineId, Priority, TaskState, TeamQuota, Write,
};
use crate::units::Micros;

/// Returns the spec of an urgent array whose deadline leaves no time to provision a machine.
fn latency_sensitive(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        priority: Priority::Urgent,
        expected_run_s: 15.0,
        checkpoint_s: 0.0,
        due_s: Some(30.0),
        ..spec(id, tasks)
    }
}

// Prevents two jobs from preempting each other's tasks forever, one by its priority and one by its team's guarantee.
// Also prevents small tasks from taking, bit by bit, the resources that are being freed for a large one.
#[test]
fn guaranteed_job_gets_and_keeps_the_resources_freed_for_it() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.guarantee_start_delay = Some(Micros::secs(15));
    for (name, accelerators) in [("owed", 2.0), ("borrows", 1.0)] {
        let quota = TeamQuota::new(0.0, 0.0, accelerators, 0.0);
        sim.scheduler.teams.insert(name.into(), quota);
    }
    let of_team = |team: &str, spec: JobSpec| JobSpec {
        team: team.into(),
        ..spec
    };
    sim.add_worker("m-1", "a", false);
    let long = |id: &str, tasks: u32| JobSpec {
        expected_run_s: 100.0,
        due_s: Some(200.0),
        ..latency_sensitive(id, tasks)
    };
    sim.submit(of_team("borrows", long("j-1", 2)));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    assert_eq!(sim.running(), 2);
    sim.submit(of_team("borrows", latency_sensitive("j-2", 3)));
    let large = JobSpec {
        priority: Priority::Normal,
        cores: 12.0,
        accelerators: 2.0,
        ram_gb: 96.0,
        ..spec("j-3", 1)
    };
    sim.submit(of_team("owed", large));
    let stop_commands = sim.send_heartbeat("m-1");
    assert_eq!(stop_commands.len(), 2, "{stop_commands:?}");
    assert!(
        stop_commands
            .iter()
            .all(|c| matches!(c, AgentCommand::Stop { .. }))
    );
    // Only one of the two stopped tasks has exited.
    let worker = sim.workers.get_mut("m-1").expect("a worker");
    worker.execute(&stop_commands[..1], TOKEN);
    let commands = sim.send_heartbeat("m-1");
    assert_eq!(
        count_starts(&commands),
        0,
        "the freed resources stay reserved: {commands:?}"
    );
    let worker = sim.workers.get_mut("m-1").expect("a worker");
    worker.execute(&stop_commands[1..], TOKEN);
    for _ in 0..6 {
        sim.heartbeat("m-1");
        sim.advance(1);
    }
    let tasks = &sim.workers["m-1"].tasks;
    let live_tasks = tasks
        .iter()
        .filter(|(_, (state, _))| *state != TaskState::Exited);
    let names: Vec<&str> = live_tasks.map(|((task, _), _)| task.as_str()).collect();
    assert_eq!(names, ["j-3/0"]);
}

// A task that has just started loses the least work by a preemption. Without a minimum run time, a steady stream of
// urgent arrays would stop the same task of normal priority again and again, and it would never finish.
#[test]
fn array_task_is_not_preempted_for_a_higher_priority_array_before_a_minimum_run_time() {
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
    let mut run_time_s = 0;
    let stop_commands = loop {
        sim.run_cycle_and_commit();
        let stop_commands = sim.send_heartbeat("m-1");
        if !stop_commands.is_empty() || run_time_s > 60 {
            break stop_commands;
        }
        sim.advance(1);
        run_time_s += 1;
    };
    assert!(
        matches!(&stop_commands[..], [AgentCommand::Stop { task, .. }] if task == "j-1/0"),
        "{stop_commands:?}"
    );
    assert_eq!(run_time_s, 45);
}

// Prevents borrowed resources from being reclaimed by preemption if they are free again in less time than the stopped
// tasks need to run again.
#[test]
fn guarantee_waits_for_short_borrowing_tasks_but_preempts_long_ones() {
    let stop_count = |expected_run_s: f64| {
        let mut sim = Simulation::new(0.0);
        sim.scheduler.config.guarantee_start_delay = Some(Micros::secs(10));
        for team in ["owed", "borrows"] {
            let quota = TeamQuota::new(0.0, 0.0, 1.0, 0.0);
            sim.scheduler.teams.insert(team.into(), quota);
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
    assert_eq!(stop_count(20.0), 0);
    assert_eq!(stop_count(100.0), 1);
}

/// Returns for how many seconds an empty machine is kept after this job has run on it.
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

// Prevents machines from being terminated and provisioned again all the time if work arrives and ends faster than
// machines are provisioned: each provisioning is paid for and ends too late.
#[test]
fn machines_are_kept_for_one_provisioning_time_after_latency_sensitive_work() {
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

// Prevents on-demand machines from being kept, at three times the price, for work that may use spot machines.
#[test]
fn on_demand_machines_are_not_kept_for_work_that_may_use_spot_machines() {
    let job = JobSpec {
        spot: true,
        ..latency_sensitive("j-1", 1)
    };
    assert_eq!(kept_after(job, false), 5);
}

// Prevents the completions of many short tasks from using up the write rate that starts wait for: they are written with
// the next placement in their chunk, at the end of the job, or after 10 s.
#[test]
fn completions_wait_for_a_timeout_or_the_end_of_the_job_while_writes_are_limited() {
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
    let report_completion = |sim: &mut Simulation, index: u32| {
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
    report_completion(&mut sim, 0);
    assert_eq!(sim.scheduler.next_batch(20, 36_000, true), vec![]);
    sim.advance(11);
    report_completion(&mut sim, 1);
    let batch = sim.scheduler.next_batch(20, 36_000, true);
    assert!(
        matches!(&batch[..], [Write::Chunk { record, .. }] if record.finished == 0b11),
        "{batch:?}"
    );
    sim.revision.0 += 1;
    sim.scheduler.batch_applied(&batch, sim.revision);
    report_completion(&mut sim, 2);
    let batch = sim.scheduler.next_batch(20, 36_000, true);
    assert!(
        matches!(&batch[..], [Write::DoneAndRemove { .. }]),
        "{batch:?}"
    );
}

// Prevents a write for every task that starts and for every machine that is terminated: images are written only if they
// differ from the recorded ones, and removed only if there is a record.
#[test]
fn images_are_written_once_and_removed_only_if_recorded() {
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
    for (machine, is_recorded) in [("m-2", false), ("m-1", true)] {
        sim.scheduler
            .on_terminated(&[MachineId(machine.into())], sim.now);
        let batch = sim.scheduler.next_batch(20, 36_000, false);
        let is_removal = matches!(&batch[..], [Write::Images { images: None, .. }]);
        assert_eq!(is_removal, is_recorded, "{machine}: {batch:?}");
    }
}
