//! Declarations of operators: each mistake is reported with file, line, field and expected value, and
//! a set of declarations is applied as a whole or not at all.

use std::sync::Arc;

use winchvane::control::config::Config;
use winchvane::document::{Document, check_consistency, parse, render, to_declaration};
use winchvane::message::{Change, NotRepeatable, Verdict};
use winchvane::operator::to_yaml;
use winchvane::yaml::Faults;
use yare::parameterized;

const TEMPLATE: &str = "\
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
";

const SERVICE: &str = "\
kind: Service
name: taichung
version: 1
workspace: shops
template: quote
parameters: {adapter: shop}
";

fn faults_of(text: &str) -> Vec<String> {
    let mut faults = Faults::new();
    let documents = parse(&"d.yaml".into(), text, &mut faults);
    check_consistency(&documents, &mut faults);
    faults.into_vec().iter().map(ToString::to_string).collect()
}

fn read(text: &str) -> Vec<Document> {
    let mut faults = Faults::new();
    let documents = parse(&"d.yaml".into(), text, &mut faults);
    assert!(faults.is_empty(), "{:?}", faults.into_vec());
    documents.into_iter().map(|located| located.document).collect()
}

#[parameterized(
    unknown_kind = { "kind: Tempalte\n", "d.yaml:1: kind: expected Template or Service, found the text \"Tempalte\"" },
    no_kind = { "name: x\n", "d.yaml:1: the field kind is missing; expected Template or Service" },
    not_yaml = { "kind: [\n", "d.yaml:2: not YAML" },
    bad_version = { "kind: Service\nname: a\nversion: new\nworkspace: w\ntemplate: t\n", "d.yaml:3: version: expected an integer from 1 to 4294967295, found the text \"new\"" },
    bad_name = { "kind: Service\nname: \"a b\"\nversion: 1\nworkspace: w\ntemplate: t\n", "d.yaml:2: name: expected 1 to 128 of the characters" },
    unknown_template = { SERVICE, "d.yaml:1: template: \"quote\" is not declared in these files" },
    unknown_field = { "kind: Template\nname: a\nversion: 1\npool: p\nservice:\n  adaptor: x\n", "d.yaml:6: service.adaptor: unknown field; expected one of adapter, adapter_version" },
    unknown_parameter = { "kind: Template\nname: a\nversion: 1\npool: p\nservice:\n  adapter: $adapter\n", "d.yaml:6: service.adapter: no parameter is named \"adapter\"; known: none" },
    bad_default = { "kind: Template\nname: a\nversion: 1\npool: p\nparameters:\n  n: {type: integer, default: x}\nservice: {}\n", "d.yaml:6: parameters.n.default: expected an integer, found the text \"x\"" },
)]
fn mistakes_are_reported_with_their_position(text: &str, expected: &str) {
    let faults = faults_of(text);
    assert!(faults.iter().any(|fault| fault.starts_with(expected)), "{faults:#?}");
}

#[parameterized(
    missing = { "{}", "parameters.adapter: is required and has no default" },
    wrong_type = { "{adapter: 3}", "parameters.adapter: expected a text" },
    unknown = { "{adapter: a, colour: red}", "parameters.colour: template \"quote\" has no such parameter; it has adapter, priority" },
    bad_priority = { "{adapter: a, priority: urgent}", "parameters.priority: expected interactive, standard or batch" },
)]
fn services_must_fit_their_template(parameters: &str, expected: &str) {
    let service = SERVICE.replace("{adapter: shop}", parameters);
    let faults = faults_of(&format!("{TEMPLATE}---\n{service}"));
    assert!(faults.iter().any(|fault| fault.contains(expected)), "{faults:#?}");
}

#[test]
fn all_mistakes_are_listed_at_once() {
    let text = "kind: Template\nname: a\nversion: 0\npool: 7\nservice: {colour: red}\n";
    assert!(faults_of(text).len() >= 3);
}

#[test]
fn duplicate_names_are_reported() {
    let faults = faults_of(&format!("{TEMPLATE}---\n{TEMPLATE}"));
    assert_eq!(faults, ["d.yaml:14: template \"quote\" is already declared at d.yaml:1"]);
}

#[test]
fn printed_declarations_are_read_unchanged() {
    let documents = read(&format!("{TEMPLATE}---\n{SERVICE}"));
    let mut text = String::new();
    for document in &documents {
        text.push_str(&to_yaml(&to_declaration(document)));
    }
    assert_eq!(read(&text), documents);
}

#[parameterized(
    same = { "POST", "/orders", true },
    below = { "post", "/orders/7", true },
    query = { "POST", "/orders?x=1", true },
    longer_name = { "POST", "/orders-list", false },
    other_method = { "GET", "/orders", false },
    other_path = { "POST", "/stock", false },
)]
fn calls_that_may_not_be_repeated(method: &str, path: &str, expected: bool) {
    let calls: Arc<[Arc<str>]> = Arc::new(["POST /orders".into()]);
    assert_eq!(NotRepeatable::Calls(calls).covers(method, path), expected);
    assert!(NotRepeatable::All.covers(method, path));
}

#[test]
fn a_changed_template_changes_its_services() {
    let mut config = Config::default();
    let documents = read(&format!("{TEMPLATE}---\n{SERVICE}"));
    let (reply, changes) = config.apply(1, documents, false);
    assert!(reply.accepted);
    assert_eq!(changes.len(), 1);
    let newer = TEMPLATE.replace("version: 1", "version: 2").replace("_version: 2", "_version: 5");
    let (reply, changes) = config.apply(2, read(&newer), false);
    assert!(reply.accepted);
    let [Change::Service(service)] = changes.as_slice() else { panic!("{changes:?}") };
    assert_eq!(service.adapter.as_ref().map(ToString::to_string).as_deref(), Some("shop@5"));
}

#[test]
fn a_set_with_a_template_that_breaks_its_services_is_refused() {
    let mut config = Config::default();
    config.apply(1, read(&format!("{TEMPLATE}---\n{SERVICE}")), false);
    let broken = "kind: Template\nname: quote\nversion: 2\npool: p\nservice: {}\n";
    let other = SERVICE.replace("taichung", "hsinchu");
    let (reply, changes) = config.apply(2, read(&format!("{broken}---\n{other}")), false);
    assert!(!reply.accepted);
    assert!(changes.is_empty());
    assert!(matches!(&reply.verdicts[0].verdict, Verdict::Invalid { .. }));
    assert_eq!(config.services().len(), 1, "no declaration of a refused set takes effect");
}

#[test]
fn a_retired_service_keeps_its_version() {
    let mut config = Config::default();
    config.apply(1, read(&format!("{TEMPLATE}---\n{SERVICE}")), false);
    let retired = format!("{}retired: true\n", SERVICE.replace("version: 1", "version: 2"));
    let (_, changes) = config.apply(2, read(&retired), false);
    assert!(matches!(changes.as_slice(), [Change::ServiceRetired(_)]));
    let (reply, _) = config.apply(3, read(SERVICE), false);
    assert!(!reply.accepted, "an old version does not restore the service");
}

#[test]
fn rendering_applies_defaults() {
    let documents = read(&format!("{TEMPLATE}---\n{SERVICE}"));
    let [Document::Template(template), Document::Service(service)] = documents.as_slice() else {
        panic!("{documents:?}")
    };
    let service = render(template, service).expect("the service fits");
    assert_eq!(service.priority, winchvane::message::Priority::Interactive);
    assert!(service.not_repeatable.covers("POST", "/orders"));
}
