use crate::config::operator::ELEMENTS;
use crate::config::platform::{MIN_SOCKETS, SOCKETS_PER_MEMBER};
use crate::config::{Platform, Settings};
use crate::units::Micros;

mod error_lines;

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
    let platform = Platform::parse(PLATFORM).expect("valid settings");
    let config = Settings::default().scheduler_config(&platform);
    assert_eq!(config.max_start_delay["live"], Micros::secs(12));
    assert!(Settings::default().admission_cap(&platform) > 1_000);
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

// Without the check, a controller with too few sockets would start and then accept no connections.
#[test]
fn too_few_sockets_are_refused_and_a_short_worker_lease_causes_a_warning() {
    let replaced = |from: &str, to: &str| PLATFORM.replace(from, to);
    let platform = Platform::parse(PLATFORM).expect("valid settings");
    assert_eq!(platform.warnings(), Vec::<String>::new());
    let min_sockets = MIN_SOCKETS + SOCKETS_PER_MEMBER * platform.members.len();
    let sockets = format!(
        "max_sockets = {}",
        platform.facts.machine_limits.max_sockets
    );
    assert!(Platform::parse(&replaced(&sockets, &format!("max_sockets = {min_sockets}"))).is_ok());
    let too_few_sockets = format!("max_sockets = {}", min_sockets - 1);
    let error =
        Platform::parse(&replaced(&sockets, &too_few_sockets)).expect_err("too few sockets");
    assert_eq!(error.field, "facts.machine_limits.max_sockets");
    let short_lease = Platform::parse(&replaced("lease_s = 36.0", "lease_s = 8.0"))
        .expect("accepted with a warning");
    let warnings = short_lease.warnings();
    assert_eq!(warnings.len(), 1, "{warnings:?}");
    assert!(
        warnings[0].starts_with("facts.workers.lease_s: 8 "),
        "{warnings:?}"
    );
}

// If the bounds did not grow with the limits, a large fleet would get those of the smallest memory limit and core
// share.
#[test]
fn derived_bounds_grow_with_the_limits_and_can_be_overridden() {
    let mut platform = Platform::parse(PLATFORM).expect("valid settings");
    platform.facts.machine_limits.ram_mb = 200.0;
    assert_eq!(Settings::default().admission_cap(&platform), 12_800);
    let large_fleet =
        Settings::parse(include_str!("../../deploy/large-fleet.xml")).expect("valid settings");
    assert_eq!(large_fleet.admission_cap(&platform), 20_000);
    assert_eq!(
        large_fleet
            .scheduler_config(&platform)
            .max_scale_out_per_cycle,
        200
    );
    platform.facts.machine_limits.max_sockets = 3_500;
    assert!(platform.max_idle_peer_connections() * platform.members.len().max(1) <= 3_500 / 16);
}

#[test]
fn example_operator_settings_are_accepted_and_name_every_element() {
    let text = include_str!("../../deploy/ravenhead.xml");
    let settings = Settings::parse(text).expect("a valid example");
    assert_eq!(settings.retry_ms, Some(400));
    assert_eq!(settings.leader_lease_ms, Some(2_000));
    for name in ELEMENTS.iter().map(|kind| kind.name) {
        assert!(text.contains(&format!("<{name}>")), "{name} is missing");
    }
}

#[test]
fn recovery_report_is_off_unless_enabled() {
    let platform = Platform::parse(PLATFORM).expect("valid settings");
    let is_reported = |text: &str| {
        let settings = Settings::parse(text).expect("valid settings");
        settings.scheduler_config(&platform).recovery_report
    };
    assert!(
        !Settings::default()
            .scheduler_config(&platform)
            .recovery_report
    );
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
    let empty = Settings::parse("<ravenhead/>").expect("every element is optional");
    assert_eq!(empty, Settings::default());
}
