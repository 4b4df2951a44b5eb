//! Queue order, preemption, and bounds on the work of a scheduling cycle.

use super::{Simulation, TOKEN, critical_service, spec, token_after};
use crate::scheduler::{
    AgentCommand, ExitCause, Job, JobId, JobSpec, MachineId, Priority, Shape, TaskState, TeamQuota,
};
use crate::units::Micros;

#[test]
fn critical_task_preempts_a_low_priority_one_and_gets_its_resources() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(spec("j-1", 3));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.submit(critical_service("j-2"));
    sim.run_cycle_and_commit();
    let stop_commands = sim.send_heartbeat("m-1");
    assert!(
        matches!(stop_commands[..], [AgentCommand::Stop { save_grace_s, .. }] if save_grace_s >= 4.0),
        "the stopped task gets time to save its work"
    );
    sim.workers
        .get_mut("m-1")
        .unwrap()
        .execute(&stop_commands, TOKEN);
    // The preempted task and the third task wait too, but the resources were freed for the critical task.
    sim.heartbeat("m-1");
    let task_names: Vec<&String> = sim.workers["m-1"]
        .tasks
        .keys()
        .map(|(name, _)| name)
        .collect();
    assert!(
        task_names.iter().any(|name| name.starts_with("j-2/")),
        "{task_names:?}"
    );
}

#[test]
fn low_priority_work_never_preempts_critical_work() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(JobSpec {
        class: "other".into(),
        tasks: 2,
        ..critical_service("j-1")
    });
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.submit(JobSpec {
        class: "live".into(),
        ..spec("j-2", 1)
    });
    sim.run_cycle_and_commit();
    assert_eq!(sim.send_heartbeat("m-1"), vec![]);
}

#[test]
fn jobs_are_offered_to_samples_of_machines_if_the_cycle_would_exceed_its_maximum_of_offers() {
    let mut sim = Simulation::new(0.0);
    for i in 0..200 {
        sim.add_worker(&format!("m-{i:06}"), "a", false);
    }
    sim.scheduler.config.max_offers_per_cycle = 5_000;
    for i in 0..2_000 {
        // The machines have free resources for them, but none is in their zone.
        sim.submit(JobSpec {
            zone: Some("b".into()),
            ..spec(&format!("j-{i:06}"), 3)
        });
    }
    sim.scheduler.run_cycle(sim.now);
    assert!(sim.scheduler.offers_made >= 8 * 2_000);
    // Two passes over at least eight machines for each job, rather than the 800,000 offers of a full search.
    assert!(
        sim.scheduler.offers_made <= 2 * 8 * 2_000,
        "{} offers",
        sim.scheduler.offers_made
    );
}

// Prevents two jobs within their guarantees from preempting each other every few seconds.
#[test]
fn guarantee_preempts_borrowing_tasks_but_not_tasks_within_another_guarantee() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.guarantee_start_delay = Some(Micros::secs(15));
    for name in ["one", "two"] {
        sim.scheduler
            .teams
            .insert(name.into(), TeamQuota::new(0.0, 0.0, 1.0, 0.0));
    }
    sim.add_worker("m-1", "a", false);
    sim.submit(JobSpec {
        team: "one".into(),
        ..spec("j-1", 1)
    });
    sim.submit(JobSpec {
        team: "one".into(),
        ..spec("j-2", 1)
    });
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.submit(JobSpec {
        team: "two".into(),
        ..spec("j-3", 1)
    });
    sim.run_cycle_and_commit();
    let commands = sim.send_heartbeat("m-1");
    assert!(
        matches!(&commands[..], [AgentCommand::Stop { task, .. }] if task == "j-2/0"),
        "{commands:?}"
    );
}

