//! Reads declarations from YAML and reports each mistake with its file, line and field.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::document::{
    Document, DocumentKind, FIELD_NAMES, Field, FieldValue, NAME_EXPECTED, Parameter,
    ParameterKind, ServiceDeclaration, Template, is_name, list, render,
};
use crate::yaml::{Faults, Node, ParsedFile, Value};

/// A document and the position it was read from.
#[derive(Debug, Clone)]
pub struct LocatedDocument {
    /// The path of the file as the operator gave it.
    pub file: Arc<str>,
    /// The line on which the document starts.
    pub line: usize,
    /// The document.
    pub document: Document,
}

/// Reads all documents of a file, and adds the mistakes in it to `faults`.
pub fn parse(file: &Arc<str>, text: &str, faults: &mut Faults) -> Vec<LocatedDocument> {
    let parsed = ParsedFile::parse(file, text, faults);
    let mut documents = Vec::new();
    for root in parsed.roots() {
        let Some(document) = read_document(&root, faults) else { continue };
        documents.push(LocatedDocument { file: file.clone(), line: root.line(), document });
    }
    documents
}

/// Checks the documents against each other: reports names that are declared twice, templates that are
/// missing, and services that do not fit their template.
pub fn check_consistency(documents: &[LocatedDocument], faults: &mut Faults) {
    let mut seen: BTreeMap<(DocumentKind, Arc<str>), &LocatedDocument> = BTreeMap::new();
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

/// The fields of a document of either kind.
#[derive(Default)]
struct RawDocument<'a> {
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
    let raw = read_raw(root, fields, known, faults);
    match kind {
        DocumentKind::Template => read_template(root, raw, faults).map(Document::Template),
        DocumentKind::Service => read_service(root, raw, faults).map(Document::Service),
    }
}

fn read_raw<'a>(
    root: &Node<'_>,
    fields: Vec<(String, Node<'a>)>,
    known: &[&str],
    faults: &mut Faults,
) -> RawDocument<'a> {
    let mut raw = RawDocument::default();
    for (name, node) in fields {
        if !known.contains(&name.as_str()) {
            faults.add(&node, format!("unknown field; expected one of {}", known.join(", ")));
            continue;
        }
        match name.as_str() {
            "name" => raw.name = read_name(&node, faults),
            "version" => raw.version = node.int(1..=u64::from(u32::MAX), faults),
            "pool" => raw.pool = read_name(&node, faults),
            "workspace" => raw.workspace = read_name(&node, faults),
            "template" => raw.template = read_name(&node, faults),
            "parameters" => raw.parameters = Some(node),
            "service" => raw.service = Some(node),
            "retired" => raw.retired = node.bool(faults).unwrap_or(false),
            _ => {}
        }
    }
    if raw.name.is_none() {
        faults.add(root, "a valid name is required");
    }
    if raw.version.is_none() {
        faults.add(root, "a valid version is required");
    }
    raw
}

fn read_name(node: &Node<'_>, faults: &mut Faults) -> Option<Arc<str>> {
    let text = node.text(faults)?;
    if !is_name(&text) {
        faults.add(node, NAME_EXPECTED);
        return None;
    }
    Some(text)
}

fn read_template(root: &Node<'_>, raw: RawDocument<'_>, faults: &mut Faults) -> Option<Template> {
    let mut parameters = BTreeMap::new();
    if let Some(node) = &raw.parameters {
        for (name, node) in node.fields(faults) {
            let Some(parameter) = read_parameter(&node, faults) else { continue };
            parameters.insert(Arc::from(name), parameter);
        }
    }
    let mut fields = BTreeMap::new();
    match &raw.service {
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
    if raw.pool.is_none() {
        faults.add(root, "a valid pool is required");
    }
    Some(Template { name: raw.name?, version: raw.version?, pool: raw.pool?, parameters, fields })
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
        faults.add(node, "the field type is missing; expected text, integer, boolean or priority");
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
        let known = FIELD_NAMES.map(|(name, _)| name).join(", ");
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
    raw: RawDocument<'_>,
    faults: &mut Faults,
) -> Option<ServiceDeclaration> {
    let mut parameters = BTreeMap::new();
    if let Some(node) = &raw.parameters {
        for (name, node) in node.fields(faults) {
            let Some(value) = read_literal(&node, faults) else { continue };
            parameters.insert(Arc::from(name), value);
        }
    }
    if raw.workspace.is_none() {
        faults.add(root, "a valid workspace is required");
    }
    if raw.template.is_none() {
        faults.add(root, "a valid template is required");
    }
    Some(ServiceDeclaration {
        name: raw.name?,
        version: raw.version?,
        workspace: raw.workspace?,
        template: raw.template?,
        parameters,
        retired: raw.retired,
    })
}
