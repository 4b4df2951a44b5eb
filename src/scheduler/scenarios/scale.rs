//! How the work grows with the fleet: each scenario runs with few and with eight times as many machines and jobs, and counts
//! the steps of loops over machines, jobs and tasks.

use super::{Simulation, critical_service, spec};
use crate::scheduler::{ExitCause, JobId, JobSpec, MachineId, Pool};
use crate::units::Micros;

const SMALL_FLEET: usize = 500;
const LARGE_FLEET: usize = 4_000;
/// Work that grows with the fleet grows by eight, and by a little more for searches in an index; work that grows with the
/// square of it would grow by sixty-four.
const LINEAR: f64 = 8.0 * 1.5;

/// Steps that something takes.
fn steps(sim: &mut Simulation, work: impl FnOnce(&mut Simulation)) -> f64 {
    let before = sim.scheduler.steps();
    work(sim);
    (sim.scheduler.steps() - before).max(1) as f64
}

/// Asserts that eight times as many machines take no more than that many times the work.
fn assert_growth(max_growth: f64, measure: impl Fn(usize) -> f64) {
    let (few, many) = (measure(SMALL_FLEET), measure(LARGE_FLEET));
    let growth = many / few;
    assert!(
        growth <= max_growth,
        "{few} and {many} steps: {growth:.1} times"
    );
}

/// A fleet of empty machines that heartbeat.
fn empty_fleet(machines: usize) -> Simulation {
    let mut sim = Simulation::new(0.0);
    for i in 0..machines {
        sim.add_worker(&format!("m-{i:06}"), ["a", "b"][i % 2], i % 3 > 0);
    }
    sim.advance(1);
    sim
}

/// A fleet on which nothing more has room, and half as many jobs that wait.
fn full_fleet(machines: usize) -> Simulation {
    let mut sim = empty_fleet(machines);
    sim.submit(JobSpec {
        expected_run_s: 5_000.0,
        ..spec("j-0", 2 * machines as u32)
    });
    while sim
        .scheduler
        .machines
        .values()
        .any(|m| m.reserved.len() < 2)
    {
        sim.advance(1);
        sim.run_cycle_and_commit();
    }
    sim.heartbeat_in_one_cycle(0);
    sim.heartbeat_in_one_cycle(0);
    assert_eq!(sim.running(), 2 * machines);
    backlog(&mut sim, machines / 2);
    sim.advance(1);
    sim.run_cycle_and_commit();
    sim
}

fn backlog(sim: &mut Simulation, jobs: usize) {
    for i in 0..jobs {
        let image = format!("image-{}", i % 8);
        sim.submit(JobSpec {
            image,
            ..spec(&format!("j-w{i:06}"), 3)
        });
    }
}

#[test]
fn a_cycle_that_fills_an_empty_fleet_takes_work_in_proportion() {
    assert_growth(LINEAR, |machines| {
        let mut sim = empty_fleet(machines);
        sim.scheduler.config.max_offers_per_cycle = 10_000_000;
        backlog(&mut sim, machines / 2);
        let steps = steps(&mut sim, |sim| sim.scheduler.run_cycle(sim.now));
        let placed: usize = sim
            .scheduler
            .machines
            .values()
            .map(|m| m.reserved.len())
            .sum();
        assert_eq!(placed, machines / 2 * 3, "every task has its place");
        steps
    });
}

#[test]
fn a_cycle_of_a_full_fleet_with_a_backlog_takes_work_in_proportion() {
    assert_growth(LINEAR, |machines| {
        let mut sim = full_fleet(machines);
        sim.advance(30);
        steps(&mut sim, |sim| sim.scheduler.run_cycle(sim.now))
    });
}

#[test]
fn a_cycle_in_which_nothing_is_due_takes_no_work() {
    let mut sim = full_fleet(LARGE_FLEET);
    assert!(steps(&mut sim, |sim| sim.scheduler.run_cycle(sim.now)) < 10.0);
}

#[test]
fn a_heartbeat_takes_the_same_work_in_a_fleet_of_any_size() {
    assert_growth(1.5, |machines| {
        let mut sim = full_fleet(machines);
        let heartbeat = sim
            .workers
            .get_mut("m-000007")
            .expect("a worker")
            .next_heartbeat("m-000007");
        steps(&mut sim, |sim| {
            sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
            sim.scheduler
                .commands_for(&heartbeat.machine, heartbeat.position(), sim.now);
            sim.scheduler.has_unwritten_placements(&heartbeat.machine);
        })
    });
}

