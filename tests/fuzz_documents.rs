//! Declarations, settings and routes with arbitrary content: mistakes are reported with their position,
//! and valid content is read as it was written.

#[path = "common/fuzz.rs"]
mod fuzz;

use std::collections::HashSet;
use std::sync::Arc;

use fuzz::check;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::TestCaseResult;
use winchvane::document::{
    Document, FieldValue, ServiceDeclaration, check_consistency, parse, to_declaration,
};
use winchvane::message::WeightsName;
use winchvane::operator::to_yaml;
use winchvane::relay::{PrefixCache, PromptChain, PromptPart};
use winchvane::routing::{
    Repeat, RequestLimits, Route, RouteTable, RoutingConfiguration, ServiceSpec, Target,
};
use winchvane::settings::{ControlSettings, GatewaySettings, RelaySettings};
use winchvane::yaml::{Fault, Faults};

/// The number of parts of a prompt that are considered.
const PARTS_MAX: usize = 64;
/// The smallest number of tokens that a part counts as.
const PART_TOKENS_MIN: u64 = 16;

const DECLARATIONS: &str = "\
kind: Template
name: quote
version: 1
pool: quotes
parameters:
  adapter: {type: text}
  priority: {type: priority, default: interactive}
service:
  adapter: $adapter
  adapter_version: 2
  priority: $priority
  not_repeatable: [\"POST /orders\"]
---
kind: Service
name: taichung
version: 1
workspace: shops
template: quote
parameters: {adapter: shop}
";

/// Fragments that have a meaning in YAML or in declarations.
const PIECES: [&str; 32] = [
    "kind: ",
    "Template",
    "Service",
    "name: ",
    "version: ",
    "- ",
    "\n",
    "\n  ",
    "\n    ",
    ": ",
    "{",
    "}",
    "[",
    "]",
    ", ",
    "&a ",
    "*a",
    "!!str ",
    "|",
    ">",
    "---\n",
    "...\n",
    "\"",
    "'",
    "$adapter",
    "99999999999999999999",
    "-1",
    ".nan",
    "1e999",
    "#",
    "\t",
    "~",
];

/// Texts that YAML reads differently without quotes.
const SPECIAL: &[&str] =
    &["true", "~", "null", "1", "1e3", ".inf", "-", "", " a", "a: b", "#", "'", "\"", "$a"];

fn yaml() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        8 => select(PIECES.as_slice()).prop_map(str::to_owned),
        1 => "\\PC{0,6}",
    ];
    vec(piece, 0..60).prop_map(|pieces| pieces.concat())
}

/// `text` with some ranges replaced by fragments.
fn changed(text: &str, changes: &[(Index, usize, String)]) -> String {
    let mut letters: Vec<char> = text.chars().collect();
    for (at, removed, piece) in changes {
        let from = at.index(letters.len() + 1);
        let to = (from + removed).min(letters.len());
        letters.splice(from..to, piece.chars());
    }
    letters.into_iter().collect()
}

fn changes() -> impl Strategy<Value = Vec<(Index, usize, String)>> {
    let piece = select(PIECES.as_slice()).prop_map(str::to_owned);
    vec((any::<Index>(), 0..6_usize, piece), 1..4)
}

fn read(text: &str) -> (Vec<Document>, Vec<Fault>) {
    let mut faults = Faults::new();
    let located = parse(&"d.yaml".into(), text, &mut faults);
    check_consistency(&located, &mut faults);
    (located.into_iter().map(|located| located.document).collect(), faults.into_vec())
}

fn read_all(text: &str) -> TestCaseResult {
    let file: Arc<str> = "s.yaml".into();
    let lines = text.lines().count();
    let settings = [
        GatewaySettings::parse(&file, text).err(),
        ControlSettings::parse(&file, text).err(),
        RelaySettings::parse(&file, text).err(),
    ];
    let mut faults = read(text).1;
    faults.extend(settings.into_iter().flatten().flatten());
    for fault in faults {
        prop_assert!(!fault.detail.is_empty());
        prop_assert!(fault.line <= lines + 1, "{} of {} lines", fault, lines);
    }
    Ok(())
}

#[test]
fn any_text_is_read_or_its_faults_are_reported() {
    check(prop_oneof![yaml(), "\\PC{0,80}"], |text| read_all(&text));
}

#[test]
fn changed_declarations_are_read_or_their_faults_are_reported() {
    check(changes(), |changes| read_all(&changed(DECLARATIONS, &changes)));
}

