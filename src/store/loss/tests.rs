use super::{Loss, OwnCommits};
use crate::kv::Change;
use crate::revision::Revision;
use crate::scheduler::JobId;
use crate::store::{StoreKey, View};
use crate::units::Micros;
use serde_json::{Value, json};

fn id(text: &str) -> JobId {
    JobId::parse(text).expect("a job id")
}

fn job_end() -> Value {
    json!({"how": "done", "at": 9, "done": 3})
}

/// Returns a view with the ends of `jobs` after `losses` losses; `restored` tells whether the last one is rebuilt.
fn view(jobs: &[&str], losses: u64, restored: bool) -> View {
    let mut view = View::default();
    for job in jobs {
        let key = StoreKey::JobEnd(id(job)).to_string();
        view.put(&key, job_end(), Revision(1)).expect("a job end");
    }
    if losses > 0 {
        let loss =
            json!({"number": losses, "base": 0, "at": 1, "restored": restored, "confirmed": false});
        view.put("r/loss", loss, Revision(2))
            .expect("a loss record");
    }
    view.loaded = true;
    view
}

fn loss(snapshot: Option<View>) -> Loss {
    Loss {
        snapshot,
        found_at: Micros::ZERO,
    }
}

fn contains_job(view: &Option<View>, job: &str) -> bool {
    view.as_ref()
        .is_some_and(|view| view.contains_job(&id(job)))
}

// A job that ended right before a loss may be missing from every view. The controller that committed the end adds it.
#[test]
fn own_commits_that_the_view_lacks_are_added_to_it() {
    let commits = OwnCommits::default();
    let commit = |job: &str| {
        [Change::put(
            StoreKey::JobEnd(id(job)).to_string(),
            job_end(),
        )]
    };
    commits.record(Revision(5), &commit("j-5"), Revision(0));
    commits.record(Revision(6), &commit("j-6"), Revision(5));
    commits.record(Revision(7), &commit("j-7"), Revision(5));
    let mut lost = view(&[], 0, false);
    lost.revision = Revision(6);
    commits.apply_to(&mut lost);
    assert!(!lost.contains_job(&id("j-5")) && !lost.contains_job(&id("j-6")));
    assert!(lost.contains_job(&id("j-7")));
    let mut next = view(&[], 0, false);
    commits.apply_to(&mut next);
    assert!(
        !next.contains_job(&id("j-7")),
        "a commit is applied only once"
    );
}

#[test]
fn second_loss_before_a_rebuild_is_merged_into_the_snapshot() {
    for later in [
        view(&["j-2"], 0, false),
        view(&["j-2"], 1, false),
        View::default(),
    ] {
        let has_second_job = later.contains_job(&id("j-2"));
        let merged = loss(Some(view(&["j-1"], 0, false))).merge_into(Some(later));
        assert!(contains_job(&merged, "j-1"));
        assert_eq!(contains_job(&merged, "j-2"), has_second_job);
    }
    let merged = loss(Some(view(&["j-1"], 0, false))).merge_into(None);
    assert!(contains_job(&merged, "j-1"));
}

#[test]
fn snapshot_rebuilt_before_the_next_loss_is_discarded() {
    let merged = loss(Some(view(&["j-1"], 0, false))).merge_into(Some(view(&["j-2"], 1, true)));
    assert!(!contains_job(&merged, "j-1") && contains_job(&merged, "j-2"));
    let merged = loss(None).merge_into(Some(view(&["j-2"], 0, false)));
    assert!(contains_job(&merged, "j-2"));
}
