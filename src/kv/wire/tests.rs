use super::{grant, transaction};
use crate::kv::{Change, Condition, LeaseId};
use crate::revision::Revision;
use crate::units::Micros;
use serde_json::{Value, json};

// Pins the encoded requests: they must be the same bytes as in earlier releases, with the fields of each object sorted
// by name.
#[test]
fn requests_keep_the_bytes_of_earlier_releases() {
    let conditions = [
        Condition {
            key: "r/leader".into(),
            version: Revision(7),
        },
        Condition::absent("r/end/j-1".into()),
    ];
    let leased_put = Change::Put {
        key: "r/leader".into(),
        value: json!({"node": "n-1", "lease": 3}),
        lease: Some(LeaseId(3)),
    };
    let delete = Change::Delete {
        key: "r/job/j-1".into(),
    };
    let changes = [
        Change::put("r/term".into(), json!("n-1")),
        leased_put,
        delete,
    ];
    let bytes = transaction(&conditions, &changes).expect("a body");
    let text = String::from_utf8(bytes).expect("text");
    let expected = concat!(
        r#"{"when":[{"k":"r/leader","stamp":7},{"k":"r/end/j-1","stamp":0}],"#,
        r#""writes":[{"data":"n-1","write":"r/term"},"#,
        r#"{"data":{"lease":3,"node":"n-1"},"tenure":3,"write":"r/leader"},{"delete":"r/job/j-1"}]}"#,
    );
    assert_eq!(text, expected);
    let sorted: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(
        sorted.to_string(),
        expected,
        "fields are not sorted by name"
    );
    let grant = grant(Micros::secs(4)).expect("a body");
    assert_eq!(grant, br#"{"ttlMs":4000}"#);
}