// Prevents work with a close deadline from being preempted or left waiting while other work has time to spare.
#[test]
fn job_with_the_earliest_deadline_is_placed_first_and_preempted_last() {
    let mut sim = Simulation::new(0.0);
    let with_deadline = |id: &str, due_s: f64| JobSpec {
        due_s: Some(due_s),
        spot: false,
        ..spec(id, 1)
    };
    sim.submit(with_deadline("j-1", 500.0));
    sim.submit(with_deadline("j-2", 100.0));
    sim.submit(with_deadline("j-3", 100.0));
    sim.add_worker("m-1", "a", false);
    sim.scheduler.plan_fleet(sim.now, Micros::secs(1).0);
    sim.advance(1);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    let live_tasks = |sim: &Simulation, id: &str| sim.scheduler.jobs[&JobId(id.into())].live;
    assert_eq!(
        (
            live_tasks(&sim, "j-1"),
            live_tasks(&sim, "j-2"),
            live_tasks(&sim, "j-3")
        ),
        (0, 1, 1)
    );
    // One running task has ample time and one has little. A service preempts the one with ample time.
    let mut sim = Simulation::new(0.0);
    sim.submit(with_deadline("j-1", 80.0));
    sim.submit(with_deadline("j-2", 500.0));
    sim.add_worker("m-1", "a", false);
    sim.advance(1);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    sim.scheduler.plan_fleet(sim.now, Micros::secs(10).0);
    sim.submit(critical_service("j-9"));
    sim.run_cycle_and_commit();
    let stop_commands = sim.send_heartbeat("m-1");
    assert!(
        matches!(&stop_commands[..], [AgentCommand::Stop { task, .. }] if task == "j-2/0"),
        "{stop_commands:?}"
    );
}

// Prevents preemptions that only avoid an image fetch for a service and make a batch job miss its deadline.
#[test]
fn task_that_would_miss_its_deadline_is_not_preempted_only_to_avoid_an_image_fetch() {
    let is_preempted_or_waits = |due_s: f64| {
        let mut sim = Simulation::new(0.0);
        sim.submit(JobSpec {
            due_s: Some(due_s),
            spot: false,
            ..spec("j-1", 2)
        });
        for name in ["m-1", "m-2"] {
            sim.add_worker(name, "a", false);
        }
        sim.advance(1);
        sim.heartbeat_all();
        sim.heartbeat_all();
        assert_eq!(sim.workers["m-1"].running(), 2);
        sim.scheduler.plan_fleet(sim.now, Micros::secs(10).0);
        // The service's image is on the first machine. The second machine has free resources, but fetching the image
        // there takes too long.
        sim.scheduler
            .machines
            .get_mut(&MachineId("m-1".into()))
            .unwrap()
            .images = vec![("big".into(), 10.0)];
        sim.submit(JobSpec {
            image: "big".into(),
            image_gb: 10.0,
            ..critical_service("j-9")
        });
        sim.run_cycle_and_commit();
        let placement = sim.scheduler.jobs[&JobId("j-1".into())]
            .placement(1)
            .expect("placed");
        placement.stopping.is_some() || sim.scheduler.jobs[&JobId("j-9".into())].waiting() > 0
    };
    assert!(
        is_preempted_or_waits(500.0),
        "there is time to run the preempted task again"
    );
    assert!(
        !is_preempted_or_waits(80.0),
        "the preempted task would miss its deadline"
    );
}

