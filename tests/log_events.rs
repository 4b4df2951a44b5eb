//! Checks that the code logs the same events that the tables of docs/operations.md ("Log") list.
//!
//! Scans the string literals of every `src/**/*.rs` except test code (`tests.rs`, and the directories `tests` and
//! `scenarios`). Comments are ignored. An event is either
//!
//! - the name that follows `event=` in a literal: `"event=job_done job={job}"`;
//! - or a name chosen at run time. If a literal has a placeholder or ends after `event=`, as does
//!   `"event={event} zone={zone}"`, the names are literals elsewhere in the same file. Each literal of that file that
//!   consists of a name of several words (`"provisioning_slow"`) must then be in the page's section on the log, as an
//!   event or as a value in backquotes.
//!
//! Lines that a type formats before they are logged count as well.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const PAGE: &str = "docs/operations.md";
const MARKER: &str = "event=";

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Returns the source files below a directory, without test code.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).expect("the source directory can be read") {
        let path = entry.expect("the entry can be read").path();
        let stem = path.file_stem().unwrap_or_default();
        if stem == "tests" || stem == "scenarios" {
            continue;
        }
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
    files
}

/// Returns the contents of the string literals in Rust code, in order, with escape sequences as written.
fn string_literals(code: &str) -> Vec<String> {
    let chars: Vec<char> = code.chars().collect();
    let starts = |at: usize, text: &str| {
        text.chars()
            .enumerate()
            .all(|(n, c)| chars.get(at + n) == Some(&c))
    };
    let mut literals = Vec::new();
    let mut at = 0;
    while at < chars.len() {
        if starts(at, "//") {
            while at < chars.len() && chars[at] != '\n' {
                at += 1;
            }
        } else if starts(at, "/*") {
            let mut depth = 0;
            loop {
                if starts(at, "/*") {
                    depth += 1;
                    at += 2;
                } else if starts(at, "*/") {
                    depth -= 1;
                    at += 2;
                } else {
                    at += 1;
                }
                if depth == 0 || at >= chars.len() {
                    break;
                }
            }
        } else if chars[at] == '\'' {
            // A character literal, which is skipped, or a lifetime, of which only the apostrophe is skipped.
            if chars.get(at + 1) == Some(&'\\') {
                at += 3;
                while at < chars.len() && chars[at] != '\'' {
                    at += 1;
                }
                at += 1;
            } else if chars.get(at + 2) == Some(&'\'') {
                at += 3;
            } else {
                at += 1;
            }
        } else if let Some(hashes) = raw_string_hashes(&chars, at) {
            at += hashes + 2;
            let end = format!("\"{}", "#".repeat(hashes));
            let begin = at;
            while at < chars.len() && !starts(at, &end) {
                at += 1;
            }
            literals.push(chars[begin..at].iter().collect());
            at += end.len();
        } else if chars[at] == '"' {
            at += 1;
            let begin = at;
            while at < chars.len() && chars[at] != '"' {
                at += if chars[at] == '\\' { 2 } else { 1 };
            }
            literals.push(chars[begin..at.min(chars.len())].iter().collect());
            at += 1;
        } else {
            at += 1;
        }
    }
    literals
}

/// Returns the number of `#` if a raw string begins at `at`.
fn raw_string_hashes(chars: &[char], at: usize) -> Option<usize> {
    let follows_name =
        at > 0 && (chars[at - 1].is_alphanumeric() || chars[at - 1] == '_') && chars[at - 1] != 'b';
    if chars[at] != 'r' || follows_name {
        return None;
    }
    let hashes = chars[at + 1..].iter().take_while(|c| **c == '#').count();
    (chars.get(at + 1 + hashes) == Some(&'"')).then_some(hashes)
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_'
}

/// The events and other names in the code.
#[derive(Debug, Default)]
struct Code {
    /// Names that follow `event=` in a literal.
    events: BTreeSet<String>,
    /// Names in files that choose an event at run time: events and other values.
    candidates: BTreeSet<String>,
}

impl Code {
    fn scan(&mut self, code: &str) {
        let literals = string_literals(code);
        let mut chooses_at_run_time = false;
        for literal in &literals {
            for (at, _) in literal.match_indices(MARKER) {
                // `some_event=` is another key.
                if literal[..at].ends_with(is_name_char) {
                    continue;
                }
                let after = &literal[at + MARKER.len()..];
                let end = after.find(|c| !is_name_char(c)).unwrap_or(after.len());
                let name = &after[..end];
                if name.is_empty() {
                    chooses_at_run_time = true;
                } else {
                    self.events.insert(name.to_owned());
                }
            }
        }
        if chooses_at_run_time {
            let names = literals
                .into_iter()
                .filter(|l| l.contains('_') && l.chars().all(is_name_char));
            self.candidates.extend(names);
        }
    }
}

fn scan_sources() -> Code {
    let mut code = Code::default();
    for file in source_files(&root().join("src")) {
        code.scan(&read(&file));
    }
    code
}

/// Returns the page's section below a heading, up to the next heading of the same or a higher level.
fn section<'a>(page: &'a str, heading: &str) -> &'a str {
    let begin = page
        .find(&format!("\n{heading}\n"))
        .unwrap_or_else(|| panic!("{PAGE} has no heading {heading:?}"));
    let body = &page[begin + heading.len() + 2..];
    let level = heading.chars().take_while(|c| *c == '#').count();
    let end = (1..=level)
        .filter_map(|n| body.find(&format!("\n{} ", "#".repeat(n))))
        .min();
    &body[..end.unwrap_or(body.len())]
}

