//! Settings are checked whole: all faults at once, each with line, field and what was expected.

use std::path::Path;

use winchvane::settings::{ControlSettings, GatewaySettings, load};
use yare::parameterized;

const GATEWAY: &str = "\
name: gateway-1
zone: zone-a
listen_callers: 127.0.0.1:8080
listen_peers: 127.0.0.1:7201
listen_admin: 127.0.0.1:7202
control: [\"127.0.0.1:7101\"]
";

fn faults_of(text: &str) -> Vec<String> {
    match GatewaySettings::parse(&"g.yaml".into(), text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn the_least_settings_are_enough() {
    assert_eq!(faults_of(GATEWAY), [""; 0]);
}

#[parameterized(
    unknown_field = { "lisen: 1", "g.yaml:7: lisen: unknown field; expected one of" },
    wrong_unit = { "lease: {renew_s: 1}", "g.yaml:7: lease.renew_s: unknown field; expected one of freshness_ms, lease_ms, margin_ms, renew_ms" },
    out_of_range = { "retry: {attempts: 0}", "g.yaml:7: retry.attempts: expected an integer from 1 to 20, found the integer 0" },
    wrong_type = { "policy: {aging_ms: soon}", "g.yaml:7: policy.aging_ms: expected an integer from 1 to 600000, found the text \"soon\"" },
    lease_too_short = { "lease: {renew_ms: 2000}", "g.yaml:7: lease: lease_ms must be at least twice renew_ms plus margin_ms" },
    bad_address = { "metrics_address: localhost", "g.yaml:7: metrics_address: expected an address such as" },
)]
fn faults_are_named(line: &str, expected: &str) {
    let faults = faults_of(&format!("{GATEWAY}{line}\n"));
    assert!(faults.len() == 1 && faults[0].starts_with(expected), "{faults:#?}");
}

#[test]
fn all_faults_are_listed_at_once() {
    let text = GATEWAY.replace("zone: zone-a\n", "").replace(":7202", ":7201") + "extra: 1\n";
    let faults = faults_of(&text);
    assert!(faults.iter().any(|fault| fault.contains("the field zone is missing")), "{faults:#?}");
    assert!(faults.iter().any(|fault| fault.contains("extra: unknown field")), "{faults:#?}");
    let text = GATEWAY.replace(":7202", ":7201") + "extra: 1\n";
    let faults = faults_of(&text);
    assert!(faults.iter().any(|fault| fault.contains("both use port 7201")), "{faults:#?}");
    assert_eq!(faults.len(), 2, "{faults:#?}");
}

#[test]
fn the_examples_are_valid() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    for user in ["jinfeng", "himal"] {
        let folder = examples.join(user).join("settings");
        load(&folder.join("gateway.yaml"), GatewaySettings::parse).expect("gateway settings");
        load(&folder.join("control.yaml"), ControlSettings::parse).expect("control settings");
        let declarations = [examples.join(user).join("declarations")];
        winchvane::operator::read_declarations(&declarations).expect("declarations");
    }
}

/// Every setting that the reader knows stands on the page for operators.
#[test]
fn every_setting_is_documented() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/SETTINGS.md")).expect("the page exists");
    let mut source = String::new();
    for file in ["reader.rs", "control.rs", "gateway.rs"] {
        let path = root.join("src/settings").join(file);
        source.push_str(&std::fs::read_to_string(path).expect("the source exists"));
    }
    let calls =
        ["int_or(", "number_or(", "text_or(", "name(", "address(", "optional(", "required("];
    for call in calls {
        for (position, _) in source.match_indices(call) {
            let rest = source[position + call.len()..].trim_start();
            let Some(rest) = rest.strip_prefix('"') else { continue };
            let name = rest.split('"').next().unwrap_or_default();
            assert!(page.contains(&format!("`{name}`")), "docs/SETTINGS.md lacks `{name}`");
        }
    }
}
