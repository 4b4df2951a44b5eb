//! The check of answers finds each kind of question that is left unanswered, and only these.

use ravenhead_stand_ins::answers::AnswerWatch;

fn watch(questions: &[(&str, usize)]) -> AnswerWatch {
    let watch = AnswerWatch::default();
    for (job, node) in questions {
        watch.expect(((*job).to_owned(), *node));
    }
    watch
}

#[test]
fn answered_questions_are_no_violation() {
    let watch = watch(&[("j-0", 0), ("j-0", 1)]);
    watch.record_failure(&("j-0".to_owned(), 0), "503".to_owned());
    watch.record_answer(&("j-0".to_owned(), 0));
    watch.record_answer(&("j-0".to_owned(), 1));
    assert_eq!(watch.violations(), Vec::<String>::new());
}

#[test]
fn job_without_an_answer_is_a_violation_though_others_are_answered() {
    let watch = watch(&[("j-0", 0), ("j-1", 0)]);
    watch.record_answer(&("j-0".to_owned(), 0));
    watch.record_failure(&("j-1".to_owned(), 0), "503 late".to_owned());
    watch.record_unready(0);
    assert_eq!(watch.violations(), ["no answer about j-1 at n-0: 503 late"]);
}

#[test]
fn controller_that_was_ready_has_to_answer_as_others_do() {
    let watch = watch(&[("j-0", 0), ("j-0", 1), ("j-0", 2)]);
    watch.record_answer(&("j-0".to_owned(), 0));
    watch.record_unready(2);
    assert_eq!(
        watch.violations(),
        ["no answer about j-0 at n-1: not asked"]
    );
}