fn text() -> impl Strategy<Value = Arc<str>> {
    prop_oneof![
        select(SPECIAL).prop_map(Arc::from),
        "\\PC{0,12}".prop_map(Arc::from),
        "[a-z\n\t: ]{0,12}".prop_map(Arc::from),
    ]
}

fn service() -> impl Strategy<Value = ServiceDeclaration> {
    let value = prop_oneof![
        any::<bool>().prop_map(FieldValue::Bool),
        any::<i64>().prop_map(FieldValue::Int),
        text().prop_map(FieldValue::Text),
        vec(text(), 0..4).prop_map(FieldValue::Texts),
    ];
    let name = "[a-zA-Z0-9][a-zA-Z_.-]{0,12}[a-z]".prop_map(Arc::<str>::from).boxed();
    let names = (name.clone(), name.clone(), name);
    let parameters =
        proptest::collection::btree_map("[a-z]{1,8}_".prop_map(Arc::from), value, 0..4);
    (names, 1..=u64::from(u32::MAX), parameters, any::<bool>()).prop_map(
        |((name, workspace, template), version, parameters, retired)| ServiceDeclaration {
            name,
            version,
            workspace,
            template,
            parameters,
            retired,
        },
    )
}

#[test]
fn printed_services_are_read_unchanged() {
    check(service(), |service| {
        let document = Document::Service(service);
        let text = to_yaml(&to_declaration(&document));
        let mut faults = Faults::new();
        let parsed = parse(&"d.yaml".into(), &text, &mut faults);
        prop_assert!(faults.is_empty(), "{:?} of {}", faults.into_vec(), text);
        prop_assert_eq!(&parsed[0].document, &document);
        Ok(())
    });
}

/// Aliases within anchors must not be expanded without limit: here each anchor refers to the one before
/// nine times.
#[test]
fn anchors_within_anchors_are_refused() {
    let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x]\n".to_owned();
    for level in 1..12 {
        let inner = vec![format!("*a{}", level - 1); 9].join(", ");
        let line = format!("a{level}: &a{level} [{inner}]\n");
        text.push_str(&line);
    }
    let (documents, faults) = read(&text);
    assert!(documents.is_empty());
    assert!(faults[0].detail.contains("not YAML"), "{}", faults[0]);
}

#[test]
fn the_longest_prefix_of_a_host_is_found() {
    let prefix = "/([ab]/){0,3}";
    let routes = vec(("[xy]", prefix), 0..8);
    let target = ("[xyXYz]{1,2}(:[0-9]{0,5})?", "\\PC{0,6}|(/[ab]{0,2}){0,5}");
    check((routes, target, "\\PC{0,8}"), |(routes, (host, path), id)| {
        let table = RouteTable::new(Arc::new(configuration(&routes)));
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let mut expected: Option<&str> = None;
        for (host, prefix) in &routes {
            if *host == name && path.starts_with(prefix.as_str()) {
                expected = expected.max(Some(prefix));
            }
        }
        let found = table.find(&host, &path, &id);
        prop_assert_eq!(found.as_ref().map(|found| &*found.route.path_prefix), expected);
        Ok(())
    });
}

#[test]
fn any_host_and_path_is_looked_up() {
    let routes = vec![("h".to_owned(), "/".to_owned()), ("h".to_owned(), "/é/".to_owned())];
    let table = RouteTable::new(Arc::new(configuration(&routes)));
    check(("\\PC{0,20}", "(/|é|\\PC){0,20}", "\\PC{0,20}"), |(host, path, id)| {
        prop_assert!(table.find(&host, &path, &id).is_none() || host.starts_with(['h', 'H']));
        let found = table.find("h", &path, &id);
        prop_assert_eq!(found.is_some(), path.starts_with('/'));
        Ok(())
    });
}

fn configuration(routes: &[(String, String)]) -> RoutingConfiguration {
    let mut written = Vec::new();
    let mut seen = HashSet::new();
    for (host, prefix) in routes {
        if !seen.insert((host, prefix)) {
            continue;
        }
        written.push(Arc::new(Route {
            name: "r".into(),
            host: host.as_str().into(),
            path_prefix: prefix.as_str().into(),
            repeat: Repeat::Any,
            streams: false,
            generates: false,
            timeout_ms: 1_000,
            latency_objective_ms: 0,
            gap_objective_ms: 0,
            priority: 0,
            attempts: 1,
            targets: vec![
                Target { service: "s".into(), weight: u32::MAX },
                Target { service: "s".into(), weight: u32::MAX },
            ],
            is_public: false,
        }));
    }
    let service = ServiceSpec { name: "s".into(), connections_max: 1, engine: None };
    let limits = RequestLimits::default();
    RoutingConfiguration {
        version: 1,
        routes: written,
        services: vec![service],
        limits,
        workspaces: Vec::new(),
    }
}

