//! The declarations of operators: templates with typed parameters, and services that give values for
//! the parameters of a template.
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

mod read;
mod render;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::message::Priority;

pub use read::{LocatedDocument, check_consistency, parse};
pub use render::render;

/// A declaration of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Document {
    /// A template shared by many services.
    Template(Template),
    /// One service, made from a template.
    Service(ServiceDeclaration),
}

impl Document {
    /// The kind of the declaration.
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

    /// The version, which every change must raise.
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

/// The fields that many services share, with typed parameters for those that differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Template {
    /// The unique name.
    pub name: Arc<str>,
    /// The version, which every change must raise.
    pub version: u64,
    /// The pool of endpoints that run the services.
    pub pool: Arc<str>,
    /// The parameters, for which a service gives values.
    pub parameters: BTreeMap<Arc<str>, Parameter>,
    /// The fields of a service, as values or references to parameters.
    pub fields: BTreeMap<Field, FieldValue>,
}

/// A parameter of a template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parameter {
    /// The type of its values.
    pub kind: ParameterKind,
    /// The value used if a service gives none.
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

/// A field of a service, which its template sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Field {
    /// The adapter; without an adapter, the service is a plain service.
    Adapter,
    /// The version of the adapter.
    AdapterVersion,
    /// The priority.
    Priority,
    /// The longest time that a caller waits for an answer, in milliseconds.
    DeadlineMs,
    /// The maximum number of tokens of an answer.
    MaxTokens,
    /// The calls that must not be repeated.
    NotRepeatable,
}

const FIELD_NAMES: [(&str, Field); 6] = [
    ("adapter", Field::Adapter),
    ("adapter_version", Field::AdapterVersion),
    ("priority", Field::Priority),
    ("deadline_ms", Field::DeadlineMs),
    ("max_tokens", Field::MaxTokens),
    ("not_repeatable", Field::NotRepeatable),
];

impl Field {
    fn name(self) -> &'static str {
        for (name, field) in FIELD_NAMES {
            if field == self {
                return name;
            }
        }
        unreachable!("FIELD_NAMES contains every field")
    }

    fn parse(name: &str) -> Option<Self> {
        for (known, field) in FIELD_NAMES {
            if known == name {
                return Some(field);
            }
        }
        None
    }
}

/// A service as declared by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDeclaration {
    /// The unique name, which callers send as `model`.
    pub name: Arc<str>,
    /// The version, which every change must raise.
    pub version: u64,
    /// The workspace that owns the service.
    pub workspace: Arc<str>,
    /// The name of the service's template.
    pub template: Arc<str>,
    /// The values for the template's parameters.
    pub parameters: BTreeMap<Arc<str>, FieldValue>,
    /// True if the service is no longer served; its name and version remain reserved.
    pub retired: bool,
}

const NAME_MAX_BYTES: usize = 128;
const NAME_EXPECTED: &str = "expected 1 to 128 of the characters a-z, A-Z, 0-9, '-', '_' and '.', starting with one of the \
     first three kinds";

/// True if `text` is a valid name of a document, a workspace, a pool or an adapter.
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

/// The names separated by commas, or `none`.
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

/// Checks a declaration that was not read by [`parse`], and returns its problems.
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

/// Converts a declaration to the format that [`parse`] reads, so that the output can be applied again.
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