/// Returns the texts in backquotes.
fn quoted_names(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// Returns the cells of each row of a table, without the header row and the line below it.
fn rows(table: &str) -> Vec<Vec<&str>> {
    let lines = table.lines().filter(|l| l.starts_with('|')).skip(2);
    lines
        .map(|l| l.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}

/// Returns the name in a cell. Panics if the cell is not one name in backquotes.
fn name_in_cell(cell: &str) -> &str {
    let inner = cell.strip_prefix('`').and_then(|c| c.strip_suffix('`'));
    inner
        .filter(|n| !n.is_empty() && n.chars().all(is_name_char))
        .unwrap_or_else(|| panic!("{PAGE}: {cell:?} is not one name in backquotes"))
}

/// Returns the events in the page's table.
fn documented_events(log: &str) -> BTreeSet<String> {
    let mut events = BTreeSet::new();
    for row in rows(section(log, "### Events")) {
        assert_eq!(
            row.len(),
            3,
            "a row must have event, level and meaning: {row:?}"
        );
        let is_new = events.insert(name_in_cell(row[0]).to_owned());
        assert!(is_new, "{} is listed twice", row[0]);
        let levels = ["info", "warn", "debug"];
        assert!(
            levels.iter().any(|l| row[1].starts_with(l)),
            "missing level: {row:?}"
        );
        assert!(!row[2].is_empty(), "missing meaning: {row:?}");
    }
    events
}

fn log_section(page: &str) -> String {
    format!("\n{}", section(page, "## Log"))
}

#[test]
fn every_event_in_the_code_is_documented() {
    let page = read(&root().join(PAGE));
    let log = log_section(&page);
    let documented = documented_events(&log);
    let code = scan_sources();
    assert!(
        code.events.len() > 50,
        "the scan found too few events: {:?}",
        code.events
    );
    let missing: Vec<_> = code.events.difference(&documented).collect();
    assert!(
        missing.is_empty(),
        "missing in {PAGE}, \"Events\": {missing:?}"
    );
    let quoted: BTreeSet<&str> = quoted_names(&log).collect();
    let unknown = code.candidates.iter();
    let unknown: Vec<_> = unknown.filter(|c| !quoted.contains(c.as_str())).collect();
    assert!(
        unknown.is_empty(),
        "chosen at run time, but neither an event nor a value in {PAGE}, \"Log\": {unknown:?}"
    );
}

#[test]
fn every_documented_event_is_in_the_code() {
    let page = read(&root().join(PAGE));
    let code = scan_sources();
    let documented = documented_events(&log_section(&page));
    let stale = documented.iter();
    let stale: Vec<_> = stale
        .filter(|e| !code.events.contains(*e) && !code.candidates.contains(*e))
        .collect();
    assert!(
        stale.is_empty(),
        "in {PAGE}, but not in the code: {stale:?}"
    );
}

#[test]
fn renamed_events_map_removed_names_to_existing_names() {
    let page = read(&root().join(PAGE));
    let log = log_section(&page);
    let documented = documented_events(&log);
    let code = scan_sources();
    let mut old_names = BTreeSet::new();
    for row in rows(section(&log, "### Renamed events")) {
        assert_eq!(row.len(), 2, "a row must have old and new name: {row:?}");
        let (old, new) = (name_in_cell(row[0]), name_in_cell(row[1]));
        assert!(old_names.insert(old), "{old} is listed twice");
        assert!(documented.contains(new), "{new} is not documented");
        assert!(!documented.contains(old), "{old} is still documented");
        assert!(!code.events.contains(old), "{old} is still logged");
    }
    assert!(!old_names.is_empty());
}

#[test]
fn scan_reads_literals_as_the_compiler_does() {
    let mut code = Code::default();
    code.scan(
        r####"
        // "event=in_a_comment"
        /* "event=in_a_block /* nested */ comment" */
        fn f<'a>(c: char) -> &'a str {
            if c == '"' || c == '\'' || c == '\\' { info!("event=after_quotes x=\"{c}\""); }
            debug!(
                "event=on_its_own_line job={}",
                1
            );
            write!(f, r#"event=raw "quoted" reason"#);
            notes.push(format!("other_event=not_one"));
            "event=last"
        }
        "####,
    );
    let events: Vec<&str> = code.events.iter().map(String::as_str).collect();
    assert_eq!(events, ["after_quotes", "last", "on_its_own_line", "raw"]);
    assert!(code.candidates.is_empty());
}

#[test]
fn scan_collects_names_chosen_at_run_time_where_the_event_is_a_placeholder() {
    for marker in ["event={event} zone={zone}", "event={} zone={}", "event="] {
        let mut code = Code::default();
        code.scan(&format!(
            r#"let event = if slow {{ "zone_slow" }} else {{ "zone_normal" }}; push(format!("{marker}"), "a b", "plain");"#
        ));
        let candidates: Vec<&str> = code.candidates.iter().map(String::as_str).collect();
        assert_eq!(candidates, ["zone_normal", "zone_slow"], "{marker}");
    }
}