// Guards against the first scheduling cycle of a new leader, and the plans after it, taking as long as the square of the fleet.
#[test]
fn a_plan_of_the_fleet_takes_work_in_proportion() {
    for full in [true, false] {
        assert_growth(LINEAR, |machines| {
            let mut sim = if full {
                full_fleet(machines)
            } else {
                let mut sim = Simulation::new(0.0);
                let pool = Pool {
                    machine_type: "rig".into(),
                    zone: "a".into(),
                    spot: true,
                };
                let names = (0..machines).map(|i| MachineId(format!("m-{i:06}")));
                let names: Vec<MachineId> = names.collect();
                sim.scheduler
                    .inherit_provisioned(&pool, &names, Micros::ZERO, sim.now);
                sim.advance(10);
                backlog(&mut sim, machines / 2);
                sim
            };
            sim.scheduler.config.max_scale_out_per_cycle = 40;
            steps(&mut sim, |sim| {
                sim.scheduler.plan_fleet(sim.now, 1_000_000_000);
            })
        });
    }
}

// Guards against a plan that looks at no more than ten thousand tasks: of a job of small tasks four hundred machines were
// provisioned, and no more before these were up.
#[test]
fn a_fleet_for_tens_of_thousands_of_small_tasks_is_provisioned_before_the_first_boots() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.max_scale_out_per_cycle = 500;
    sim.submit(JobSpec {
        cores: 0.5,
        accelerators: 0.0,
        ram_gb: 1.0,
        ..spec("j-1", 100_000)
    });
    sim.advance(60);
    let mut rented = 0;
    for _ in 0..20 {
        let plan = sim.scheduler.plan_fleet(sim.now, 1_000_000_000);
        for request in plan.provision {
            let names = (0..request.count).map(|i| MachineId(format!("m-{:06}", rented + i)));
            let names: Vec<MachineId> = names.collect();
            rented += names.len();
            sim.scheduler.on_scale_out_started(&request);
            sim.scheduler
                .on_scale_out_completed(&request, &names, sim.now);
        }
        sim.now = sim.now + Micros::millis(500);
    }
    // Thirty-two on a machine, which has sixteen processors.
    assert!((3_125..3_300).contains(&rented), "{rented} machines");
}

// Guards against a bound of 512 tasks a job and round that keeps short tasks from ever filling a large fleet.
#[test]
fn one_job_may_place_a_task_for_each_machine_in_a_cycle() {
    let mut sim = empty_fleet(LARGE_FLEET);
    sim.submit(spec("j-1", 3 * LARGE_FLEET as u32));
    sim.run_cycle_and_commit();
    let placed = sim.scheduler.jobs[&JobId("j-1".into())].live as usize;
    assert!(
        (LARGE_FLEET..=2 * LARGE_FLEET).contains(&placed),
        "{placed} tasks"
    );
}

// Guards against a backlog of thousands of jobs that are all offered every four hundred milliseconds.
#[test]
fn a_backlog_is_offered_less_often_the_longer_it_is_and_all_of_it() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.max_offers_per_cycle = 1_600;
    sim.add_worker("m-1", "a", true);
    backlog(&mut sim, 1_000);
    sim.submit(critical_service("j-live"));
    sim.run_cycle_and_commit();
    let tries = |sim: &Simulation, id: &str| {
        sim.scheduler.jobs[&JobId(id.into())]
            .next_offer_at
            .since(sim.now)
    };
    let later = tries(&sim, "j-w000999");
    // A hundred jobs in an interval of 0.4 s, and a job more than a thousand.
    assert!((4_400..=4_500).contains(&later.as_millis()), "{later}");
    assert!(
        tries(&sim, "j-live").as_millis() <= 500,
        "what is critical does not wait longer"
    );
}

// Guards against chunks whose finishes wait being looked at again for each batch.
#[test]
fn deferred_finishes_are_not_examined_for_each_batch() {
    let mut sim = empty_fleet(SMALL_FLEET);
    sim.submit(spec("j-1", 2 * SMALL_FLEET as u32));
    sim.run_cycle_and_commit();
    sim.heartbeat_in_one_cycle(0);
    let mut heartbeats = Vec::new();
    for (name, worker) in sim.workers.iter_mut().step_by(2) {
        worker.exit_all(ExitCause::Done);
        heartbeats.push(worker.next_heartbeat(name));
    }
    for heartbeat in heartbeats {
        sim.scheduler.on_heartbeat(&heartbeat, "n-1", sim.now);
    }
    assert_eq!(
        sim.scheduler.next_batch(20, 36_000, true),
        vec![],
        "they wait for others"
    );
    let again = steps(&mut sim, |sim| {
        for _ in 0..10 {
            assert_eq!(sim.scheduler.next_batch(20, 36_000, true), vec![]);
        }
    });
    assert!(again < 10.0, "{again} steps");
    // Ten seconds later they are written all the same.
    sim.advance(11);
    sim.scheduler.run_cycle(sim.now);
    assert_ne!(sim.scheduler.next_batch(20, 36_000, true), vec![]);
}
