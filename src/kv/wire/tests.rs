use super::{grant, transaction};
use crate::kv::{Change, Condition, LeaseId};
use crate::revision::Revision;
use crate::units::Micros;
use serde_json::{Value, json};

// Guards against bytes on the wire that differ from those of earlier releases, whose objects had their fields in order.
#[test]
fn requests_keep_the_bytes_of_earlier_releases() {
    let when = [
        Condition {
            key: "r/leader".into(),
            version: Revision(7),
        },
        Condition::absent("r/end/j-1".into()),
    ];
    let leased = Change::Put {
        key: "r/leader".into(),
        value: json!({"node": "n-1", "lease": 3}),
        lease: Some(LeaseId(3)),
    };
    let delete = Change::Delete {
        key: "r/job/j-1".into(),
    };
    let writes = [Change::put("r/term".into(), json!("n-1")), leased, delete];
    let bytes = transaction(&when, &writes).expect("a body");
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
        "fields stand in their names' order"
    );
    let grant = grant(Micros::secs(4)).expect("a body");
    assert_eq!(grant, br#"{"ttlMs":4000}"#);
}
