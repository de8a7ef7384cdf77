//! The events, metrics and commands that the operators' documentation names exist.

use std::path::{Path, PathBuf};
use std::process::Command;

use winchvane::metrics::Metrics;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Reads a page of the documentation.
fn page(name: &str) -> String {
    std::fs::read_to_string(root().join("docs").join(name)).expect("the page exists")
}

/// Appends the content of all files in `folder` and its subfolders to `text`.
fn append_sources(folder: &Path, text: &mut String) {
    let mut paths: Vec<PathBuf> = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder exists") {
        paths.push(entry.expect("an entry").path());
    }
    for path in paths {
        if path.is_dir() {
            append_sources(&path, text);
        } else {
            text.push_str(&std::fs::read_to_string(&path).expect("the source exists"));
        }
    }
}

/// Returns the words in backticks in the first column of the table under `heading`.
fn first_column(page: &str, heading: &str) -> Vec<String> {
    let section =
        page.split("\n## ").find(|part| part.starts_with(heading)).expect("the section exists");
    let mut words = Vec::new();
    for line in section.lines().filter(|line| line.starts_with("| `")) {
        let cell = line.split('|').nth(1).unwrap_or_default();
        for (position, word) in cell.split('`').enumerate() {
            if position % 2 == 1 {
                words.push(word.to_owned());
            }
        }
    }
    words
}

#[test]
fn every_documented_event_is_logged_by_the_code() {
    let mut source = String::new();
    append_sources(&root().join("src"), &mut source);
    append_sources(&root().join("platform/src"), &mut source);
    let events = first_column(&page("OPERATIONS.md"), "What the lines say");
    assert!(events.len() > 40, "{} events", events.len());
    for event in events {
        assert!(source.contains(&format!("event = \"{event}\"")), "no source file logs {event}");
    }
}

#[test]
fn every_documented_metric_is_served() {
    let text = Metrics::local().text();
    for name in ["OPERATIONS.md", "OPERATING.md"] {
        for (position, word) in page(name).split('`').enumerate() {
            if position % 2 == 0 || !word.starts_with("winchvane_") {
                continue;
            }
            let metric = word.split('{').next().unwrap_or_default();
            assert!(text.contains(&format!("# TYPE {metric} ")), "{name}: {metric} is not served");
        }
    }
}

#[test]
fn documented_commands_match_the_help_text() {
    let output = Command::new(env!("CARGO_BIN_EXE_winchvane")).arg("--help").output();
    let help = String::from_utf8(output.expect("the program runs").stdout).expect("UTF-8");
    let commands = help.split("Commands:\n").nth(1).expect("the help lists commands");
    let mut in_help = Vec::new();
    for line in commands.lines().take_while(|line| line.starts_with("  ")) {
        let command = line.split_whitespace().next().unwrap_or_default();
        if command != "help" {
            in_help.push(command.to_owned());
        }
    }
    let page = page("OPERATING.md");
    let listed = page.split("`winchvane ").find(|part| part.contains('|') && part.contains('`'));
    let listed = listed.and_then(|part| part.split('`').next()).expect("the page lists commands");
    let mut listed: Vec<&str> = listed.split('|').collect();
    listed.sort_unstable();
    in_help.sort_unstable();
    assert_eq!(in_help, listed);
    for option in ["--server", "--output"] {
        assert!(help.contains(option), "{option} is documented but missing in the help: {help}");
    }
}