#[test]
fn the_prefix_cache_is_bounded() {
    let tokens = prop_oneof![Just(0), Just(u32::MAX), 0..100_u32];
    let part = (0..200_u64, tokens).prop_map(|(id, tokens)| PromptPart { id, tokens });
    let prompts = vec((vec(part, 0..100), "[ab]"), 0..20);
    check((prompts, 0..20_000_u64), |(prompts, capacity_tokens)| {
        let mut cache = PrefixCache::new();
        for (parts, adapter) in prompts {
            let chain = PromptChain::new(&WeightsName::new("base", Some(&adapter)), &parts);
            cache.note(&chain, capacity_tokens);
            prop_assert!(cache.len() as u64 <= capacity_tokens / PART_TOKENS_MIN);
            let total: u64 = parts
                .iter()
                .take(PARTS_MAX)
                .fold(0, |sum, part| sum + u64::from(part.tokens).max(PART_TOKENS_MIN));
            prop_assert!(u64::from(cache.cached_tokens(&chain)) <= total);
            if let Some((_, shared_tokens)) = chain.shared() {
                prop_assert!(u64::from(shared_tokens) <= total);
            }
        }
        Ok(())
    });
}

/// Guards against a stack overflow: a file with some ten thousand nested lists ended the process, since
/// each level is parsed by recursion.
#[test]
fn deep_nesting_of_documents_is_refused() {
    for text in ["- ".repeat(100_000), "? ".repeat(100_000)] {
        let (documents, faults) = read(&text);
        assert!(documents.is_empty());
        assert!(faults[0].detail.contains("nested too deeply"), "{}", faults[0]);
    }
}

#[test]
fn nesting_up_to_the_limit_does_not_overflow_the_stack() {
    let mut lines = String::new();
    for column in 0..256 {
        let indent = " ".repeat(column);
        let level = format!("{indent}a:\n{indent}-\n");
        lines.push_str(&level);
    }
    for text in ["- ".repeat(128), "? ".repeat(128), "[".repeat(255), lines] {
        let (documents, faults) = read(&text);
        assert!(documents.is_empty() && !faults.is_empty());
    }
}

/// Guards against a stack overflow by aliases: a file of 11 KB without an indented line ended `winchvane
/// check` and the process that received the declaration.
///
/// The file has 28 anchors, each with 200 lists around an alias of the one before, which nest 5,600
/// levels. The YAML library copies and drops nodes by recursion, and the limit of its loader cannot be
/// set. Before the file was first read as events, a debug build failed with "thread has overflowed its
/// stack" and signal 6.
#[test]
fn deep_nesting_by_anchors_is_survived() {
    let mut text = format!("a0: &a0 {}{}\n", "[".repeat(200), "]".repeat(200));
    for level in 1..28 {
        let (open, close) = ("[".repeat(200), "]".repeat(200));
        let line = format!("a{level}: &a{level} {open}*a{}{close}\n", level - 1);
        text.push_str(&line);
    }
    let (documents, faults) = read(&text);
    assert!(documents.is_empty() && !faults.is_empty());
}

/// Guards against a wrong position: every file that nests too deeply was reported at line 1, so that
/// operators had to search long files for the cause.
#[test]
fn the_line_that_nests_too_deeply_through_anchors_is_reported() {
    let levels = |inner: &str| format!("{}{inner}{}", "[".repeat(200), "]".repeat(200));
    let text = format!("first: 1\na: &a {}\nb: 2\nc: {}\nd: 3\n", levels(""), levels("*a"));
    let (documents, faults) = read(&text);
    assert!(documents.is_empty());
    assert_eq!(faults.iter().map(|fault| fault.line).collect::<Vec<_>>(), [4], "{faults:?}");
}

/// Guards against a negative number of cached tokens: when a client sent a part of a prompt again with
/// another length, the gateway recorded the new length but did not adjust the total for the engine.
#[test]
fn a_part_sent_with_another_length_is_recounted() {
    let mut cache = PrefixCache::new();
    let weights = WeightsName::new("base", None);
    for (id, tokens, capacity_tokens) in [(49, 0, 1_000), (49, 65, 1_000), (7, 0, 16), (8, 0, 16)] {
        let chain = PromptChain::new(&weights, &[PromptPart { id, tokens }]);
        cache.note(&chain, capacity_tokens);
    }
    assert_eq!(cache.len(), 1, "only the last part fits");
}
