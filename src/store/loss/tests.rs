use super::{Loss, OwnCommits};
use crate::kv::Change;
use crate::revision::Revision;
use crate::scheduler::JobId;
use crate::store::{StoreKey, View};
use crate::units::Micros;
use serde_json::{Value, json};

fn id(text: &str) -> JobId {
    JobId::parse(text).expect("an id")
}

fn end() -> Value {
    json!({"how": "done", "at": 9, "done": 3})
}

/// A view with the ends of some jobs, after so many losses, of which the last is rebuilt or not.
fn view(jobs: &[&str], losses: u64, restored: bool) -> View {
    let mut view = View::default();
    for job in jobs {
        let key = StoreKey::JobEnd(id(job)).to_string();
        view.put(&key, end(), Revision(1)).expect("an end");
    }
    if losses > 0 {
        let loss =
            json!({"number": losses, "base": 0, "at": 1, "restored": restored, "confirmed": false});
        view.put("r/loss", loss, Revision(2)).expect("a loss");
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

fn knows(view: &Option<View>, job: &str) -> bool {
    view.as_ref().is_some_and(|view| view.knows(&id(job)))
}

// Guards against a job that ended right before a loss, so that no view shows it.
#[test]
fn own_commits_that_the_view_lacks_are_added_to_it() {
    let commits = OwnCommits::default();
    let commit = |job: &str| [Change::put(StoreKey::JobEnd(id(job)).to_string(), end())];
    commits.record(Revision(5), &commit("j-5"), Revision(0));
    commits.record(Revision(6), &commit("j-6"), Revision(5));
    commits.record(Revision(7), &commit("j-7"), Revision(5));
    let mut lost = view(&[], 0, false);
    lost.revision = Revision(6);
    commits.apply_to(&mut lost);
    assert!(!lost.knows(&id("j-5")) && !lost.knows(&id("j-6")));
    assert!(lost.knows(&id("j-7")));
    let mut next = view(&[], 0, false);
    commits.apply_to(&mut next);
    assert!(!next.knows(&id("j-7")), "a commit is added once");
}

#[test]
fn what_is_lost_again_before_it_was_rebuilt_adds_to_the_snapshot() {
    for later in [
        view(&["j-2"], 0, false),
        view(&["j-2"], 1, false),
        View::default(),
    ] {
        let knew_more = later.knows(&id("j-2"));
        let merged = loss(Some(view(&["j-1"], 0, false))).merge_into(Some(later));
        assert!(knows(&merged, "j-1"));
        assert_eq!(knows(&merged, "j-2"), knew_more);
    }
    let merged = loss(Some(view(&["j-1"], 0, false))).merge_into(None);
    assert!(knows(&merged, "j-1"));
}

#[test]
fn a_snapshot_that_was_rebuilt_before_the_next_loss_is_dropped() {
    let merged = loss(Some(view(&["j-1"], 0, false))).merge_into(Some(view(&["j-2"], 1, true)));
    assert!(!knows(&merged, "j-1") && knows(&merged, "j-2"));
    let merged = loss(None).merge_into(Some(view(&["j-2"], 0, false)));
    assert!(knows(&merged, "j-2"));
}
