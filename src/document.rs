//! Declarations: templates with typed parameters and the services that fill them in.
//!
//! ```
//! use winchvane::document::{parse, render, Document};
//! use winchvane::yaml::Faults;
//!
//! let text = "
//! kind: Template
//! name: quote
//! version: 1
//! pool: quotes
//! parameters:
//!   adapter: {type: text}
//! service:
//!   adapter: $adapter
//!   adapter_version: 2
//! ---
//! kind: Service
//! name: taichung-quote
//! version: 1
//! workspace: taichung
//! template: quote
//! parameters: {adapter: shop-0001}
//! ";
//! let mut faults = Faults::new();
//! let documents = parse(&"quote.yaml".into(), text, &mut faults);
//! assert!(faults.is_empty());
//! let Document::Template(template) = &documents[0].document else { panic!() };
//! let Document::Service(declaration) = &documents[1].document else { panic!() };
//! let service = render(template, declaration).unwrap();
//! assert_eq!(service.adapter.unwrap().to_string(), "shop-0001@2");
//! ```

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::message::{AdapterKey, NotRepeatable, Priority, Service};
use crate::yaml::{Faults, Node, Source, Value};

const NAME_MAX_BYTES: usize = 128;
const DEADLINE_DEFAULT_MS: u32 = 30_000;
const DEADLINE_MAX_MS: u64 = 600_000;
const MAX_TOKENS_DEFAULT: u32 = 1_024;
const MAX_TOKENS_LIMIT: u64 = 131_072;

/// What an operator submits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Document {
    /// A shape that many services share.
    Template(Template),
    /// One service, made from a template.
    Service(ServiceDeclaration),
}

impl Document {
    /// `template` or `service`.
    pub fn kind(&self) -> DocumentKind {
        match self {
            Self::Template(_) => DocumentKind::Template,
            Self::Service(_) => DocumentKind::Service,
        }
    }

    /// The name, which is unique within its kind.
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Template(template) => &template.name,
            Self::Service(service) => &service.name,
        }
    }

    /// The version, which only ever rises.
    pub fn version(&self) -> u64 {
        match self {
            Self::Template(template) => template.version,
            Self::Service(service) => service.version,
        }
    }
}

/// The kinds of declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DocumentKind {
    /// A [`Template`].
    Template,
    /// A [`ServiceDeclaration`].
    Service,
}

impl fmt::Display for DocumentKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Template => "template",
            Self::Service => "service",
        })
    }
}

/// A shape that many services share, with typed parameters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Template {
    /// The unique name.
    pub name: Arc<str>,
    /// The version, which only ever rises.
    pub version: u64,
    /// The pool of endpoints that serves it.
    pub pool: Arc<str>,
    /// The parameters that a service fills in.
    pub parameters: BTreeMap<Arc<str>, Parameter>,
    /// The fields of the service, with references to parameters.
    pub fields: BTreeMap<Field, FieldValue>,
}

/// A parameter of a template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parameter {
    /// The type that a value must have.
    pub kind: ParameterKind,
    /// The value used when a service names none.
    pub default: Option<FieldValue>,
}

/// The types of parameters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ParameterKind {
    /// Any text.
    Text,
    /// A whole number.
    Integer,
    /// `true` or `false`.
    Boolean,
    /// One of the three priorities.
    Priority,
}

impl ParameterKind {
    fn expected(self) -> &'static str {
        match self {
            Self::Text => "a text",
            Self::Integer => "an integer",
            Self::Boolean => "true or false",
            Self::Priority => "interactive, standard or batch",
        }
    }

    fn accepts(self, value: &FieldValue) -> bool {
        match (self, value) {
            (Self::Text, FieldValue::Text(_))
            | (Self::Integer, FieldValue::Int(_))
            | (Self::Boolean, FieldValue::Bool(_)) => true,
            (Self::Priority, FieldValue::Text(text)) => Priority::parse(text).is_some(),
            _ => false,
        }
    }
}