// Prevents the work of a scheduling cycle from growing with the fleet and the queue, rather than with what changed and
// which machines have free resources.
#[test]
fn cycle_of_a_large_fleet_is_bounded_and_makes_no_offers_if_nothing_fits() {
    let mut sim = Simulation::new(0.0);
    for i in 0..2_000 {
        sim.add_worker(&format!("m-{i:06}"), ["a", "b"][i % 2], false);
    }
    for i in 0..1_600 {
        sim.submit(spec(&format!("j-{i:06}"), 3));
    }
    sim.advance(1);
    let revision_before = sim.revision;
    sim.scheduler.run_cycle(sim.now);
    let max_offers = 2 * sim.scheduler.config.max_offers_per_cycle;
    assert!(
        sim.scheduler.offers_made <= max_offers,
        "{} offers",
        sim.scheduler.offers_made
    );
    sim.commit();
    // A transaction contains the placements of twenty jobs.
    let batches = sim.revision.0 - revision_before.0;
    assert!(batches <= 1_600 / 20 + 1, "{batches} batches");
    for _ in 0..8 {
        sim.advance(1);
        sim.run_cycle_and_commit();
    }
    let placed: usize = sim
        .scheduler
        .machines
        .values()
        .map(|m| m.reserved.len())
        .sum();
    assert_eq!(placed, 4_000, "samples must not miss the machines that fit");
    // All machines are full and 800 tasks wait: no offers are made and nothing is written.
    sim.advance(1);
    let revision_before = sim.revision;
    sim.run_cycle_and_commit();
    assert_eq!(
        (sim.scheduler.offers_made, sim.revision),
        (0, revision_before)
    );
    // One machine has free resources again: offers are made only to it.
    let first = MachineId("m-000000".into());
    sim.heartbeat_in_one_cycle(0);
    sim.workers
        .get_mut(&first.0)
        .expect("a worker")
        .exit_all(ExitCause::Done);
    sim.advance(1);
    let heartbeat = sim
        .workers
        .get_mut(&first.0)
        .expect("a worker")
        .next_heartbeat(&first.0);
    sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
    sim.scheduler.run_cycle(sim.now);
    assert!(
        sim.scheduler.offers_made <= 2 * 1_600,
        "{} offers",
        sim.scheduler.offers_made
    );
    assert_eq!(sim.scheduler.machines[&first].reserved.len(), 2);
    // Size of the stored records per placed task.
    let stored_bytes: usize = sim
        .chunks
        .values()
        .map(|(record, _)| serde_json::to_string(record).expect("json").len())
        .sum();
    assert!(stored_bytes <= 4_000 * 40, "{stored_bytes} bytes");
    // All controllers restart. The new leader receives heartbeats of 2,000 machines, whose tasks all still run. It
    // writes only what the last leader had not written, and provisions and terminates nothing.
    sim.heartbeat_in_one_cycle(0);
    sim.change_leader(token_after(TOKEN, 1));
    sim.heartbeat_in_one_cycle(0);
    sim.heartbeat_in_one_cycle(0);
    let revision_before = sim.revision;
    sim.heartbeat_in_one_cycle(0);
    assert_eq!(
        sim.revision, revision_before,
        "nothing is written if nothing changed"
    );
    sim.scheduler.on_list(&[], sim.now);
    assert_eq!(sim.running(), 4_000);
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).terminate, vec![]);
    // A tenth of the machines fails. All of them are logged, in few lines.
    sim.scheduler.take_events();
    sim.advance(1);
    sim.heartbeat_in_one_cycle(200);
    sim.advance(20);
    sim.heartbeat_in_one_cycle(200);
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).terminate.len(), 200);
    let lines = sim.info_lines();
    let lost_lines = lines.iter().filter(|line| line.contains("machine_lost"));
    let named: usize = lost_lines
        .clone()
        .map(|line| line.matches("m-").count())
        .sum();
    assert_eq!((lost_lines.count(), named), (8, 200));
}

