//! The text served at `/metrics`: each metric has a type line and a help line.

use winchvane::metrics::Metrics;

#[test]
fn every_metric_has_a_help_line() {
    let text = Metrics::local().text();
    let lines: Vec<&str> = text.lines().collect();
    let mut metrics = 0;
    for (position, line) in lines.iter().enumerate() {
        let Some(rest) = line.strip_prefix("# TYPE ") else { continue };
        let name = rest.split(' ').next().unwrap_or_default();
        let before = position.checked_sub(1).map_or("", |before| lines[before]);
        let help = before.strip_prefix(&format!("# HELP {name} "));
        assert!(help.is_some_and(|help| help.len() > 10), "{name} has no help line: {before:?}");
        metrics += 1;
    }
    assert!(metrics > 30, "only {metrics} metrics");
}
