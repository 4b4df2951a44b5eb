use super::*;
use serde_json::{Value, json};

fn submission() -> Value {
    json!({"nameId": "j-000412", "lane": "train", "crew": "vision", "shape": "sweep", "rank": "urgent",
        "takes": 16, "cores": 8.0, "cards": 1.0, "ramGb": 64.0, "reel": "img-07", "pullGb": 6.2,
        "rigs": ["g8"], "yard": null, "together": true, "spread": false, "loaners": true,
        "expectS": 240.0, "markS": 30.0, "stowS": 4.0, "dueS": 900.0})
}

#[test]
fn absent_nullable_fields_and_unknown_fields_are_accepted() {
    let mut body = submission();
    body["more"] = json!([1]);
    for nullable in ["yard", "rigs", "dueS"] {
        body.as_object_mut().expect("an object").remove(nullable);
    }
    let spec = JobSpec::parse(body.to_string().as_bytes()).expect("a valid submission");
    assert_eq!(spec.tasks, 16);
    assert!(spec.allows("any", "a", true));
}

#[test]
fn malformed_submissions_are_rejected() {
    for (field, value) in [
        ("nameId", json!("x-1")),
        ("nameId", json!("j-1/2")),
        ("takes", json!(0)),
        ("takes", json!(100_001)),
        ("takes", json!(1.5)),
        ("cores", json!(-1.0)),
        ("cards", json!("one")),
        ("ramGb", json!(1e300)),
        ("shape", json!("ring")),
        ("rank", json!("highest")),
        ("spread", json!(null)),
        ("dueS", json!(-1.0)),
        ("reel", json!("x".repeat(300))),
    ] {
        let mut body = submission();
        body[field] = value.clone();
        let result = JobSpec::parse(body.to_string().as_bytes());
        assert!(result.is_err(), "{field} = {value}");
    }
    let mut body = submission();
    body.as_object_mut().expect("an object").remove("stowS");
    assert!(JobSpec::parse(body.to_string().as_bytes()).is_err());
    for body in ["", "[]", "3", "{", "\"j-1\""] {
        assert!(JobSpec::parse(body.as_bytes()).is_err(), "{body}");
    }
}
