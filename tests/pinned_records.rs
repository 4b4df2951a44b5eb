//! The keys and bytes of every stored record, compared with fixtures.
//!
//! Records in the key-value store outlive every release, so a change of their keys or fields would make records
//! unreadable that another release wrote. `fixtures/pinned/records.txt` holds the changes as released, in the form in
//! which they are sent to the key-value store. `records-of-earlier-releases.txt` was written by hand and holds other
//! data that must stay readable: record formats of earlier releases, records without the fields that have a default,
//! and responses of the key-value store. Neither file is ever regenerated.

mod support;

use ravenhead::cloud::ProvisioningRequest;
use ravenhead::fencing::FencingToken;
use ravenhead::kv::{Change, Condition, Event, LeaseId, Page, WatchResponse};
use ravenhead::revision::Revision;
use ravenhead::scheduler::{
    CachedImage, ChunkRecord, JobEnd, JobId, JobOutcome, JobRecord, JobSpec, MachineId,
    MachineType, Priority, Shape,
};
use ravenhead::store::{
    ArchivedEnd, CandidateRecord, LeaderRecord, LossRecord, PREFIX, ProvisioningRecord, StoreKey,
    View, ViewChange,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, from_str, from_value, json, to_string};
use std::fmt::Debug;
use std::rc::Rc;
use support::pinned::{assert_pinned, expected, pinned};

const FIXTURE: &str = include_str!("fixtures/pinned/records.txt");
const EARLIER_RELEASES: &str = include_str!("fixtures/pinned/records-of-earlier-releases.txt");
const VERSION: Revision = Revision(9);

/// A record to write: its name in the fixture, its key and its value.
type Written<T> = (&'static str, String, T);

/// Asserts that each record is written as the fixture holds it, and that the fixture's record is read as the same
/// value.
fn assert_records<T>(group: &str, records: &[Written<T>])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let serialized = records.iter().map(|(name, key, record)| {
        let put = Change::put(key.clone(), json!(record));
        (*name, to_string(&put).expect("JSON"))
    });
    assert_pinned(FIXTURE, group, &serialized.collect::<Vec<_>>());
    for (line, (name, key, record)) in pinned(FIXTURE, group).into_iter().zip(records) {
        let change: Value = from_str(expected(line)).expect(name);
        assert_eq!(change["write"], json!(key), "{name}");
        let deserialized: T = from_value(change["data"].clone()).expect(name);
        assert_eq!(deserialized, *record, "{name}");
    }
}

/// Applies the changes of a group in a fixture to an empty view. Returns the view and what each change changed in it.
fn view(fixture: &str, group: &str) -> (View, Vec<Option<ViewChange>>) {
    let mut view = View::default();
    let put = |line: &str| {
        let change: Value = from_str(expected(line)).expect("JSON");
        let key = change["write"].as_str().expect("a key");
        view.put(key, change["data"].clone(), VERSION).expect(line)
    };
    let view_changes = pinned(fixture, group).into_iter().map(put).collect();
    (view, view_changes)
}

fn job(id: &str) -> JobId {
    JobId::parse(id).expect("an id")
}

fn machine(id: &str) -> MachineId {
    MachineId(id.into())
}

fn job_key(job: &JobId) -> String {
    StoreKey::Job(job.clone()).to_string()
}

fn end_key(job: &JobId) -> String {
    StoreKey::JobEnd(job.clone()).to_string()
}

fn chunk_key(job: &JobId, chunk: u32) -> String {
    let job = job.clone();
    StoreKey::Chunk { job, chunk }.to_string()
}

fn provisioning_key(request_name: &str) -> String {
    StoreKey::Provisioning(request_name.into()).to_string()
}

fn images_key(machine: &MachineId) -> String {
    StoreKey::Images(machine.clone()).to_string()
}

fn contacts_key(node: &str, part: usize) -> String {
    let node = node.into();
    StoreKey::Contacts { node, part }.to_string()
}

fn candidate_key(node: &str) -> String {
    StoreKey::RebuildCandidate(node.into()).to_string()
}

fn archive_key(loss: u64, part: usize) -> String {
    StoreKey::EndArchive { loss, part }.to_string()
}

/// A job of one task, without optional fields.
fn minimal_spec() -> JobSpec {
    JobSpec {
        id: job("j-1"),
        class: "batch".into(),
        team: "large".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks: 1,
        cores: 1.0,
        accelerators: 0.0,
        ram_gb: 0.5,
        image: "i".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        together: false,
        spread: false,
        spot: true,
        expected_run_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: None,
    }
}

