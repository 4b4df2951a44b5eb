//! Stand-ins and cases of the second review. `review-2 CASE RECORD FOLDER` runs one case against three controllers and
//! exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod deploy;
mod http;
mod json;
mod platform;
mod proxy;
mod record;
mod state;

use deploy::{
    Deployment, Job, masi_array, nan_quito, quillca_batch, sere_render, sigatoka_trails,
    tapa_chapters, vakaloloma_suva, vuli_live, wait,
};
use record::now;
use std::process::exit;
use std::thread::sleep;
use std::time::Duration;

/// How a case ended.
enum Outcome {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

use Outcome::{Broken, CouldNotRun, Held};

/// After this time a run is given up.
const RUN_LIMIT_S: f64 = 117.0;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = args.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD FOLDER");
        exit(2);
    };
    record::open(record);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    rec!("case {case}, trouble {trouble}");
    let outcome = match case.as_str() {
        "start-after-cancel" => start_after_cancel(folder, trouble),
        "hang-and-cloud" => hang_and_cloud(folder, trouble),
        "crash-loop" => crash_loop(folder, trouble),
        "headroom" => headroom(folder, trouble),
        "quarantine" => quarantine(folder, trouble),
        _ => CouldNotRun("no such case".into()),
    };
    let (status, word, why) = match outcome {
        Held(why) => (0, "held", why),
        Broken(why) => (1, "BROKEN", why),
        CouldNotRun(why) => (2, "could not run", why),
    };
    rec!("RESULT {word}: {why}");
    println!("{word}: {why}");
    exit(status);
}

fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// The controller that leads, once every controller is ready.
fn ready(d: &Deployment) -> Result<usize, Outcome> {
    if !d.wait_ready(20.0) {
        return Err(CouldNotRun("the controllers did not get ready".into()));
    }
    d.leader().ok_or(CouldNotRun("no leader".into()))
}

/// Submits a job and waits until its task runs.
fn run_job(d: &Deployment, node: usize, job: &Job) -> Result<(), Outcome> {
    if !d.submit(node, job) {
        return Err(CouldNotRun(format!("{} was not accepted", job.id)));
    }
    let runs = || d.platform.runs(&job.id) || d.platform.is_finished(&job.id);
    if !wait(25.0, runs) {
        return Err(CouldNotRun(format!("{} did not start", job.id)));
    }
    Ok(())
}

macro_rules! attempt {
    ($e:expr) => {
        match $e {
            Ok(value) => value,
            Err(outcome) => return outcome,
        }
    };
}

/// A leader is cut off from the state service and the other controllers while workers and users still reach it, and a
/// job is cancelled through another controller.
fn start_after_cancel(folder: &str, trouble: bool) -> Outcome {
    let d = Deployment::start(nan_quito(), &[("azuay", true, 1)], folder);
    let p = &d.platform;
    let leader = attempt!(ready(&d));
    p.set_first_node(leader);
    // One machine gets ready and fetches the image.
    attempt!(run_job(&d, 0, &quillca_batch("j-000001", 1.0)));
    if !wait(10.0, || p.is_finished("j-000001"))
        || !wait(10.0, || p.tasks_of("j-000001").is_empty())
    {
        return CouldNotRun("the first job did not end".into());
    }
    let Some(machine) = p.up(true).first().cloned() else {
        return CouldNotRun("no machine".into());
    };
    // Its worker has nothing to tell, so it reports about every two seconds.
    pause(3.0);
    let Some(leader) = d.leader() else {
        return CouldNotRun("no leader".into());
    };
    let other = (leader + 1) % 3;
    let (answered, _) = p.last_report(&machine);
    wait(4.0, || p.last_report(&machine).0 > answered);
    let (_, reported_at) = p.last_report(&machine);
    // The next report comes after 1.52 s: two seconds, less up to a quarter.
    p.report_at(&machine, reported_at + 1.52);
    pause(0.1);
    let job = quillca_batch("j-000002", 30.0);
    if !d.submit(other, &job) {
        return CouldNotRun("the job was not accepted".into());
    }
    let is_placed = || {
        let chunk = d.state.get("r/run/j-000002/00000");
        chunk.is_some_and(|c| !c.get("l").items().is_empty())
    };
    if !wait(0.4, is_placed) || now() > reported_at + 0.7 {
        return CouldNotRun("the task was not placed between two reports".into());
    }
    rec!(
        "the leader anchor-{leader} has placed j-000002/0 on {machine}, whose worker has not reported since"
    );
    if trouble {
        d.cut_from_state_and_peers(leader, true);
    }
    let mut confirmed_at = None;
    while confirmed_at.is_none() && now() < reported_at + 15.0 {
        let answer = d.user(other, "POST", "/work/j-000002/withdraw", None, 5.0);
        match answer {
            Some((200, body)) if body.get("status").text() == Some("aborted") => {
                confirmed_at = Some(now())
            }
            _ => pause(1.0),
        }
    }
    let Some(confirmed_at) = confirmed_at else {
        return CouldNotRun("the cancellation was not confirmed".into());
    };
    pause(12.0);
    let late = p
        .started()
        .into_iter()
        .find(|s| s.task == "j-000002/0" && s.report_sent_at > confirmed_at);
    match late {
        Some(s) => Broken(format!(
            "the user was told at {confirmed_at:.3} that j-000002 is aborted; {} sent a report at {:.3}, was told to \
             run {} in the answer, and started it at {:.3}",
            s.machine, s.report_sent_at, s.task, s.at
        )),
        None => Held(format!(
            "told at {confirmed_at:.3}; no start was ordered in answer to a later report"
        )),
    }
}