/// A literal value or a reference to a parameter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FieldValue {
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// A text.
    Text(Arc<str>),
    /// A list of texts.
    Texts(Vec<Arc<str>>),
    /// The value of the named parameter, written as `$name`.
    Parameter(Arc<str>),
}

/// The fields that a template gives its services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Field {
    /// The adapter; a template without it describes a plain service.
    Adapter,
    /// The version of the adapter.
    AdapterVersion,
    /// The priority.
    Priority,
    /// The longest time that a caller waits, in milliseconds.
    DeadlineMs,
    /// The most tokens that one answer may have.
    MaxTokens,
    /// Which calls may never be repeated.
    NotRepeatable,
}

const FIELDS: [(&str, Field); 6] = [
    ("adapter", Field::Adapter),
    ("adapter_version", Field::AdapterVersion),
    ("priority", Field::Priority),
    ("deadline_ms", Field::DeadlineMs),
    ("max_tokens", Field::MaxTokens),
    ("not_repeatable", Field::NotRepeatable),
];

impl Field {
    fn name(self) -> &'static str {
        for (name, field) in FIELDS {
            if field == self {
                return name;
            }
        }
        unreachable!("every field stands in FIELDS")
    }

    fn parse(name: &str) -> Option<Self> {
        for (known, field) in FIELDS {
            if known == name {
                return Some(field);
            }
        }
        None
    }
}

/// One service as its operator declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDeclaration {
    /// The unique name, which callers give as `model`.
    pub name: Arc<str>,
    /// The version, which only ever rises.
    pub version: u64,
    /// The workspace that owns the service.
    pub workspace: Arc<str>,
    /// The template that the service fills in.
    pub template: Arc<str>,
    /// The values for the template's parameters.
    pub parameters: BTreeMap<Arc<str>, FieldValue>,
    /// True when the service is no longer served; its name and version stay taken.
    pub retired: bool,
}

/// A document and the place it was read from.
#[derive(Debug, Clone)]
pub struct Located {
    /// The file as the operator named it.
    pub file: Arc<str>,
    /// The line on which the document starts.
    pub line: usize,
    /// The document.
    pub document: Document,
}

/// Reads all documents of one file; what is wrong is added to `faults`.
pub fn parse(file: &Arc<str>, text: &str, faults: &mut Faults) -> Vec<Located> {
    let source = Source::parse(file, text, faults);
    let mut documents = Vec::new();
    for root in source.roots() {
        let Some(document) = read_document(&root, faults) else { continue };
        documents.push(Located { file: file.clone(), line: root.line(), document });
    }
    documents
}

/// Checks what only shows across documents: names given twice, templates missing, and services
/// that do not fit their template.
pub fn check_together(documents: &[Located], faults: &mut Faults) {
    let mut seen: BTreeMap<(DocumentKind, Arc<str>), &Located> = BTreeMap::new();
    for located in documents {
        let key = (located.document.kind(), located.document.name().clone());
        if let Some(first) = seen.get(&key) {
            let place = format!("{}:{}", first.file, first.line);
            let detail = format!("{} \"{}\" is already declared at {place}", key.0, key.1);
            faults.add_file(&located.file, located.line, detail);
            continue;
        }
        seen.insert(key, located);
    }
    for located in documents {
        let Document::Service(service) = &located.document else { continue };
        let key = (DocumentKind::Template, service.template.clone());
        let Some(Document::Template(template)) = seen.get(&key).map(|found| &found.document) else {
            let detail = format!("template: \"{}\" is not declared in these files", key.1);
            faults.add_file(&located.file, located.line, detail);
            continue;
        };
        let Err(problems) = render(template, service) else { continue };
        for problem in problems {
            faults.add_file(&located.file, located.line, problem);
        }
    }
}

