//! The program as its starter sees it: exit codes, what it prints, and the form of its log.

use std::path::PathBuf;
use std::process::{Command, Output};

const PLATFORM: &str = r#"
    node = "n-0"
    zone = "a"
    bind = "127.0.0.1:0"
    internal_addr = "127.0.0.1:0"
    [external]
    cloud = "127.0.0.1:8443"
    state = "127.0.0.1:2379"
    [facts]
    size = 1
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

/// Writes a file for one test.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file is written");
    path
}

/// Runs the program with `--config` and these arguments until it ends.
fn run(config: &PathBuf, arguments: &[&str], log_level: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ravenhead"))
        .arg("--config")
        .arg(config)
        .args(arguments)
        .env("LOG_LEVEL", log_level)
        .output()
        .expect("the program runs")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("UTF-8")
}

#[test]
fn check_of_valid_settings_succeeds_and_says_so() {
    let config = file("valid.toml", PLATFORM);
    let output = run(&config, &["--check"], "");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(text(&output.stdout), "settings are fine\n");
    assert_eq!(text(&output.stderr), "");
}

#[test]
fn invalid_settings_end_with_code_2_and_one_line() {
    let config = file("size.toml", &PLATFORM.replace("size = 1", "size = 0"));
    let output = run(&config, &[], "");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(text(&output.stdout), "");
    let path = config.display();
    let line = format!("ravenhead: {path}: facts.size: must be at least 1\n");
    assert_eq!(text(&output.stderr), line);

    let config = file("good.toml", PLATFORM);
    let settings = file("colour.xml", "<ravenhead><colour>3</colour></ravenhead>");
    let path = settings.to_str().expect("a path in UTF-8");
    let output = run(&config, &["--settings", path], "");
    assert_eq!(output.status.code(), Some(2));
    let line = format!("ravenhead: {path}: colour: unknown element\n");
    assert_eq!(text(&output.stderr), line);
}

#[test]
fn missing_argument_ends_with_code_2() {
    let output = Command::new(env!("CARGO_BIN_EXE_ravenhead"))
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn address_that_is_taken_ends_with_code_1() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
    let bind = format!("bind = \"{}\"", taken.local_addr().expect("an address"));
    let config = file(
        "taken.toml",
        &PLATFORM.replace("bind = \"127.0.0.1:0\"", &bind),
    );
    let output = run(&config, &[], "error");
    assert_eq!(output.status.code(), Some(1));
    let line = "ravenhead: cannot listen: Address already in use (os error 98)\n";
    assert_eq!(text(&output.stderr), line);
}

#[test]
fn unknown_log_level_is_logged_and_the_default_holds() {
    let config = file("level.toml", PLATFORM);
    let output = run(&config, &["--check"], "loud");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        text(&output.stderr),
        "level=warn event=invalid_log_level value=\"loud\" using=info\n"
    );
    let output = run(&config, &["--check"], "debug");
    assert_eq!(text(&output.stderr), "");
}
