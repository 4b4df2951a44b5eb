use crate::config::operator::ELEMENTS;
use crate::config::platform::{MIN_SOCKETS, SOCKETS_PER_MEMBER};
use crate::config::{ConfigError, Platform, Settings};
use crate::units::Micros;
use std::path::Path;

const PLATFORM: &str = r#"
    node = "n-0"
    zone = "a"
    bind = "127.0.0.1:8080"
    internal_addr = "127.0.0.1:8081"
    surprise = true
    [external]
    cloud = "127.0.0.1:8443"
    state = "127.0.0.1:2379"
    [facts]
    size = 3
    [[facts.objectives]]
    kind = "wait"
    class = "live"
    within_s = 12.0
    [[facts.objectives]]
    kind = "wait"
    class = "live"
    within_s = 60.0
    [facts.workers]
    report_s = 3.0
    lease_s = 36.0
    cancel_s = 66.0
    [facts.state]
    rps = 250.0
    write_rps = 100.0
    value_kb = 8.0
    txn_ops = 32
    [facts.cloud]
    rps = 10.0
    list_lag_s = 6.0
    [facts.machine_limits]
    core_share = 0.12
    ram_mb = 200.0
    max_sockets = 3500
"#;

#[test]
fn platform_file_is_read_and_unknown_fields_are_ignored() {
    let p = Platform::parse(PLATFORM).expect("fine settings");
    let config = Settings::default().scheduler_config(&p);
    assert_eq!(config.wait_within["live"], Micros::secs(12));
    assert!(Settings::default().admission_cap(&p) > 1_000);
}

#[test]
fn invalid_platform_settings_are_refused_with_the_field() {
    for (from, to, field) in [
        ("report_s = 3.0", "report_s = 0.0", "facts.workers.report_s"),
        ("rps = 10.0", "rps = -1.0", "facts.cloud.rps"),
        ("txn_ops = 32", "txn_ops = 1", "facts.state.txn_ops"),
        ("node = \"n-0\"", "node = \"\"", "node"),
    ] {
        let error = Platform::parse(&PLATFORM.replace(from, to)).expect_err(to);
        assert_eq!(error.field, field);
    }
    let error = Platform::parse(&PLATFORM.replace("lease_s = 36.0", "")).expect_err("missing");
    assert!(error.reason.to_string().contains("lease_s"), "{error}");
}

// Guards against a start that ends in a service which can accept nobody.
#[test]
fn too_few_sockets_are_refused_and_a_short_worker_lease_is_warned_of() {
    let with = |from: &str, to: &str| PLATFORM.replace(from, to);
    let p = Platform::parse(PLATFORM).expect("fine settings");
    assert_eq!(p.warnings(), Vec::<String>::new());
    let min = MIN_SOCKETS + SOCKETS_PER_MEMBER * p.members.len();
    let sockets = format!("max_sockets = {}", p.facts.machine_limits.max_sockets);
    assert!(Platform::parse(&with(&sockets, &format!("max_sockets = {min}"))).is_ok());
    let few = format!("max_sockets = {}", min - 1);
    let error = Platform::parse(&with(&sockets, &few)).expect_err("too few");
    assert_eq!(error.field, "facts.machine_limits.max_sockets");
    let tight = Platform::parse(&with("lease_s = 36.0", "lease_s = 8.0")).expect("it can serve");
    let warnings = tight.warnings();
    assert_eq!(warnings.len(), 1, "{warnings:?}");
    assert!(
        warnings[0].starts_with("facts.workers.lease_s: 8 "),
        "{warnings:?}"
    );
}

// Guards against bounds that follow from the smallest memory or the smallest share, where a fleet is large.
#[test]
fn derived_bounds_grow_with_the_limits_and_can_be_overridden() {
    let mut p = Platform::parse(PLATFORM).expect("fine settings");
    p.facts.machine_limits.ram_mb = 200.0;
    assert_eq!(Settings::default().admission_cap(&p), 12_800);
    let large = Settings::parse(include_str!("../../deploy/large-fleet.xml")).expect("it is fine");
    assert_eq!(large.admission_cap(&p), 20_000);
    assert_eq!(large.scheduler_config(&p).max_scale_out_per_cycle, 200);
    p.facts.machine_limits.max_sockets = 3_500;
    assert!(p.kept_connections() * p.members.len().max(1) <= 3_500 / 16);
}