/// Fills the template in.
///
/// # Errors
/// Every parameter that is missing, unknown or of the wrong type, and every field whose value does
/// not fit, each as one line.
pub fn render(
    template: &Template,
    declaration: &ServiceDeclaration,
) -> Result<Service, Vec<String>> {
    let mut problems = Vec::new();
    for (name, value) in &declaration.parameters {
        let Some(parameter) = template.parameters.get(name) else {
            problems.push(format!(
                "parameters.{name}: template \"{}\" has no such parameter; it has {}",
                template.name,
                list(template.parameters.keys())
            ));
            continue;
        };
        if !parameter.kind.accepts(value) {
            problems.push(format!("parameters.{name}: expected {}", parameter.kind.expected()));
        }
    }
    let mut renderer = Renderer { template, declaration, problems };
    let adapter_name = renderer.text(Field::Adapter);
    let adapter_version = renderer.int(Field::AdapterVersion, 1, u64::from(u32::MAX));
    if adapter_name.is_some() && adapter_version.is_none() {
        renderer.problem(Field::AdapterVersion, "is required beside adapter");
    }
    let priority = renderer.priority();
    let deadline_ms = renderer.int(Field::DeadlineMs, 1, DEADLINE_MAX_MS);
    let max_tokens = renderer.int(Field::MaxTokens, 1, MAX_TOKENS_LIMIT);
    let not_repeatable = renderer.not_repeatable();
    if !renderer.problems.is_empty() {
        return Err(renderer.problems);
    }
    let adapter = adapter_name.zip(adapter_version).map(|(name, version)| AdapterKey {
        name,
        version: u32::try_from(version).unwrap_or(u32::MAX),
    });
    Ok(Service {
        name: declaration.name.clone(),
        workspace: declaration.workspace.clone(),
        pool: template.pool.clone(),
        adapter,
        priority,
        deadline_ms: deadline_ms.map_or(DEADLINE_DEFAULT_MS, |value| value as u32),
        max_tokens: max_tokens.map_or(MAX_TOKENS_DEFAULT, |value| value as u32),
        not_repeatable,
    })
}

struct Renderer<'a> {
    template: &'a Template,
    declaration: &'a ServiceDeclaration,
    problems: Vec<String>,
}

impl Renderer<'_> {
    fn problem(&mut self, field: Field, detail: &str) {
        self.problems.push(format!("{}: {detail}", field.name()));
    }

    fn value(&mut self, field: Field) -> Option<FieldValue> {
        let value = self.template.fields.get(&field)?;
        let FieldValue::Parameter(name) = value else { return Some(value.clone()) };
        if let Some(given) = self.declaration.parameters.get(name) {
            return Some(given.clone());
        }
        let default =
            self.template.parameters.get(name).and_then(|parameter| parameter.default.clone());
        if default.is_none() {
            self.problems.push(format!("parameters.{name}: is required and has no default"));
        }
        default
    }

    fn text(&mut self, field: Field) -> Option<Arc<str>> {
        match self.value(field)? {
            FieldValue::Text(text) if is_name(&text) => Some(text),
            _ => {
                self.problem(field, NAME_EXPECTED);
                None
            }
        }
    }

    fn int(&mut self, field: Field, low: u64, high: u64) -> Option<u64> {
        if let FieldValue::Int(value) = self.value(field)?
            && let Ok(value) = u64::try_from(value)
            && (low..=high).contains(&value)
        {
            return Some(value);
        }
        self.problem(field, &format!("expected an integer from {low} to {high}"));
        None
    }

    fn priority(&mut self) -> Priority {
        let Some(value) = self.value(Field::Priority) else { return Priority::Standard };
        if let FieldValue::Text(text) = value
            && let Some(priority) = Priority::parse(&text)
        {
            return priority;
        }
        self.problem(Field::Priority, "expected interactive, standard or batch");
        Priority::Standard
    }

    fn not_repeatable(&mut self) -> NotRepeatable {
        match self.value(Field::NotRepeatable) {
            None | Some(FieldValue::Bool(false)) => NotRepeatable::None,
            Some(FieldValue::Bool(true)) => NotRepeatable::All,
            Some(FieldValue::Texts(calls)) => NotRepeatable::Calls(calls.into()),
            Some(_) => {
                let expected = "expected true, false or a list such as [\"POST /orders\"]";
                self.problem(Field::NotRepeatable, expected);
                NotRepeatable::None
            }
        }
    }
}