/// Machines hang just when a job on them is cancelled, and 12 s later the cloud's interface is down for 29.5 s.
fn hang_and_cloud(folder: &str, trouble: bool) -> Outcome {
    const CANCEL_S: f64 = 41.0;
    // TROUBLE=hang and TROUBLE=cloud bring one of the two alone.
    let only = std::env::var("TROUBLE").unwrap_or_default();
    let (hangs, cloud_out) = (trouble && only != "cloud", trouble && only != "hang");
    let d = Deployment::start(sigatoka_trails(), &[("sigatoka", false, 5)], folder);
    let p = &d.platform;
    attempt!(ready(&d));
    let running = |job: &str| {
        let tasks = p.tasks_of(job);
        tasks
            .iter()
            .filter(|(_, s)| matches!(s, platform::TaskState::Running { .. }))
            .count()
    };
    // Two tasks fit on a machine: three machines for the first job, two for the other.
    for (job, takes) in [("j-000001", 6), ("j-000002", 4)] {
        if !d.submit(0, &tapa_chapters(job, takes, 150.0)) || !wait(25.0, || running(job) == takes)
        {
            return CouldNotRun(format!("{job} did not start"));
        }
    }
    pause(3.0);
    let machines: std::collections::BTreeSet<String> =
        p.tasks_of("j-000001").into_iter().map(|(m, _)| m).collect();
    let machines: Vec<String> = machines.into_iter().collect();
    rec!("j-000001 runs on {machines:?}");
    if hangs {
        p.hang(&machines, now() + 60.0);
    }
    let mut confirmed_at = None;
    let until = now() + 20.0;
    while confirmed_at.is_none() && now() < until {
        let answer = d.user(1, "POST", "/work/j-000001/withdraw", None, 5.0);
        match answer {
            Some((200, body)) if body.get("status").text() == Some("aborted") => {
                confirmed_at = Some(now())
            }
            _ => pause(1.0),
        }
    }
    let Some(confirmed_at) = confirmed_at else {
        return Held("the user was not told yet that the job is cancelled".into());
    };
    if trouble {
        wait(60.0, || now() >= confirmed_at + 12.2);
        if cloud_out {
            p.set_cloud_out(true);
        }
        wait(60.0, || now() >= confirmed_at + CANCEL_S + 0.2);
    } else {
        pause(15.0);
    }
    let left = p.tasks_of("j-000001");
    let left: Vec<String> = left
        .into_iter()
        .filter(|(_, s)| !matches!(s, platform::TaskState::Exited { .. }))
        .map(|(m, s)| format!("{m}: {s:?}"))
        .collect();
    let after = now() - confirmed_at;
    if trouble {
        wait(10.0, || now() >= confirmed_at + 41.7);
        if cloud_out {
            p.set_cloud_out(false);
        }
        pause(3.0);
    }
    if left.is_empty() {
        return Held(format!(
            "no task of j-000001 was on a machine {after:.1} s after the confirmation"
        ));
    }
    Broken(format!(
        "the user was told at {confirmed_at:.3} that j-000001 is aborted; {after:.1} s later, with cancel_s = 41, its \
         tasks were on machines: {}",
        left.join(", ")
    ))
}