/// Submits a small job whenever a small task ends, one per second. Returns after how many seconds a task of the large
/// job is placed.
fn seconds_until_large_job_starts(sim: &mut Simulation, small: &JobSpec, large: JobSpec) -> u64 {
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    let mut job_number = 0;
    let mut submit_small_job = |sim: &mut Simulation| {
        job_number += 1;
        let id = JobId(format!("j-{job_number:04}"));
        sim.submit(JobSpec {
            id,
            ..small.clone()
        });
    };
    (0..12).for_each(|_| submit_small_job(sim));
    sim.advance(1);
    sim.heartbeat_all();
    sim.heartbeat_all();
    let large = sim.submit(large);
    for second in 1..240 {
        sim.advance(1);
        let name = sim
            .workers
            .keys()
            .nth(second as usize % sim.workers.len())
            .cloned();
        let worker = sim
            .workers
            .get_mut(&name.expect("a worker"))
            .expect("a worker");
        let running_task = worker
            .tasks
            .values_mut()
            .find(|s| s.0 == TaskState::Running);
        if let Some(running_task) = running_task {
            *running_task = (TaskState::Exited, Some(ExitCause::Done));
            submit_small_job(sim);
        }
        sim.heartbeat_all();
        if sim.scheduler.jobs[&large].live > 0 {
            return second;
        }
    }
    240
}

// Prevents a large job from being overtaken by small ones forever.
#[test]
fn large_job_starts_although_small_jobs_keep_arriving() {
    let small = spec("j-0", 1);
    let large = JobSpec {
        accelerators: 2.0,
        ..spec("j-9999", 1)
    };
    // The job needs a whole machine, and no machine is ever empty.
    let mut sim = Simulation::new(0.0);
    for i in 0..3 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    let waited = seconds_until_large_job_starts(&mut sim, &small, large.clone());
    assert!(waited < 120, "{waited} s for a machine");
    // The team is always at its limit.
    let mut sim = Simulation::new(4.0);
    for i in 0..6 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    let waited = seconds_until_large_job_starts(&mut sim, &small, large.clone());
    assert!(waited < 120, "{waited} s for the team");
    // The job's tasks may only run in one zone, whose machines are always full.
    let mut sim = Simulation::new(0.0);
    for i in 0..4 {
        sim.add_worker(&format!("m-{i}"), ["a", "b"][i % 2], false);
    }
    let zone_bound = JobSpec {
        zone: Some("b".into()),
        ..large.clone()
    };
    let waited = seconds_until_large_job_starts(&mut sim, &small, zone_bound);
    assert!(waited < 120, "{waited} s for a zone");
    // All tasks of the job must run at once, in one zone.
    let mut sim = Simulation::new(0.0);
    for i in 0..6 {
        sim.add_worker(&format!("m-{i}"), ["a", "b"][i % 2], false);
    }
    let gang = JobSpec {
        shape: Shape::Gang,
        tasks: 3,
        together: true,
        ..large
    };
    let waited = seconds_until_large_job_starts(&mut sim, &small, gang);
    assert!(waited < 240, "{waited} s for a gang");
    // A service that has its maximum of tasks in one zone waits for the other zone, where small tasks of the same size
    // arrive and end.
    let mut sim = Simulation::new(0.0);
    for i in 0..4 {
        sim.add_worker(&format!("m-{i}"), ["a", "b"][i % 2], false);
    }
    let spread_service = JobSpec {
        tasks: 4,
        spread: true,
        priority: Priority::Low,
        class: "other".into(),
        ..critical_service("j-9999")
    };
    let waited = seconds_until_large_job_starts(&mut sim, &small, spread_service);
    assert!(waited < 120, "{waited} s for a place in the other zone");
}

// Prevents an image from being cached on only a few machines of a large fleet, and tasks from being scattered over a
// small fleet.
#[test]
fn job_with_a_slow_image_fetch_is_spread_over_the_machines_of_a_large_fleet() {
    let machines_used = |machines: usize| {
        let mut sim = Simulation::new(0.0);
        for i in 0..machines {
            sim.add_worker(&format!("m-{i:04}"), "a", false);
        }
        sim.submit(JobSpec {
            tasks: 4,
            image_gb: 6.0,
            ..critical_service("j-1")
        });
        sim.run_cycle_and_commit();
        let used = sim
            .scheduler
            .machines
            .values()
            .filter(|m| !m.reserved.is_empty());
        used.count()
    };
    assert_eq!(machines_used(10), 2);
    assert_eq!(machines_used(200), 4);
}