const NAME_EXPECTED: &str = "expected 1 to 128 of the characters a-z, A-Z, 0-9, '-', '_' and '.', starting with one of the \
     first three kinds";

/// True for a text that can name a document, a workspace, a pool or an adapter.
pub fn is_name(text: &str) -> bool {
    let bytes = text.as_bytes();
    let Some(first) = bytes.first() else { return false };
    if bytes.len() > NAME_MAX_BYTES || !first.is_ascii_alphanumeric() {
        return false;
    }
    for byte in bytes {
        if !byte.is_ascii_alphanumeric() && !b"-_.".contains(byte) {
            return false;
        }
    }
    true
}

fn list<'a>(names: impl Iterator<Item = &'a Arc<str>>) -> String {
    let mut text = String::new();
    for name in names {
        if !text.is_empty() {
            text.push_str(", ");
        }
        text.push_str(name);
    }
    if text.is_empty() { "none".to_owned() } else { text }
}

/// The parts of a document while it is read.
#[derive(Default)]
struct Parts<'a> {
    name: Option<Arc<str>>,
    version: Option<u64>,
    pool: Option<Arc<str>>,
    workspace: Option<Arc<str>>,
    template: Option<Arc<str>>,
    parameters: Option<Node<'a>>,
    service: Option<Node<'a>>,
    retired: bool,
}

const TEMPLATE_FIELDS: &[&str] = &["kind", "name", "version", "pool", "parameters", "service"];
const SERVICE_FIELDS: &[&str] =
    &["kind", "name", "version", "workspace", "template", "parameters", "retired"];

fn read_document(root: &Node<'_>, faults: &mut Faults) -> Option<Document> {
    let fields = root.fields(faults);
    let mut kind = None;
    for (name, node) in &fields {
        if name != "kind" {
            continue;
        }
        kind = match node.value() {
            Some(Value::Text(text)) if &*text == "Template" => Some(DocumentKind::Template),
            Some(Value::Text(text)) if &*text == "Service" => Some(DocumentKind::Service),
            _ => {
                let found = node.describe();
                faults.add(node, format!("expected Template or Service, found {found}"));
                return None;
            }
        };
    }
    let Some(kind) = kind else {
        faults.add(root, "the field kind is missing; expected Template or Service");
        return None;
    };
    let known = match kind {
        DocumentKind::Template => TEMPLATE_FIELDS,
        DocumentKind::Service => SERVICE_FIELDS,
    };
    let parts = read_parts(root, fields, known, faults);
    match kind {
        DocumentKind::Template => read_template(root, parts, faults).map(Document::Template),
        DocumentKind::Service => read_service(root, parts, faults).map(Document::Service),
    }
}

fn read_parts<'a>(
    root: &Node<'_>,
    fields: Vec<(String, Node<'a>)>,
    known: &[&str],
    faults: &mut Faults,
) -> Parts<'a> {
    let mut parts = Parts::default();
    for (name, node) in fields {
        if !known.contains(&name.as_str()) {
            faults.add(&node, format!("unknown field; expected one of {}", known.join(", ")));
            continue;
        }
        match name.as_str() {
            "name" => parts.name = read_name(&node, faults),
            "version" => parts.version = node.int(1..=u64::from(u32::MAX), faults),
            "pool" => parts.pool = read_name(&node, faults),
            "workspace" => parts.workspace = read_name(&node, faults),
            "template" => parts.template = read_name(&node, faults),
            "parameters" => parts.parameters = Some(node),
            "service" => parts.service = Some(node),
            "retired" => parts.retired = node.bool(faults).unwrap_or(false),
            _ => {}
        }
    }
    if parts.name.is_none() {
        faults.add(root, "a valid name is required");
    }
    if parts.version.is_none() {
        faults.add(root, "a valid version is required");
    }
    parts
}

