//! Which observations are evidence of lost state, and which records are written to rebuild it.

use ravenhead_recovery::{
    Candidate, Evidence, Finding, KeyVersion, Restore, RevisionTracker, VersionedValue, audit,
    rank, records_to_restore, token_base,
};
use std::collections::BTreeMap;

#[test]
fn only_a_response_older_than_a_revision_known_at_its_request_is_evidence() {
    let mut tracker = RevisionTracker::default();
    let first = tracker.begin_request();
    assert_eq!(tracker.check_response(first, 40), None);
    // Concurrent requests may be answered in any order.
    let (second, third) = (tracker.begin_request(), tracker.begin_request());
    assert_eq!(tracker.check_response(second, 45), None);
    assert_eq!(tracker.check_response(third, 41), None);
    let fourth = tracker.begin_request();
    let evidence = Evidence::RevisionWentBack {
        known: 45,
        found: 3,
    };
    assert_eq!(tracker.check_response(fourth, 3), Some(evidence));
    // After the loss, revisions restart and responses to requests sent before it are ignored.
    let before = tracker.begin_request();
    tracker.reset();
    assert_eq!(tracker.check_response(before, 44), None);
    let after = tracker.begin_request();
    assert_eq!(tracker.check_response(after, 4), None);
}

fn keys<'a>(keys: &'a [(&'a str, u64)]) -> impl Iterator<Item = KeyVersion<'a>> {
    keys.iter().map(|(key, version)| KeyVersion {
        key,
        version: *version,
    })
}

#[test]
fn audit_finds_missing_older_and_unseen_keys_only() {
    let view = [("a", 3), ("b", 9), ("c", 20), ("e", 5)];
    // Keys that changed after the page was read may differ.
    let found = audit(keys(&view), keys(&[("a", 3), ("b", 9), ("e", 5)]), 15);
    assert_eq!(found, Finding::Same);
    let found = audit(keys(&view), keys(&[("a", 3), ("e", 5)]), 15);
    let gone = Evidence::RecordGone {
        key: "b".into(),
        version: 9,
    };
    assert_eq!(found, Finding::Lost(gone));
    let found = audit(keys(&view), keys(&[("a", 2), ("b", 9), ("e", 5)]), 15);
    let older = Evidence::RecordOlder {
        key: "a".into(),
        version: 3,
        found: 2,
    };
    assert_eq!(found, Finding::Lost(older));
    let found = audit(keys(&view), keys(&[("a", 4), ("b", 9), ("e", 5)]), 15);
    let newer = Evidence::RecordUnseen {
        key: "a".into(),
        version: 4,
    };
    assert_eq!(found, Finding::Lost(newer));
    for extra in ["0", "d", "f"] {
        let mut listed = vec![("a", 3), ("b", 9), ("e", 5), (extra, 7)];
        listed.sort_unstable();
        let found = audit(keys(&view), keys(&listed), 15);
        let unseen = Finding::Unseen {
            key: extra.into(),
            version: 7,
        };
        assert_eq!(
            found, unseen,
            "the key may have been removed since the listing"
        );
    }
}

#[test]
fn newest_view_ranks_first_and_ties_are_broken_by_node_name() {
    let candidate = |losses, revision, node: &str| Candidate {
        losses,
        revision,
        node: node.into(),
    };
    let all = [
        candidate(0, 40, "n-0"),
        candidate(0, 42, "n-1"),
        candidate(1, 7, "n-2"),
        candidate(0, 42, "n-3"),
    ];
    let ranks: Vec<Option<usize>> = all.iter().map(|c| rank(c, &all)).collect();
    assert_eq!(ranks, [Some(3), Some(2), Some(0), Some(1)]);
    assert_eq!(rank(&candidate(0, 99, "n-9"), &all), None);
}

fn stored(value: &'static str, version: u64) -> VersionedValue<&'static str> {
    VersionedValue { value, version }
}

// Prevents a false detection of a loss, or an old snapshot, from overwriting newer records.
#[test]
fn missing_and_older_records_are_restored_and_newer_ones_kept() {
    let snapshot = [
        ("gone", stored("a", 30)),
        ("older", stored("b", 31)),
        ("same", stored("c", 32)),
        ("newer", stored("d", 33)),
        ("restored", stored("e", 34)),
    ];
    let snapshot = snapshot.map(|(key, value)| (key.to_owned(), value));
    let present = BTreeMap::from([
        ("older".to_owned(), stored("x", 12)),
        ("same".to_owned(), stored("c", 32)),
        ("newer".to_owned(), stored("y", 40)),
        ("restored".to_owned(), stored("e", 2)),
        ("other".to_owned(), stored("z", 3)),
    ]);
    let expected = [
        Restore {
            key: "gone".into(),
            value: "a",
            expected_version: 0,
        },
        Restore {
            key: "older".into(),
            value: "b",
            expected_version: 12,
        },
    ];
    assert_eq!(records_to_restore(snapshot, &present), expected);
}

#[test]
fn tokens_after_a_loss_exceed_all_earlier_tokens() {
    let now = 1_800_000_000_000_000;
    assert_eq!(token_base(now, 5_000), now);
    assert_eq!(
        token_base(now, now + 7),
        now + 8,
        "a clock that was set back"
    );
}