#[test]
fn job_that_cannot_meet_its_deadline_is_moved_back_but_not_forever() {
    let mut sim = Simulation::new(0.0);
    let with_deadline = |id: &str, due_s: f64| JobSpec {
        due_s: Some(due_s),
        ..spec(id, 1)
    };
    // Each task takes a minute: the first job can't meet its deadline, the second can, and the third has ample time.
    let late = sim.submit(with_deadline("j-1", 50.0));
    let on_time = sim.submit(with_deadline("j-2", 90.0));
    let ample = sim.submit(with_deadline("j-3", 1_000.0));
    let queue_order = |sim: &mut Simulation, at_s: u64| {
        sim.scheduler.unix_time = Micros::secs(at_s).0;
        let mut jobs: Vec<&Job> = sim.scheduler.jobs.values().collect();
        sim.scheduler.sort_by_queue_position(&mut jobs);
        let ids = jobs.iter().map(|j| j.spec.id.clone());
        ids.collect::<Vec<_>>()
    };
    assert_eq!(
        queue_order(&mut sim, 0),
        [late.clone(), on_time.clone(), ample.clone()]
    );
    assert_eq!(
        queue_order(&mut sim, 25),
        [on_time.clone(), late.clone(), ample.clone()]
    );
    // Even a job that is long overdue goes before one that is due later than three times the time allowed for the
    // overdue job.
    assert_eq!(queue_order(&mut sim, 200), [late, on_time, ample]);
}

/// Returns the spec of a low-priority array without a deadline and without accelerators.
fn without_deadline(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        cores: 4.0,
        accelerators: 0.0,
        ram_gb: 20.0,
        expected_run_s: 300.0,
        ..spec(id, tasks)
    }
}

// Prevents thousands of tasks without a deadline from being placed before all tasks with one, only because they were
// submitted first.
#[test]
fn jobs_without_a_deadline_are_placed_after_jobs_with_one() {
    let mut sim = Simulation::new(0.0);
    for i in 0..4 {
        sim.add_worker(&format!("m-{i}"), "a", true);
    }
    sim.submit(without_deadline("j-1", 100));
    let job_with_deadline = JobSpec {
        due_s: Some(200.0),
        ..spec("j-2", 8)
    };
    sim.submit(job_with_deadline);
    sim.heartbeat_all();
    let placed_tasks = |sim: &Simulation, job: &str| {
        let tasks = sim.workers.values().flat_map(|w| w.tasks.keys());
        tasks.filter(|(task, _)| task.starts_with(job)).count()
    };
    assert_eq!(placed_tasks(&sim, "j-2/"), 8);
    assert_eq!(
        placed_tasks(&sim, "j-1/"),
        4,
        "the job without a deadline gets the remaining resources"
    );
}

// Prevents the processors of machines with free accelerators from being used up: the accelerators would be paid for but
// unusable.
#[test]
fn tasks_without_accelerators_leave_processors_for_free_accelerators() {
    let mut sim = Simulation::new(0.0);
    for i in 0..3 {
        sim.add_worker(&format!("m-{i}"), "a", false);
    }
    sim.submit(critical_service("j-1"));
    sim.heartbeat_all();
    sim.submit(without_deadline("j-2", 100));
    sim.advance(1);
    sim.heartbeat_all();
    assert_eq!(
        sim.workers["m-0"].running(),
        2,
        "one task next to 6 processors in use and 6 kept free"
    );
    assert_eq!(
        sim.workers["m-1"].running(),
        4,
        "nothing is kept free where no accelerator is in use"
    );
    sim.submit(critical_service("j-3"));
    sim.advance(1);
    sim.heartbeat_all();
    assert_eq!(
        sim.workers["m-0"].running(),
        3,
        "so the next service is placed at once"
    );
}