#[test]
fn example_operator_settings_are_accepted_and_name_every_element() {
    let text = include_str!("../../deploy/ravenhead.xml");
    let settings = Settings::parse(text).expect("a fine example");
    assert_eq!(settings.retry_ms, Some(400));
    assert_eq!(settings.leader_lease_ms, Some(2_000));
    for name in ELEMENTS.iter().map(|kind| kind.name) {
        assert!(text.contains(&format!("<{name}>")), "{name} is missing");
    }
}

#[test]
fn recovery_report_is_off_unless_enabled() {
    let p = Platform::parse(PLATFORM).expect("fine settings");
    let is_reported = |text: &str| {
        let settings = Settings::parse(text).expect("fine settings");
        settings.scheduler_config(&p).recovery_report
    };
    assert!(!Settings::default().scheduler_config(&p).recovery_report);
    assert!(!is_reported(include_str!("../../deploy/ravenhead.xml")));
    assert!(is_reported(include_str!("../../deploy/recovery.xml")));
}

#[test]
fn invalid_operator_settings_are_refused_with_the_element() {
    for (body, element) in [
        ("<retry-ms>soon</retry-ms>", "retry-ms"),
        ("<retry-ms>1</retry-ms>", "retry-ms"),
        ("<reserve>-1</reserve>", "reserve"),
        ("<colour>3</colour>", "colour"),
        ("<idle-s>3</idle-s><idle-s>4</idle-s>", "idle-s"),
        ("<idle-s/>", "idle-s"),
        ("<recovery-report>2</recovery-report>", "recovery-report"),
        ("stray", "document"),
    ] {
        let text = format!("<ravenhead>{body}</ravenhead>");
        assert_eq!(Settings::parse(&text).expect_err(body).field, element);
    }
    assert!(Settings::parse("<other/>").is_err());
    assert!(Settings::parse("").is_err());
    let empty = Settings::parse("<ravenhead/>").expect("no element is needed");
    assert_eq!(empty, Settings::default());
}

