use super::keys::{InvalidKey, KeyKind, StoreKey};
use super::records::{InvalidRecord, ProvisioningRecord};
use super::view::View;
use crate::revision::Revision;
use crate::scheduler::{ChunkRecord, JobEnd, JobId, JobRecord, MachineId, MachineType};
use serde_json::{Value, json};

fn id(text: &str) -> JobId {
    JobId::parse(text).expect("a job id")
}

fn job(text: &str) -> Value {
    json!({"at": 1, "spec": {"nameId": text, "lane": "x", "crew": "t", "shape": "sweep", "rank": "low",
        "takes": 3, "cores": 1.0, "cards": 0.0, "ramGb": 1.0, "reel": "i", "pullGb": 1.0, "rigs": null,
        "yard": null, "together": false, "spread": false, "loaners": false, "expectS": 1.0, "markS": 0.0,
        "stowS": 0.0, "dueS": null}})
}

#[test]
fn job_is_pending_then_running_then_done_permanently() {
    let mut view = View::default();
    assert_eq!(view.status(&id("j-1")), None);
    view.put("r/job/j-1", job("j-1"), Revision(5))
        .expect("a job");
    assert_eq!(view.status(&id("j-1")).map(|s| s.status), Some("pending"));
    let chunk = json!({"f": "1", "a": 2, "l": [[1, "m-1", 2]]});
    view.put("r/run/j-1/00000", chunk, Revision(6))
        .expect("a chunk");
    let status = view.status(&id("j-1")).expect("status of an active job");
    assert_eq!(
        (status.status, status.done, status.running),
        ("running", 1, 1)
    );
    view.put(
        "r/end/j-1",
        json!({"how": "done", "at": 9, "done": 3}),
        Revision(7),
    )
    .expect("a job end");
    view.delete("r/run/j-1/00000", Revision(8));
    view.delete("r/job/j-1", Revision(8));
    let status = view
        .status(&id("j-1"))
        .expect("status after the job's record is removed");
    assert_eq!((status.status, status.done), ("done", 3));
    assert!(view.chunks.is_empty() && view.jobs.is_empty());
}

// A watch starts at the revision of the listing's first page, so it can report removals older than writes that the
// listing already contained. These must not undo the writes.
#[test]
fn stale_removal_does_not_undo_newer_write() {
    let mut view = View::default();
    let leader = json!({"node": "n-1", "incarnation": 4, "lease": 3});
    view.put("r/leader", leader, Revision(12))
        .expect("a leader");
    view.delete("r/leader", Revision(9));
    assert_eq!(view.leader.as_ref().map(|l| l.version), Some(Revision(12)));
    view.delete("r/leader", Revision(13));
    assert!(view.leader.is_none());
}

#[test]
fn invalid_keys_and_values_leave_the_view_unchanged() {
    let mut view = View::default();
    assert!(view.put("q/other", json!(1), Revision(1)).is_err());
    assert!(view.put("r/job/../x", json!(1), Revision(1)).is_err());
    assert!(
        view.put("r/job/j-1", json!({"spec": 3}), Revision(1))
            .is_err()
    );
    assert!(
        view.put("r/run/j-1/00000", json!({"f": "zz", "a": 1}), Revision(1))
            .is_err()
    );
    view.delete("r/run/j-1", Revision(3));
    assert!(!view.contains_job(&id("j-1")));
}

// During a rolling upgrade, each release must read the records that the other wrote. Records must keep the field names
// that earlier releases stored, whatever the fields are called in the code.
#[test]
fn records_keep_field_names_of_earlier_releases() {
    let provisioning = json!({"rental": {"charter": "r-7-0", "rig": "g8", "zone": "a", "spot": true, "count": 2},
        "machines": ["m-1"], "at": 5});
    let read: ProvisioningRecord =
        serde_json::from_value(provisioning.clone()).expect("a provisioning record");
    assert_eq!(read.request.request_name, "r-7-0");
    assert_eq!(json!(read), provisioning);
    let types = json!([{"label": "g8", "cores": 16.0, "cards": 2.0, "ramGb": 128.0, "localGb": 100.0, "fetchGbPerS": 0.5,
        "rate": 6.0, "lowPrice": 2.0, "bootS": 40.0, "yards": ["a"]}]);
    let read: Vec<MachineType> = serde_json::from_value(types.clone()).expect("machine types");
    assert_eq!(json!(read), types);
    let submitted = job("j-1");
    let read: JobRecord = serde_json::from_value(submitted.clone()).expect("a job");
    assert_eq!(json!(read), submitted);
    let chunk = json!({"f": "1", "a": 2, "l": [[1, "m-1", 2]]});
    let read: ChunkRecord = serde_json::from_value(chunk.clone()).expect("a chunk");
    assert_eq!(json!(read), chunk);
    let end = json!({"how": "aborted", "at": 9, "done": 3});
    let read: JobEnd = serde_json::from_value(end.clone()).expect("a job end");
    assert_eq!(json!(read), end);
}