fn read_name(node: &Node<'_>, faults: &mut Faults) -> Option<Arc<str>> {
    let text = node.text(faults)?;
    if !is_name(&text) {
        faults.add(node, NAME_EXPECTED);
        return None;
    }
    Some(text)
}

fn read_template(root: &Node<'_>, parts: Parts<'_>, faults: &mut Faults) -> Option<Template> {
    let mut parameters = BTreeMap::new();
    if let Some(node) = &parts.parameters {
        for (name, node) in node.fields(faults) {
            let Some(parameter) = read_parameter(&node, faults) else { continue };
            parameters.insert(Arc::from(name), parameter);
        }
    }
    let mut fields = BTreeMap::new();
    match &parts.service {
        None => faults.add(root, "the field service is missing; expected a mapping of fields"),
        Some(node) => {
            for (name, node) in node.fields(faults) {
                let Some((field, value)) = read_field(&name, &node, &parameters, faults) else {
                    continue;
                };
                fields.insert(field, value);
            }
        }
    }
    if parts.pool.is_none() {
        faults.add(root, "a valid pool is required");
    }
    Some(Template {
        name: parts.name?,
        version: parts.version?,
        pool: parts.pool?,
        parameters,
        fields,
    })
}

fn read_parameter(node: &Node<'_>, faults: &mut Faults) -> Option<Parameter> {
    let mut kind = None;
    let mut default = None;
    for (name, field) in node.fields(faults) {
        match name.as_str() {
            "type" => {
                kind = match &*field.text(faults)? {
                    "text" => Some(ParameterKind::Text),
                    "integer" => Some(ParameterKind::Integer),
                    "boolean" => Some(ParameterKind::Boolean),
                    "priority" => Some(ParameterKind::Priority),
                    other => {
                        let expected = "expected text, integer, boolean or priority";
                        faults.add(&field, format!("{expected}, found the text \"{other}\""));
                        return None;
                    }
                };
            }
            "default" => default = Some((read_literal(&field, faults)?, field)),
            _ => faults.add(&field, "unknown field; expected type or default"),
        }
    }
    let Some(kind) = kind else {
        faults.add(node, "the field type is missing");
        return None;
    };
    if let Some((value, field)) = &default
        && !kind.accepts(value)
    {
        faults.add(field, format!("expected {}, found {}", kind.expected(), field.describe()));
        return None;
    }
    Some(Parameter { kind, default: default.map(|(value, _)| value) })
}

fn read_field(
    name: &str,
    node: &Node<'_>,
    parameters: &BTreeMap<Arc<str>, Parameter>,
    faults: &mut Faults,
) -> Option<(Field, FieldValue)> {
    let Some(field) = Field::parse(name) else {
        let known = FIELDS.map(|(name, _)| name).join(", ");
        faults.add(node, format!("unknown field; expected one of {known}"));
        return None;
    };
    let value = read_literal(node, faults)?;
    if let FieldValue::Text(text) = &value
        && let Some(parameter) = text.strip_prefix('$')
    {
        if !parameters.contains_key(parameter) {
            let known = list(parameters.keys());
            faults.add(node, format!("no parameter is named \"{parameter}\"; known: {known}"));
            return None;
        }
        return Some((field, FieldValue::Parameter(parameter.into())));
    }
    Some((field, value))
}