/// A job with every field set.
fn full_spec() -> JobSpec {
    JobSpec {
        id: job("j-000412"),
        class: "latency".into(),
        team: "small \"é\"".into(),
        shape: Shape::Gang,
        priority: Priority::Critical,
        tasks: 100_000,
        cores: 3.5,
        accelerators: 2.0,
        ram_gb: 1e9,
        image: "registry/i:2".into(),
        image_gb: 12.25,
        machine_types: Some(vec!["g8".into(), "c4".into()]),
        zone: Some("z1".into()),
        together: true,
        spread: true,
        spot: false,
        expected_run_s: 1e-7,
        checkpoint_s: 300.0,
        save_s: 30.5,
        due_s: Some(86_400.0),
    }
}

fn job_record(spec: JobSpec) -> JobRecord {
    JobRecord {
        spec: Rc::new(spec),
        at: 1_800_000_000_123_456,
    }
}

fn spec_with_id(id: &str, spec: JobSpec) -> JobSpec {
    JobSpec {
        id: job(id),
        ..spec
    }
}

fn spec_with_shape(id: &str, shape: Shape, priority: Priority) -> JobSpec {
    JobSpec {
        shape,
        priority,
        ..spec_with_id(id, minimal_spec())
    }
}

fn done_end() -> JobEnd {
    JobEnd {
        outcome: JobOutcome::Done,
        at: 1_800_000_000_123_456,
        done: 100_000,
    }
}

fn aborted_end() -> JobEnd {
    JobEnd {
        outcome: JobOutcome::Aborted,
        at: 0,
        done: 3,
    }
}

fn provisioning_request() -> ProvisioningRequest {
    ProvisioningRequest {
        request_name: "r-7-0".into(),
        machine_type: "g8".into(),
        zone: "z0".into(),
        spot: true,
        count: 50,
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cores: 64.0,
        accelerators: 8.0,
        ram_gb: 512.0,
        cache_gb: 200.5,
        fetch_gb_per_s: 0.25,
        price: 21.125,
        spot_price: 7.0,
        provisioning_time_s: 95.0,
        zones: vec!["z0".into(), "z1".into()],
    }
}

fn leader_record() -> LeaderRecord {
    LeaderRecord {
        node: "n-2".into(),
        incarnation: u64::MAX,
        lease: LeaseId(17),
    }
}

#[test]
fn jobs_keep_their_keys_and_bytes() {
    let records = [
        job_record(minimal_spec()),
        job_record(full_spec()),
        job_record(spec_with_shape("j-2", Shape::Service, Priority::Low)),
        job_record(spec_with_shape("j-3", Shape::Array, Priority::Urgent)),
    ];
    let names = ["small", "large", "standing-low", "sweep-urgent"];
    let written = names.into_iter().zip(&records);
    let written = written.map(|(name, r)| (name, job_key(&r.spec.id), r.clone()));
    assert_records("job", &written.collect::<Vec<_>>());
    let (view, view_changes) = view(FIXTURE, "job");
    assert_eq!(view.jobs.len(), records.len());
    for (record, view_change) in records.into_iter().zip(view_changes) {
        let id = record.spec.id.clone();
        assert_eq!(view.jobs[&id].value, record);
        assert_eq!(view.jobs[&id].version, VERSION);
        assert_eq!(view_change, Some(ViewChange::Job(id)));
    }
}

#[test]
fn job_ends_keep_their_keys_and_bytes() {
    let ends = [
        ("done", "j-1", done_end()),
        ("aborted", "j-000412", aborted_end()),
    ];
    let written = ends.map(|(name, id, end)| (name, end_key(&job(id)), end));
    assert_records("end", &written);
    let (view, view_changes) = view(FIXTURE, "end");
    for ((_, id, end), view_change) in ends.into_iter().zip(view_changes) {
        assert_eq!(view.end(&job(id)), Some(end));
        assert_eq!(view_change, Some(ViewChange::JobEnded(job(id))));
    }
}

#[test]
fn chunks_keep_their_keys_and_bytes() {
    let running = ChunkRecord {
        finished: 0x8000_0000_0000_00f1,
        last_attempt: 1 << 33,
        live: vec![(1, machine("m-000231"), 4), (63, machine("m-9"), 1 << 33)],
    };
    let finished = ChunkRecord {
        finished: u64::MAX,
        last_attempt: 1,
        live: Vec::new(),
    };
    let records = [
        ("fresh", "j-1", 0, ChunkRecord::default()),
        ("running", "j-000412", 1, running),
        ("finished", "j-000412", 1_562, finished),
    ];
    let written = records.clone();
    let written = written.map(|(name, id, n, r)| (name, chunk_key(&job(id), n), r));
    assert_records("run", &written);
    let (view, _) = view(FIXTURE, "run");
    for (_, id, n, record) in records {
        assert_eq!(view.chunks[&job(id)][&n].value, record);
    }
}

