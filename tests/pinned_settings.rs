//! The settings as operators and the platform meet them: what the built program says of each file, byte for byte.
//!
//! The fixtures were written by the code before its renaming. They hold the files as well, so that nothing here names a
//! setting.

mod pinned;

use pinned::{Block, assert_pinned, blocks, fixture, fixture_path};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// A directory of this test's own.
fn directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&path).expect("a directory");
    path
}

/// Runs the program among these files and tells how it ended and what it said.
fn run(directory: &Path, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_ravenhead"))
        .args(arguments)
        .current_dir(directory)
        .env_remove("LOG_LEVEL")
        .stdin(Stdio::null())
        .output()
        .expect("the program");
    format!(
        "exit code {:?}\nstdout {:?}\nstderr {:?}\n",
        output.status.code(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Runs each part of a fixture, whose first section is its input, and compares the whole.
fn replay(name: &str, told: impl Fn(&str) -> String) {
    let replayed = |block: &Block| {
        let input = &block.sections[0];
        format!("=== {}\n{input}---\n{}", block.name, told(input))
    };
    let actual: String = blocks(&fixture(name)).iter().map(replayed).collect();
    assert_pinned(name, &actual);
}

#[test]
fn platform_file_is_accepted_or_refused_with_its_line_and_exit_code() {
    let directory = directory("pinned_platform");
    let base = fixture("platform.toml");
    replay("platform_checks.txt", |input| {
        let mut text = base.clone();
        for edit in input.lines() {
            let (from, to) = edit.split_once(" => ").expect("an edit");
            assert!(text.contains(from), "the platform's file has no {from:?}");
            text = text.replacen(from, &to.replace("\\n", "\n"), 1);
        }
        std::fs::write(directory.join("platform.toml"), text).expect("a file");
        run(&directory, &["--config", "platform.toml", "--check"])
    });
}

#[test]
fn operators_file_is_accepted_or_refused_with_its_line_and_exit_code() {
    let directory = directory("pinned_operators");
    std::fs::copy(
        fixture_path("platform.toml"),
        directory.join("platform.toml"),
    )
    .expect("a file");
    replay("operators_checks.txt", |input| {
        std::fs::write(directory.join("settings.xml"), input).expect("a file");
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
fn command_line_is_answered_with_the_same_words() {
    let directory = directory("pinned_command_line");
    std::fs::copy(
        fixture_path("platform.toml"),
        directory.join("platform.toml"),
    )
    .expect("a file");
    replay("command_line.txt", |input| {
        let arguments: Vec<&str> = input.split_whitespace().collect();
        run(&directory, &arguments)
    });
}

#[test]
fn deployed_files_are_the_same_and_accepted() {
    let deploy = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy"));
    let service = std::fs::read_to_string(deploy.join("service.toml")).expect("a file");
    assert_pinned("service.toml", &service);
    let platform = fixture_path("platform.toml");
    let platform = platform.to_str().expect("a path");
    for name in ["ravenhead", "large-fleet", "recovery", "rebuild"] {
        let file = format!("{name}.xml");
        // As they stood before the renaming, these files must still be accepted, whatever stands in their place.
        let pinned = fixture_path(&format!("operators/{file}"));
        let pinned = pinned.to_str().expect("a path");
        let told = run(
            &deploy,
            &["--config", platform, "--settings", pinned, "--check"],
        );
        assert_eq!(
            told,
            "exit code Some(0)\nstdout \"settings are fine\\n\"\nstderr \"\"\n"
        );
    }
}
