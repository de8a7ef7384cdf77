//! Settings are fully checked: all faults are reported at once, each with line, field and expected
//! value.

use std::collections::BTreeMap;
use std::path::Path;

use winchvane::settings::{ControlSettings, GatewaySettings, RelaySettings, load};
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
fn required_settings_are_sufficient() {
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
fn faults_of_a_gateway_are_reported(line: &str, expected: &str) {
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

const CONTROL: &str = "\
name: control-1
zone: zone-a
region: here
listen_peers: 127.0.0.1:7101
listen_admin: 127.0.0.1:7102
data_folder: data
";
const STORE: &str = "store: {loads_per_s: 9, concurrent_loads: 4}\n";
const REPLICAS: &str = "replicas: [{name: control-1, address: \"127.0.0.1:7101\"}]\n";
const SEEDS: &str = "seeds: {addresses: [\"127.0.0.1:7101\"]}\n";
const RELAY: &str = "\
name: relay-1
zone: zone-a
listen_clients: 127.0.0.1:8080
listen_ready: 127.0.0.1:8081
listen_admin: 127.0.0.1:8082
";

#[parameterized(
    control_unit = { "timing: {election_s: 1}", "c.yaml:9: timing.election_s: unknown field; expected one of election_ms, heartbeat_ms" },
    control_range = { "placement: {store_share: 2}", "c.yaml:9: placement.store_share: expected a number from 0.01 to 1, found the integer 2" },
    control_pool = { "platform_address: 127.0.0.1:1\npools: [{name: a, kind: fast, checks_epoch: true}]", "c.yaml:10: pools.0.kind: expected" },
)]
fn faults_of_control_are_reported(line: &str, expected: &str) {
    let text = format!("{CONTROL}{STORE}{REPLICAS}{line}\n");
    let faults =
        ControlSettings::parse(&"c.yaml".into(), &text).expect_err("the settings are refused");
    assert!(faults.len() == 1 && faults[0].to_string().starts_with(expected), "{faults:#?}");
}

#[parameterized(
    unknown = { "zones: 3", "r.yaml:7: zones: unknown field; expected one of" },
    range = { "retry: {window_ms: 1}", "r.yaml:7: retry.window_ms: expected an integer from 100 to 3600000, found the integer 1" },
    port = { "metrics_address: nowhere", "r.yaml:7: metrics_address: expected an address such as" },
)]
fn faults_of_a_relay_are_reported(line: &str, expected: &str) {
    let text = format!("{RELAY}{SEEDS}{line}\n");
    let faults =
        RelaySettings::parse(&"r.yaml".into(), &text).expect_err("the settings are refused");
    assert!(faults.len() == 1 && faults[0].to_string().starts_with(expected), "{faults:#?}");
}

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/SETTINGS.md");
    std::fs::read_to_string(path).expect("the page exists")
}

/// The part of the page under the heading that contains `title`.
fn part<'a>(page: &'a str, title: &str) -> &'a str {
    let found = page.split("\n## ").find(|part| part.lines().next().unwrap_or("").contains(title));
    found.unwrap_or_else(|| panic!("docs/SETTINGS.md has no part {title}"))
}

/// Each setting that the code reads is documented in the part of docs/SETTINGS.md on its process.
#[parameterized(
    shared = { "reader.rs", "Both processes" },
    control = { "control.rs", "winchvane-control" },
    gateway = { "gateway.rs", "winchvane-gateway" },
    relay = { "relay.rs", "winchvane-platform-gateway" },
)]
fn every_setting_is_documented(file: &str, title: &str) {
    let page = page();
    let part = part(&page, title);
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/settings").join(file);
    let source = std::fs::read_to_string(path).expect("the source exists");
    let calls = [
        "int_or(",
        "number_or(",
        "text_or(",
        "bool_or(",
        "name(",
        "address(",
        "optional(",
        "required(",
        "section(",
    ];
    let mut checked = 0;
    for call in calls {
        for (position, _) in source.match_indices(call) {
            let rest = source[position + call.len()..].trim_start();
            let Some(rest) = rest.strip_prefix('"') else { continue };
            let name = rest.split('"').next().unwrap_or_default();
            assert!(part.contains(&format!("`{name}`")), "{title} lacks `{name}`");
            checked += 1;
        }
    }
    assert!(checked > 3, "{checked} settings found in {file}");
}