fn read_literal(node: &Node<'_>, faults: &mut Faults) -> Option<FieldValue> {
    match node.value() {
        Some(Value::Bool(value)) => Some(FieldValue::Bool(value)),
        Some(Value::Int(value)) => Some(FieldValue::Int(value)),
        Some(Value::Text(text)) => Some(FieldValue::Text(text)),
        Some(Value::Float(_)) => {
            faults.add(node, "expected an integer, a text, a boolean or a list of texts");
            None
        }
        None => Some(FieldValue::Texts(node.texts(faults))),
    }
}

fn read_service(
    root: &Node<'_>,
    parts: Parts<'_>,
    faults: &mut Faults,
) -> Option<ServiceDeclaration> {
    let mut parameters = BTreeMap::new();
    if let Some(node) = &parts.parameters {
        for (name, node) in node.fields(faults) {
            let Some(value) = read_literal(&node, faults) else { continue };
            parameters.insert(Arc::from(name), value);
        }
    }
    if parts.workspace.is_none() {
        faults.add(root, "a valid workspace is required");
    }
    if parts.template.is_none() {
        faults.add(root, "a valid template is required");
    }
    Some(ServiceDeclaration {
        name: parts.name?,
        version: parts.version?,
        workspace: parts.workspace?,
        template: parts.template?,
        parameters,
        retired: parts.retired,
    })
}

/// What is wrong with a declaration that did not come through [`parse`].
pub fn validate(document: &Document) -> Vec<String> {
    let mut problems = Vec::new();
    let mut check = |field: &str, text: &str| {
        if !is_name(text) {
            problems.push(format!("{field}: \"{text}\" is not a name; {NAME_EXPECTED}"));
        }
    };
    check("name", document.name());
    match document {
        Document::Template(template) => check("pool", &template.pool),
        Document::Service(service) => {
            check("workspace", &service.workspace);
            check("template", &service.template);
        }
    }
    if document.version() == 0 {
        problems.push(format!("{}: version: expected an integer from 1", document.name()));
    }
    problems
}

/// The declaration as an operator writes it, for output that can be applied again.
pub fn to_declaration(document: &Document) -> serde_json::Value {
    use serde_json::{Map, Value};
    let mut declaration = Map::new();
    let mut put = |name: &str, value: Value| {
        declaration.insert(name.to_owned(), value);
    };
    match document {
        Document::Template(template) => {
            put("kind", "Template".into());
            put("name", template.name.as_ref().into());
            put("version", template.version.into());
            put("pool", template.pool.as_ref().into());
            let mut parameters = Map::new();
            for (name, parameter) in &template.parameters {
                parameters.insert(name.to_string(), parameter.to_declaration());
            }
            put("parameters", parameters.into());
            let mut fields = Map::new();
            for (field, value) in &template.fields {
                fields.insert(field.name().to_owned(), value.to_declaration());
            }
            put("service", fields.into());
        }
        Document::Service(service) => {
            put("kind", "Service".into());
            put("name", service.name.as_ref().into());
            put("version", service.version.into());
            put("workspace", service.workspace.as_ref().into());
            put("template", service.template.as_ref().into());
            let mut parameters = Map::new();
            for (name, value) in &service.parameters {
                parameters.insert(name.to_string(), value.to_declaration());
            }
            put("parameters", parameters.into());
            if service.retired {
                put("retired", true.into());
            }
        }
    }
    declaration.into()
}

impl Parameter {
    fn to_declaration(&self) -> serde_json::Value {
        let mut value = serde_json::json!({"type": self.kind});
        if let Some(default) = &self.default {
            value["default"] = default.to_declaration();
        }
        value
    }
}

impl FieldValue {
    fn to_declaration(&self) -> serde_json::Value {
        match self {
            Self::Bool(value) => (*value).into(),
            Self::Int(value) => (*value).into(),
            Self::Text(text) => text.as_ref().into(),
            Self::Texts(texts) => texts.iter().map(ToString::to_string).collect(),
            Self::Parameter(name) => format!("${name}").into(),
        }
    }
}
