//! Exit codes and output of the built program for many settings files and command lines, compared byte for byte
//! with fixtures.
//!
//! Guards against a release that refuses settings files which operators and the platform already use, or that changes
//! the messages for invalid ones. The fixtures hold the settings files as well as the output as released, so this file
//! names no setting.

mod pinned;

use pinned::{Block, assert_pinned, blocks, fixture, fixture_path};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Creates a directory for one test.
fn directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&path).expect("the directory could not be created");
    path
}

/// Runs the program in a directory and returns its exit code and output as fixtures hold them.
fn run(directory: &Path, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_ravenhead"))
        .args(arguments)
        .current_dir(directory)
        .env_remove("LOG_LEVEL")
        .stdin(Stdio::null())
        .output()
        .expect("the program could not be started");
    format!(
        "exit code {:?}\nstdout {:?}\nstderr {:?}\n",
        output.status.code(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Runs each block of a fixture with its first section as input, and compares all results with the fixture.
fn replay(name: &str, run_input: impl Fn(&str) -> String) {
    let run_block = |block: &Block| {
        let input = &block.sections[0];
        format!("=== {}\n{input}---\n{}", block.name, run_input(input))
    };
    let actual: String = blocks(&fixture(name)).iter().map(run_block).collect();
    assert_pinned(name, &actual);
}

#[test]
fn platform_file_is_accepted_or_refused_with_message_and_exit_code() {
    let directory = directory("pinned_platform");
    let base = fixture("platform.toml");
    replay("platform_checks.txt", |input| {
        let mut text = base.clone();
        for edit in input.lines() {
            let (from, to) = edit
                .split_once(" => ")
                .expect("an edit has the form `from => to`");
            assert!(
                text.contains(from),
                "platform.toml does not contain {from:?}"
            );
            text = text.replacen(from, &to.replace("\\n", "\n"), 1);
        }
        std::fs::write(directory.join("platform.toml"), text)
            .expect("the file could not be written");
        run(&directory, &["--config", "platform.toml", "--check"])
    });
}

#[test]
fn operator_settings_are_accepted_or_refused_with_message_and_exit_code() {
    let directory = directory("pinned_operators");
    std::fs::copy(
        fixture_path("platform.toml"),
        directory.join("platform.toml"),
    )
    .expect("the file could not be copied");
    replay("operators_checks.txt", |input| {
        std::fs::write(directory.join("settings.xml"), input)
            .expect("the file could not be written");
        let arguments = [
            "--config",
            "platform.toml",
            "--settings",
            "settings.xml",
            "--check",
        ];
        run(&directory, &arguments)
    });
}

#[test]
fn command_line_output_and_exit_code_are_unchanged() {
    let directory = directory("pinned_command_line");
    std::fs::copy(
        fixture_path("platform.toml"),
        directory.join("platform.toml"),
    )
    .expect("the file could not be copied");
    replay("command_line.txt", |input| {
        let arguments: Vec<&str> = input.split_whitespace().collect();
        run(&directory, &arguments)
    });
}

#[test]
fn service_file_is_unchanged_and_released_operator_settings_are_accepted() {
    let deploy = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy"));
    let service =
        std::fs::read_to_string(deploy.join("service.toml")).expect("the file could not be read");
    assert_pinned("service.toml", &service);
    let platform = fixture_path("platform.toml");
    let platform = platform.to_str().expect("a path");
    for name in ["ravenhead", "large-fleet", "recovery", "rebuild"] {
        let file = format!("{name}.xml");
        // Operators may still use these files of an earlier release, so they must be accepted whatever `deploy/` holds.
        let pinned = fixture_path(&format!("operators/{file}"));
        let pinned = pinned.to_str().expect("a path");
        let output = run(
            &deploy,
            &["--config", platform, "--settings", pinned, "--check"],
        );
        assert_eq!(
            output,
            "exit code Some(0)\nstdout \"settings are fine\\n\"\nstderr \"\"\n"
        );
    }
}
