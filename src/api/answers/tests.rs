use super::{
    AnswerStats, MAX_WATCHED_JOBS, QUESTION_INTERVAL_LIMIT, UNANSWERED_LIMIT, Unavailable,
};
use crate::scheduler::JobId;
use crate::store::BarrierFailure;
use crate::units::Micros;

const REASON: Unavailable = Unavailable::Barrier(BarrierFailure::ViewBehind);

fn job(name: &str) -> JobId {
    JobId(name.into())
}

/// Asks about a job in vain every 5 s from `from` to `until`, and returns whether the job is reported.
fn ask_in_vain(stats: &AnswerStats, name: &str, from: Micros, until: Micros) -> bool {
    let mut now = from;
    while now <= until {
        stats.record_unavailable(&job(name), REASON, now);
        now = now + Micros::secs(5);
    }
    stats.unanswered.borrow()[&job(name)].is_logged
}

#[test]
fn job_is_reported_once_no_question_is_answered_for_the_limit() {
    let stats = AnswerStats::default();
    let almost = UNANSWERED_LIMIT.since(Micros::secs(1));
    assert!(!ask_in_vain(&stats, "j-0", Micros::ZERO, almost));
    assert!(ask_in_vain(
        &stats,
        "j-0",
        UNANSWERED_LIMIT,
        UNANSWERED_LIMIT
    ));
}

#[test]
fn answer_ends_the_wait_of_its_job_alone() {
    let stats = AnswerStats::default();
    let almost = UNANSWERED_LIMIT.since(Micros::secs(1));
    ask_in_vain(&stats, "j-0", Micros::ZERO, almost);
    ask_in_vain(&stats, "j-1", Micros::ZERO, almost);
    stats.record_answer(&job("j-0"));
    assert!(!ask_in_vain(
        &stats,
        "j-0",
        UNANSWERED_LIMIT,
        UNANSWERED_LIMIT
    ));
    assert!(ask_in_vain(
        &stats,
        "j-1",
        UNANSWERED_LIMIT,
        UNANSWERED_LIMIT
    ));
    assert_eq!(stats.answered.take(), 1);
}

#[test]
fn pause_of_the_user_is_no_wait() {
    let stats = AnswerStats::default();
    ask_in_vain(&stats, "j-0", Micros::ZERO, Micros::ZERO);
    let later = UNANSWERED_LIMIT + QUESTION_INTERVAL_LIMIT;
    assert!(!ask_in_vain(&stats, "j-0", later, later));
}

#[test]
fn number_of_watched_jobs_is_bounded() {
    let stats = AnswerStats::default();
    for n in 0..=MAX_WATCHED_JOBS {
        stats.record_unavailable(&job(&format!("j-{n}")), REASON, Micros::ZERO);
    }
    assert_eq!(stats.unanswered.borrow().len(), MAX_WATCHED_JOBS);
    stats.record_unavailable(&job("j-new"), REASON, QUESTION_INTERVAL_LIMIT);
    assert_eq!(stats.unanswered.borrow().len(), 1);
}

#[test]
fn reasons_are_counted_by_their_names() {
    let stats = AnswerStats::default();
    stats.record_unavailable(&job("j-0"), REASON, Micros::ZERO);
    stats.record_unavailable(&job("j-0"), Unavailable::CancellationUnproven, Micros::ZERO);
    let counts = stats.take_unavailable().to_string();
    assert_eq!(counts, "view_behind:1,cancellation_unproven:1");
}