/// The settings in a part of the page whose default is a literal value, as section (empty for the top
/// level), name and default.
fn defaults(part: &str) -> Vec<(String, String, String)> {
    let mut section = String::new();
    let mut found = Vec::new();
    for line in part.lines() {
        if !line.starts_with('|') {
            // A line such as "Retries, below `retry`:" names the section of the table below it.
            if let Some((_, rest)) = line.split_once("below `") {
                rest.split('`').next().unwrap_or_default().clone_into(&mut section);
            }
            continue;
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let (Some(name), Some(value)) = (cells.get(1), cells.get(2)) else { continue };
        let value = value.trim_matches('`');
        let is_value = value.parse::<f64>().is_ok()
            || matches!(value, "true" | "false" | "info" | "winchvane");
        if !is_value || name.contains("(of ") {
            continue;
        }
        let below = name.split_once("(below `").and_then(|(_, rest)| rest.split('`').next());
        let section = below.unwrap_or(&section).to_owned();
        let name = name.split('`').nth(1).unwrap_or_default();
        found.push((section, name.to_owned(), value.to_owned()));
    }
    found
}

/// `base` with the documented defaults appended, except those of the section `skipped`. Sections with
/// required fields get these too.
fn with_defaults(base: &str, rows: &[(String, String, String)], skipped: &str) -> String {
    let mut sections: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for (section, name, value) in rows {
        if section != skipped {
            sections.entry(section).or_default().push(format!("{name}: {value}"));
        }
    }
    let mut parts = vec![base.to_owned()];
    for (section, mut fields) in sections {
        match section {
            "seeds" => fields.push("addresses: [\"127.0.0.1:7101\"]".into()),
            "store" => fields.push("loads_per_s: 9, concurrent_loads: 4".into()),
            _ => {}
        }
        if section.is_empty() {
            parts.push(format!("{}\n", fields.join("\n")));
        } else {
            parts.push(format!("{section}: {{{}}}\n", fields.join(", ")));
        }
    }
    parts.concat()
}

/// The documented defaults are those of the code: adding them to a file changes nothing.
#[test]
fn documented_defaults_are_those_of_the_code() {
    let page = page();
    let shared = defaults(part(&page, "Both processes"));
    let file = "s.yaml".into();

    let mut rows = defaults(part(&page, "winchvane-gateway"));
    assert!(rows.len() > 30, "{} rows", rows.len());
    rows.extend(shared.clone());
    let explicit =
        GatewaySettings::parse(&file, &with_defaults(GATEWAY, &rows, "")).expect("gateway");
    let plain = GatewaySettings::parse(&file, GATEWAY).expect("gateway");
    assert_eq!(format!("{explicit:#?}"), format!("{plain:#?}"));

    let mut rows = defaults(part(&page, "winchvane-control"));
    assert!(rows.len() > 12, "{} rows", rows.len());
    rows.extend(shared);
    for (seeds, skipped) in [(REPLICAS, "seeds"), (SEEDS, "")] {
        let base =
            if skipped.is_empty() { CONTROL.to_owned() } else { format!("{CONTROL}{seeds}") };
        let explicit = ControlSettings::parse(&file, &with_defaults(&base, &rows, skipped));
        let plain =
            ControlSettings::parse(&file, &format!("{CONTROL}{STORE}{seeds}")).expect("control");
        assert_eq!(format!("{:#?}", explicit.expect("control")), format!("{plain:#?}"));
    }

    let rows = defaults(part(&page, "winchvane-platform-gateway"));
    assert!(rows.len() > 5, "{} rows", rows.len());
    let base = format!("{RELAY}{SEEDS}");
    let explicit =
        RelaySettings::parse(&file, &with_defaults(&base, &rows, "seeds")).expect("relay");
    let plain = RelaySettings::parse(&file, &base).expect("relay");
    assert_eq!(format!("{explicit:#?}"), format!("{plain:#?}"));
}
