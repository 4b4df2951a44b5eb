//! Texts of the errors for rejected settings files, and of the warnings for accepted ones.
//!
//! The texts must not change between versions, because operators and their scripts may match them.

use super::PLATFORM;
use crate::config::{ConfigError, Platform, Settings};
use std::path::Path;

/// Edits of the platform's settings file: the text to replace, its replacement, and the error line that results.
const PLATFORM_ERROR_LINES: &[(&str, &str, &str)] = &[
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
    // Of two errors, only the first is reported.
    (
        "size = 3",
        "size = 0\nclock_error_ms = -1.0",
        "FILE: facts.clock_error_ms: must not be negative",
    ),
];

/// Texts of the operators' settings file, each with the error line that results.
const OPERATOR_ERROR_LINES: &[(&str, &str)] = &[
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
];

/// Returns the error line for a file with this text, with `FILE` in place of the file's path.
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
    let line = error.expect("the file is rejected").to_string();
    line.replace(&path.display().to_string(), "FILE")
}

#[test]
fn error_lines_of_the_platform_file_are_stable() {
    for (from, to, line) in PLATFORM_ERROR_LINES {
        let text = PLATFORM.replace(from, to);
        assert_eq!(
            printed_line(&text, |path| Platform::load(path).err()),
            *line
        );
    }
}

#[test]
fn error_lines_of_the_operator_settings_are_stable() {
    for (text, line) in OPERATOR_ERROR_LINES {
        assert_eq!(printed_line(text, |path| Settings::load(path).err()), *line);
    }
}

#[test]
fn missing_file_is_named_in_the_error() {
    let path = Path::new("/nowhere/x");
    let line = "/nowhere/x: file: No such file or directory (os error 2)";
    assert_eq!(Platform::load(path).expect_err("no file").to_string(), line);
    assert_eq!(Settings::load(path).expect_err("no file").to_string(), line);
}

#[test]
fn warning_texts_are_stable() {
    let text = PLATFORM
        .replace("lease_s = 36.0", "lease_s = 8.0")
        .replace("ram_mb = 200.0", "ram_mb = 2.5");
    let platform = Platform::parse(&text).expect("accepted with warnings");
    assert_eq!(
        platform.warnings(),
        [
            "facts.workers.lease_s: 8 is shorter than the 9.8 s that a worker needs where one answer is missed",
            "facts.machine_limits.ram_mb: 2.5 is memory for 160 jobs only",
        ]
    );
}