// During a rolling upgrade, each release must find the keys that the other wrote.
#[test]
fn keys_keep_the_format_of_earlier_releases() {
    let chunk = StoreKey::Chunk {
        job: id("j-1"),
        chunk: 12,
    };
    let contacts = StoreKey::Contacts {
        node: "n-1".into(),
        part: 2,
    };
    let archive = StoreKey::EndArchive { loss: 3, part: 4 };
    let keys = [
        (StoreKey::Job(id("j-1")), "r/job/j-1"),
        (StoreKey::JobEnd(id("j-1")), "r/end/j-1"),
        (chunk, "r/run/j-1/00012"),
        (contacts, "r/heard/n-1/2"),
        (
            StoreKey::Contacts {
                node: "n-1".into(),
                part: 0,
            },
            "r/heard/n-1/0",
        ),
        (StoreKey::Provisioning("r-7-0".into()), "r/rental/r-7-0"),
        (StoreKey::Images(MachineId("m-1".into())), "r/images/m-1"),
        (StoreKey::RebuildCandidate("n-1".into()), "r/rebuild/n-1"),
        (archive, "r/ends/3-00004"),
        (StoreKey::Leader, "r/leader"),
        (StoreKey::Term, "r/term"),
        (StoreKey::MachineTypes, "r/flavors"),
        (StoreKey::Loss, "r/loss"),
        (StoreKey::Absent, "r/nothing"),
    ];
    for (key, text) in keys {
        assert_eq!(key.to_string(), text);
        assert_eq!(StoreKey::parse(text), Ok(key));
    }
    let kinds = [KeyKind::Job, KeyKind::JobEnd, KeyKind::Chunk];
    assert_eq!(kinds.map(KeyKind::prefix), ["r/job/", "r/end/", "r/run/"]);
}

// Pins the error texts in log lines, which must not change when a type or variant is renamed.
#[test]
fn invalid_records_are_reported_with_the_reason() {
    let mut view = View::default();
    let mut put_error =
        |key: &str, value: Value| view.put(key, value, Revision(1)).expect_err("an error");
    let keys = [
        (
            "q/other",
            InvalidKey::MissingPrefix,
            "key lacks the prefix r/",
        ),
        ("r/job/../x", InvalidKey::JobId, "invalid job id"),
        ("r/end/x", InvalidKey::JobId, "invalid job id"),
        ("r/run/j-1", InvalidKey::Chunk, "invalid chunk key"),
        ("r/run/j-1/x", InvalidKey::Chunk, "invalid chunk key"),
        ("r/job", InvalidKey::Unknown, "unknown key"),
        ("r/leader/x", InvalidKey::Unknown, "unknown key"),
        ("r/nothing", InvalidKey::Unknown, "unknown key"),
    ];
    for (key, expected, text) in keys {
        let error = put_error(key, json!(1));
        assert_eq!(error.to_string(), text);
        assert!(
            matches!(error, InvalidRecord::Key(found) if found == expected),
            "{key}"
        );
    }
    let error = put_error("r/job/j-1", json!([]));
    assert!(matches!(error, InvalidRecord::Value(_)));
    let json_error = serde_json::from_value::<JobRecord>(json!([])).expect_err("an error");
    assert_eq!(error.to_string(), json_error.to_string());
}

// Readers don't need the part numbers in keys, so a record must be read even if its part number is missing or invalid.
#[test]
fn records_with_an_invalid_part_number_are_read() {
    let mut view = View::default();
    let contacts = view.put("r/heard/n-1", json!(["m-1"]), Revision(1));
    assert!(contacts.expect("contacts").is_some());
    let end = json!({"job": "j-1", "end": {"how": "done", "at": 9, "done": 3}});
    view.put("r/ends/old", json!([end]), Revision(2))
        .expect("an archive");
    assert!(view.end(&id("j-1")).is_some());
    assert!(view.put("r/ends/odd", json!(1), Revision(3)).is_err());
    assert_eq!(
        view.end_archive_parts, 2,
        "a part that can't be parsed is counted"
    );
}