/// Watches a job after the troubles: it must not wait for 90 s while a machine that fits has room.
fn watch_waiting(d: &Deployment, job: &str) -> Outcome {
    let p = &d.platform;
    let mut since: Option<(f64, String)> = None;
    let mut asked_at = 0.0;
    loop {
        if p.is_placed(job) || p.is_finished(job) {
            let waited = since.map_or(0.0, |(at, _)| now() - at);
            return Held(format!(
                "{job} was started; it had waited {waited:.1} s beside a machine with room"
            ));
        }
        match (p.machine_with_room(job), &since) {
            (Some(m), Some((_, before))) if m == *before => {}
            (Some(m), _) => {
                rec!("{job} waits while {m} is well, fits and has room");
                since = Some((now(), m));
            }
            (None, Some(_)) => {
                rec!("no machine has room for {job} now");
                since = None;
            }
            (None, None) => {}
        }
        if let Some((at, m)) = &since
            && now() - at >= 90.0
        {
            let status = d.status(0, job).unwrap_or_default();
            return Broken(format!(
                "{job} ({status}) waited for {:.1} s while {m} was well, fit and had room, with all troubles over",
                now() - at
            ));
        }
        if now() > RUN_LIMIT_S {
            return CouldNotRun("out of time".into());
        }
        if now() - asked_at > 15.0 {
            asked_at = now();
            d.status(0, job);
        }
        pause(0.1);
    }
}

/// The only machine fails what it starts for six seconds, so that two jobs fail there. A job that is submitted
/// afterwards must run there.
fn quarantine(folder: &str, trouble: bool) -> Outcome {
    let d = Deployment::start(vakaloloma_suva(), &[("lomaiviti", false, 1)], folder);
    let p = &d.platform;
    attempt!(ready(&d));
    attempt!(run_job(&d, 0, &vuli_live("j-000001")));
    let sick_until = now() + 6.0;
    if trouble {
        p.make_sick(sick_until);
    }
    for id in ["j-000002", "j-000003"] {
        if !d.submit(0, &sere_render(id, 2.0)) {
            return CouldNotRun("a job was not accepted".into());
        }
        // The second one comes when the first one has left.
        wait(8.0, || !p.tasks_of(id).is_empty());
        wait(8.0, || !p.is_placed(id));
    }
    wait(10.0, || now() > sick_until + 0.1);
    rec!("the machine is well again");
    if !d.submit(0, &sere_render("j-000004", 2.0)) {
        return CouldNotRun("the last job was not accepted".into());
    }
    watch_waiting(&d, "j-000004")
}

/// Three machines fail what they start until a job has failed on each of them. Afterwards it must run on one of them,
/// and the cloud has more machines to give.
fn crash_loop(folder: &str, trouble: bool) -> Outcome {
    let d = Deployment::start(
        sigatoka_trails(),
        &[("sigatoka", false, 20), ("navosa", false, 20)],
        folder,
    );
    let p = &d.platform;
    attempt!(ready(&d));
    // One long task on each of three machines, which leaves room for six processors.
    let mut long = tapa_chapters("j-000001", 3, 300.0);
    long.spec.cores = 9.0;
    if !d.submit(0, &long)
        || !wait(25.0, || {
            p.up(false).iter().filter(|m| p.has_task(m)).count() == 3
        })
    {
        return CouldNotRun("the long tasks did not start on three machines".into());
    }
    pause(2.5);
    let machines = p.up(false).len();
    if trouble {
        p.make_sick(now() + 60.0);
    }
    let mut job = tapa_chapters("j-000002", 1, 5.0);
    job.spec.cores = 6.0;
    job.due_s = Some(90.0);
    if !d.submit(0, &job) {
        return CouldNotRun("the job was not accepted".into());
    }
    if trouble {
        if !wait(20.0, || p.failed_on("j-000002").len() == 3) {
            return CouldNotRun("the job did not fail on three machines".into());
        }
        p.make_well();
        // Another job shows that the machines take and complete work.
        let mut other = tapa_chapters("j-000003", 1, 2.0);
        other.spec.cores = 6.0;
        other.due_s = Some(90.0);
        d.submit(0, &other);
    }
    let outcome = watch_waiting(&d, "j-000002");
    rec!("j-000003 was done: {}", p.is_finished("j-000003"));
    rec!(
        "machines up before the trouble: {machines}; up now: {}",
        p.up(false).len()
    );
    outcome
}

/// The machine of a job without accelerators stops. The job must run on the other machine, which has room.
fn headroom(folder: &str, trouble: bool) -> Outcome {
    let room = [("koro", false, 1), ("lomaiviti", false, 1)];
    let d = Deployment::start(vakaloloma_suva(), &room, folder);
    let p = &d.platform;
    attempt!(ready(&d));
    attempt!(run_job(&d, 0, &vuli_live("j-000001")));
    attempt!(run_job(&d, 0, &masi_array("j-000002", 300.0)));
    let Some((machine, _)) = p.tasks_of("j-000002").first().cloned() else {
        return CouldNotRun("j-000002 is nowhere".into());
    };
    if p.tasks_of("j-000001").iter().any(|(m, _)| *m == machine) {
        return CouldNotRun("both jobs are on one machine".into());
    }
    if trouble {
        p.stop(&machine);
    } else {
        pause(15.0);
    }
    watch_waiting(&d, "j-000002")
}