#[test]
fn provisioning_requests_keep_their_keys_and_bytes() {
    let pending = ProvisioningRecord {
        request: provisioning_request(),
        machines: None,
        at: 5,
    };
    let fulfilled = ProvisioningRecord {
        request: ProvisioningRequest {
            request_name: "r-4294967303-12".into(),
            spot: false,
            ..provisioning_request()
        },
        machines: Some(vec![machine("m-000001"), machine("m-000002")]),
        at: 1_800_000_000_123_456,
    };
    let written = [("asked", pending), ("answered", fulfilled)];
    let written = written.map(|(name, r)| (name, provisioning_key(&r.request.request_name), r));
    assert_records("rental", &written);
    let (view, _) = view(FIXTURE, "rental");
    for (_, _, record) in written {
        assert_eq!(view.provisioning[&record.request.request_name], record);
    }
}

#[test]
fn images_keep_their_keys_and_bytes() {
    let no_images: Vec<CachedImage> = Vec::new();
    let two_images = vec![("i".to_owned(), 1.0), ("registry/i:2".to_owned(), 12.25)];
    let written = [
        ("none", images_key(&machine("m-000001")), no_images),
        ("some", images_key(&machine("m-000231")), two_images.clone()),
    ];
    assert_records("images", &written);
    let (view, _) = view(FIXTURE, "images");
    assert_eq!(view.images[&machine("m-000001")], []);
    assert_eq!(view.images[&machine("m-000231")], two_images);
}

#[test]
fn contacts_keep_their_keys_and_bytes() {
    let contacts = vec![machine("m-000001"), machine("m-000231")];
    let written = [
        ("first", contacts_key("n-1", 0), contacts.clone()),
        ("later", contacts_key("n-1", 12), Vec::new()),
    ];
    assert_records("heard", &written);
    let (_, view_changes) = view(FIXTURE, "heard");
    let contacts_change = |machines| Some(ViewChange::Contacts("n-1".into(), machines));
    assert_eq!(
        view_changes,
        [contacts_change(contacts), contacts_change(Vec::new())]
    );
}

#[test]
fn losses_keep_their_key_and_bytes() {
    let unresolved = LossRecord {
        number: 1,
        base: 1 << 20,
        at: 1_800_000_000_123_456,
        restored: false,
        confirmed: false,
    };
    let resolved = LossRecord {
        number: 2,
        restored: true,
        confirmed: true,
        ..unresolved.clone()
    };
    let written = [
        ("found", StoreKey::Loss.to_string(), unresolved),
        ("over", StoreKey::Loss.to_string(), resolved.clone()),
    ];
    assert_records("loss", &written);
    let (view, _) = view(FIXTURE, "loss");
    assert_eq!(view.loss.expect("a loss").value, resolved);
}

#[test]
fn rebuild_candidates_keep_their_keys_and_bytes() {
    let lost = CandidateRecord {
        losses: 1,
        revision: Revision(4_711),
        token: FencingToken(1 << 33),
        lost: true,
    };
    let not_lost = CandidateRecord {
        losses: 0,
        revision: Revision(0),
        token: FencingToken(0),
        lost: false,
    };
    let written = [
        ("lost", candidate_key("n-0"), lost.clone()),
        ("nothing", candidate_key("n-1"), not_lost.clone()),
    ];
    assert_records("rebuild", &written);
    let (view, _) = view(FIXTURE, "rebuild");
    assert_eq!(view.candidates["n-0"], lost);
    assert_eq!(view.candidates["n-1"], not_lost);
}

#[test]
fn job_end_archives_keep_their_keys_and_bytes() {
    let archived = |id: &str, end| ArchivedEnd { job: job(id), end };
    let first = vec![
        archived("j-1", done_end()),
        archived("j-000412", aborted_end()),
    ];
    let written = [
        ("first", archive_key(1, 0), first),
        (
            "later",
            archive_key(12, 345),
            vec![archived("j-2", done_end())],
        ),
    ];
    assert_records("ends", &written);
    let (view, _) = view(FIXTURE, "ends");
    assert_eq!(view.end_archive_parts, 2);
    assert_eq!(view.end(&job("j-1")), Some(done_end()));
    assert_eq!(view.end(&job("j-000412")), Some(aborted_end()));
    assert_eq!(view.end(&job("j-2")), Some(done_end()));
}

#[test]
fn leader_and_term_keep_their_keys_and_bytes() {
    assert_records(
        "leader",
        &[("leader", StoreKey::Leader.to_string(), leader_record())],
    );
    assert_records(
        "term",
        &[("term", StoreKey::Term.to_string(), "n-2".to_owned())],
    );
    let (view_with_leader, _) = view(FIXTURE, "leader");
    let stored = view_with_leader.leader.expect("a leader");
    assert_eq!((stored.value, stored.version), (leader_record(), VERSION));
    assert_eq!(view(FIXTURE, "term").0.term, VERSION);
}

