//! The command line of the built program: exit codes, standard output, standard error and the format of log lines.

use std::path::PathBuf;
use std::process::{Command, Output};

const PLATFORM_CONFIG: &str = r#"
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

/// Writes a file to the tests' temporary directory and returns its path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file could not be written");
    path
}

/// Runs the program with `--config` and these arguments until it exits.
fn run(config: &PathBuf, arguments: &[&str], log_level: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ravenhead"))
        .arg("--config")
        .arg(config)
        .args(arguments)
        .env("LOG_LEVEL", log_level)
        .output()
        .expect("the program could not be started")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("the output is not UTF-8")
}

#[test]
fn check_of_valid_settings_exits_with_code_0_and_prints_one_line() {
    let config = write_file("valid.toml", PLATFORM_CONFIG);
    let output = run(&config, &["--check"], "");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(text(&output.stdout), "settings are fine\n");
    assert_eq!(text(&output.stderr), "");
}

#[test]
fn invalid_settings_exit_with_code_2_and_one_line() {
    let config = write_file(
        "size.toml",
        &PLATFORM_CONFIG.replace("size = 1", "size = 0"),
    );
    let output = run(&config, &[], "");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(text(&output.stdout), "");
    let path = config.display();
    let line = format!("ravenhead: {path}: facts.size: must be at least 1\n");
    assert_eq!(text(&output.stderr), line);

    let config = write_file("valid_platform.toml", PLATFORM_CONFIG);
    let settings = write_file("colour.xml", "<ravenhead><colour>3</colour></ravenhead>");
    let path = settings.to_str().expect("a path in UTF-8");
    let output = run(&config, &["--settings", path], "");
    assert_eq!(output.status.code(), Some(2));
    let line = format!("ravenhead: {path}: colour: unknown element\n");
    assert_eq!(text(&output.stderr), line);
}

#[test]
fn missing_argument_exits_with_code_2() {
    let output = Command::new(env!("CARGO_BIN_EXE_ravenhead"))
        .output()
        .expect("the program could not be started");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn address_in_use_exits_with_code_1() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
    let bind = format!("bind = \"{}\"", listener.local_addr().expect("an address"));
    let config = write_file(
        "taken.toml",
        &PLATFORM_CONFIG.replace("bind = \"127.0.0.1:0\"", &bind),
    );
    let output = run(&config, &[], "error");
    assert_eq!(output.status.code(), Some(1));
    let line = "ravenhead: cannot listen: Address already in use (os error 98)\n";
    assert_eq!(text(&output.stderr), line);
}

#[test]
fn unknown_log_level_is_logged_and_the_default_is_used() {
    let config = write_file("level.toml", PLATFORM_CONFIG);
    let output = run(&config, &["--check"], "loud");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        text(&output.stderr),
        "level=warn event=invalid_log_level value=\"loud\" using=info\n"
    );
    let output = run(&config, &["--check"], "debug");
    assert_eq!(text(&output.stderr), "");
}