/// Returns the line that the program prints for a file with this text, with `FILE` in place of its path.
fn printed_line(text: &str, load: impl Fn(&Path) -> Option<ConfigError>) -> String {
    let name = format!(
        "ravenhead-config-{}-{}",
        std::process::id(),
        fastrand::u64(..)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the file is written");
    let error = load(&path);
    std::fs::remove_file(&path).expect("the file is removed");
    let line = error.expect("the file is refused").to_string();
    line.replace(&path.display().to_string(), "FILE")
}

// The lines that were printed before the errors had types; operators and their scripts may know them.
#[test]
fn error_lines_of_the_platform_file_are_stable() {
    for (from, to, line) in [
        (
            "report_s = 3.0",
            "report_s = 0.0",
            "FILE: facts.workers.report_s: must be a number above 0",
        ),
        (
            "lease_s = 36.0",
            "lease_s = nan",
            "FILE: facts.workers.lease_s: must be a number above 0",
        ),
        (
            "lease_s = 36.0",
            "",
            "FILE: line 20: missing field `lease_s`",
        ),
        (
            "cancel_s = 66.0",
            "cancel_s = inf",
            "FILE: facts.workers.cancel_s: must be a number above 0",
        ),
        (
            "rps = 250.0",
            "rps = 0.0",
            "FILE: facts.state.rps: must be a number above 0",
        ),
        (
            "write_rps = 100.0",
            "write_rps = -1.0",
            "FILE: facts.state.write_rps: must be a number above 0",
        ),
        (
            "value_kb = 8.0",
            "value_kb = 0.0",
            "FILE: facts.state.value_kb: must be a number above 0",
        ),
        (
            "value_kb = 8.0",
            "value_kb = 1.5",
            "FILE: facts.state.value_kb: must be at least 2",
        ),
        (
            "rps = 10.0",
            "rps = -1.0",
            "FILE: facts.cloud.rps: must be a number above 0",
        ),
        (
            "core_share = 0.12",
            "core_share = 0.0",
            "FILE: facts.machine_limits.core_share: must be a number above 0",
        ),
        (
            "ram_mb = 200.0",
            "ram_mb = -0.0",
            "FILE: facts.machine_limits.ram_mb: must be a number above 0",
        ),
        (
            "list_lag_s = 6.0",
            "list_lag_s = -1.0",
            "FILE: facts.cloud.list_lag_s: must not be negative",
        ),
        (
            "size = 3",
            "size = 3\nclock_error_ms = -1.0",
            "FILE: facts.clock_error_ms: must not be negative",
        ),
        (
            "node = \"n-0\"",
            "node = \"\"",
            "FILE: node: must not be empty",
        ),
        (
            "node = \"n-0\"",
            "node = n-0",
            "FILE: line 2: invalid string expected `\"`, `'`",
        ),
        (
            "node = \"n-0\"",
            "node = 5",
            "FILE: line 2: invalid type: integer `5`, expected a string",
        ),
        (
            "size = 3",
            "size = 0",
            "FILE: facts.size: must be at least 1",
        ),
        (
            "size = 3",
            "size = -3",
            "FILE: line 11: invalid value: integer `-3`, expected usize",
        ),
        (
            "txn_ops = 32",
            "txn_ops = 3",
            "FILE: facts.state.txn_ops: must be at least 4",
        ),
        (
            "max_sockets = 3500",
            "max_sockets = 15",
            "FILE: facts.machine_limits.max_sockets: must be at least 16 and 16 more for each member",
        ),
        (
            "[facts.workers]",
            "[[facts.teams]]\ncpus = 1.0\n[facts.workers]",
            "FILE: facts.teams.name: must not be empty",
        ),
        (
            "[facts.workers]",
            "[[facts.teams]]\nname = \"t\"\ncpus = -1.0\n[facts.workers]",
            "FILE: facts.teams: amounts must not be negative",
        ),
        (
            "bind = \"127.0.0.1:8080\"",
            "bind = \"here\"",
            "FILE: line 4: invalid socket address syntax",
        ),
        // The first of two faults is told.
        (
            "size = 3",
            "size = 0\nclock_error_ms = -1.0",
            "FILE: facts.clock_error_ms: must not be negative",
        ),
    ] {
        let text = PLATFORM.replace(from, to);
        assert_eq!(printed_line(&text, |path| Platform::load(path).err()), line);
    }
}

#[test]
fn error_lines_of_the_operator_settings_are_stable() {
    for (text, line) in [
        (
            "<ravenhead><retry-ms>soon</retry-ms></ravenhead>",
            "FILE: retry-ms: \"soon\" is not a whole number",
        ),
        (
            "<ravenhead><retry-ms>1</retry-ms></ravenhead>",
            "FILE: retry-ms: must be 50 to 60000, not 1",
        ),
        (
            "<ravenhead><retry-ms>60001</retry-ms></ravenhead>",
            "FILE: retry-ms: must be 50 to 60000, not 60001",
        ),
        (
            "<ravenhead><jitter-ms>60001</jitter-ms></ravenhead>",
            "FILE: jitter-ms: must be 0 to 60000, not 60001",
        ),
        (
            "<ravenhead><idle-s>86401</idle-s></ravenhead>",
            "FILE: idle-s: must be 0 to 86400, not 86401",
        ),
        (
            "<ravenhead><reserve>10001</reserve></ravenhead>",
            "FILE: reserve: must be 0 to 10000, not 10001",
        ),
        (
            "<ravenhead><reserve>-1</reserve></ravenhead>",
            "FILE: reserve: \"-1\" is not a whole number",
        ),
        (
            "<ravenhead><admission-cap>0</admission-cap></ravenhead>",
            "FILE: admission-cap: must be 1 to 10000000, not 0",
        ),
        (
            "<ravenhead><offers-per-round>99</offers-per-round></ravenhead>",
            "FILE: offers-per-round: must be 100 to 10000000, not 99",
        ),
        (
            "<ravenhead><rent-per-round>1001</rent-per-round></ravenhead>",
            "FILE: rent-per-round: must be 1 to 1000, not 1001",
        ),
        (
            "<ravenhead><leader-lease-ms>999</leader-lease-ms></ravenhead>",
            "FILE: leader-lease-ms: must be 1000 to 60000, not 999",
        ),
        (
            "<ravenhead><recovery-report>2</recovery-report></ravenhead>",
            "FILE: recovery-report: must be 0 to 1, not 2",
        ),
        (
            "<ravenhead><rebuild>2</rebuild></ravenhead>",
            "FILE: rebuild: must be 0 to 1, not 2",
        ),
        (
            "<ravenhead><colour>3</colour></ravenhead>",
            "FILE: colour: unknown element",
        ),
        (
            "<ravenhead><idle-s>3</idle-s><idle-s>4</idle-s></ravenhead>",
            "FILE: idle-s: stands twice",
        ),
        (
            "<ravenhead><idle-s></idle-s></ravenhead>",
            "FILE: idle-s: \"\" is not a whole number",
        ),
        ("<ravenhead><idle-s/></ravenhead>", "FILE: idle-s: is empty"),
        (
            "<ravenhead><idle-s><x/></idle-s></ravenhead>",
            "FILE: x: is empty",
        ),
        (
            "<ravenhead><idle-s><x>1</x></idle-s></ravenhead>",
            "FILE: x: unknown element",
        ),
        (
            "<ravenhead>stray</ravenhead>",
            "FILE: document: text outside an element",
        ),
        (
            "<ravenhead><idle-s>3</idle-s>stray</ravenhead>",
            "FILE: document: text outside an element",
        ),
        (
            "<ravenhead><idle-s>&x;</idle-s></ravenhead>",
            "FILE: document: at 1..2: unrecognized entity `x`",
        ),
        (
            "<ravenhead><idle-s>3</reserve></ravenhead>",
            "FILE: document: ill-formed document: expected `</idle-s>`, but `</reserve>` was found",
        ),
        (
            "<ravenhead><idle-s>3</idle-s>",
            "FILE: document: the root element ravenhead is missing or open",
        ),
        ("<ravenhead/><ravenhead/>", "FILE: ravenhead: is empty"),
        (
            "<ravenhead></ravenhead><ravenhead></ravenhead>",
            "FILE: ravenhead: the one root element is ravenhead",
        ),
        (
            "<other></other>",
            "FILE: other: the one root element is ravenhead",
        ),
        ("<other/>", "FILE: other: is empty"),
        (
            "</x>",
            "FILE: document: ill-formed document: close tag `</x>` does not match any open tag",
        ),
        (
            "<ravenhead></x></ravenhead>",
            "FILE: document: ill-formed document: expected `</ravenhead>`, but `</x>` was found",
        ),
        ("stray", "FILE: document: text outside an element"),
        (
            "",
            "FILE: document: the root element ravenhead is missing or open",
        ),
    ] {
        assert_eq!(printed_line(text, |path| Settings::load(path).err()), line);
    }
}

#[test]
fn a_missing_file_is_named() {
    let path = Path::new("/nowhere/x");
    let line = "/nowhere/x: file: No such file or directory (os error 2)";
    assert_eq!(Platform::load(path).expect_err("no file").to_string(), line);
    assert_eq!(Settings::load(path).expect_err("no file").to_string(), line);
}

#[test]
fn texts_of_the_warnings_are_stable() {
    let text = PLATFORM
        .replace("lease_s = 36.0", "lease_s = 8.0")
        .replace("ram_mb = 200.0", "ram_mb = 2.5");
    let platform = Platform::parse(&text).expect("it can serve");
    assert_eq!(
        platform.warnings(),
        [
            "facts.workers.lease_s: 8 is shorter than the 9.8 s that a worker needs where one answer is missed",
            "facts.machine_limits.ram_mb: 2.5 is memory for 160 jobs only",
        ]
    );
}