#[test]
fn machine_types_keep_their_key_and_bytes() {
    let types = vec![machine_type()];
    assert_records(
        "flavors",
        &[("one", StoreKey::MachineTypes.to_string(), types.clone())],
    );
    let (view, view_changes) = view(FIXTURE, "flavors");
    assert_eq!(view.machine_types.expect("machine types").value, types);
    assert_eq!(view_changes, [Some(ViewChange::MachineTypes)]);
}

#[test]
fn conditions_and_changes_of_a_transaction_keep_their_bytes() {
    let text = |value: &dyn Fn() -> serde_json::Result<String>| value().expect("JSON");
    let elected = Change::Put {
        key: StoreKey::Leader.to_string(),
        value: json!(leader_record()),
        lease: Some(LeaseId(17)),
    };
    let removed = Change::Delete {
        key: job_key(&job("j-1")),
    };
    let absent = Condition::absent(end_key(&job("j-1")));
    let unchanged = Condition {
        key: StoreKey::Leader.to_string(),
        version: Revision(4_711),
    };
    let serialized = [
        ("prefix", text(&|| to_string(PREFIX))),
        ("put-on-a-lease", text(&|| to_string(&elected))),
        ("delete", text(&|| to_string(&removed))),
        ("absent", text(&|| to_string(&absent))),
        ("unchanged", text(&|| to_string(&unchanged))),
    ];
    assert_pinned(FIXTURE, "txn", &serialized);
}

#[test]
fn records_of_earlier_releases_are_read_to_the_same_values() {
    let (view, view_changes) = view(EARLIER_RELEASES, "read");
    let record = |id: &str| &view.jobs[&job(id)].value;
    assert_eq!(*record("j-1"), job_record(minimal_spec()));
    assert_eq!(
        *record("j-2"),
        job_record(spec_with_id("j-2", minimal_spec()))
    );
    assert_eq!(
        *record("j-3"),
        job_record(spec_with_id("j-3", minimal_spec()))
    );
    let finished = ChunkRecord {
        finished: 0xf1,
        last_attempt: 2,
        live: Vec::new(),
    };
    assert_eq!(view.chunks[&job("j-1")][&0].value, finished);
    assert_eq!(view.chunks[&job("j-1")][&1].value, finished);
    assert_eq!(view.end(&job("j-4")), Some(done_end()));
    assert_eq!(
        view.leader.as_ref().expect("a leader").value,
        leader_record()
    );
    let pending = ProvisioningRecord {
        request: provisioning_request(),
        machines: None,
        at: 5,
    };
    assert_eq!(view.provisioning["r-7-0"], pending);
    let types = view.machine_types.as_ref().expect("machine types");
    assert_eq!(types.value, [machine_type()]);
    // The first release stored all contacts of a controller under one key.
    let contacts_change = ViewChange::Contacts("n-1".into(), vec![machine("m-000231")]);
    assert!(view_changes.contains(&Some(contacts_change)));
}

#[test]
fn key_that_only_the_first_release_wrote_is_refused_and_changes_nothing() {
    let lines = pinned(EARLIER_RELEASES, "refused");
    assert_eq!(lines.len(), 1);
    let change: Value = from_str(expected(lines[0])).expect("JSON");
    let key = change["write"].as_str().expect("a key");
    let mut view = View::default();
    assert!(view.put(key, change["data"].clone(), VERSION).is_err());
    assert!(view.provisioning.is_empty());
}

#[test]
fn pages_and_watch_responses_of_the_state_service_are_read() {
    let answer = |name: &str| {
        let lines = pinned(EARLIER_RELEASES, "answer");
        let line = lines.into_iter().find(|line| line.contains(name));
        expected(line.expect("the fixture has no such name"))
    };
    let page: Page = from_str(answer("answer/page ")).expect("a page");
    assert_eq!(
        (page.has_more, page.revision, page.items.len()),
        (true, Revision(4_711), 1)
    );
    let item = &page.items[0];
    assert_eq!(
        (item.key.as_str(), item.version),
        ("r/end/j-1", Revision(12))
    );
    assert_eq!(
        from_value::<JobEnd>(item.value.clone()).expect("an end"),
        done_end()
    );
    let watched: WatchResponse = from_str(answer("answer/watch ")).expect("changes");
    assert_eq!(watched.revision, Revision(4_712));
    let [
        Event::Put {
            key,
            value,
            version,
        },
        Event::Delete {
            key: deleted_key,
            version: at,
        },
    ] = &watched.events[..]
    else {
        panic!("{:?}", watched.events)
    };
    assert_eq!((key.as_str(), *version), ("r/term", Revision(4_711)));
    assert_eq!(*value, json!("n-2"));
    assert_eq!((deleted_key.as_str(), *at), ("r/job/j-1", Revision(4_712)));
    let empty: WatchResponse = from_str(answer("answer/quiet ")).expect("no changes");
    assert!(empty.events.is_empty());
}
