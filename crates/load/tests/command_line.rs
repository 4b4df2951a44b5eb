//! The command line of the randomized fault test.

use std::process::Command;

/// Runs the program with arguments that it refuses, and returns what it prints.
fn refused(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_ravenhead-soak"))
        .args(arguments)
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    String::from_utf8(output.stderr).expect("text")
}

#[test]
fn wrong_arguments_end_with_one_line_and_exit_code_2() {
    for (arguments, reason) in [
        (["--sede", "1"], "unexpected argument '--sede'"),
        (["--seed", "x"], "invalid value 'x' for '--seed"),
        (
            ["--controller", "/nonexistent"],
            "no controller binary at /nonexistent",
        ),
    ] {
        let printed = refused(&arguments);
        assert_eq!(printed.lines().count(), 1, "{printed}");
        assert!(printed.contains(reason), "{printed}");
    }
}
