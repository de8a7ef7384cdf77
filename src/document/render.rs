//! Renders services from templates: replaces references to parameters by their values and checks the
//! result.

use std::sync::Arc;

use crate::document::{
    Field, FieldValue, NAME_EXPECTED, ServiceDeclaration, Template, is_name, list,
};
use crate::message::{AdapterKey, NotRepeatable, Priority, Service};

const DEADLINE_DEFAULT_MS: u32 = 30_000;
const DEADLINE_MAX_MS: u64 = 600_000;
const MAX_TOKENS_DEFAULT: u32 = 1_024;
const MAX_TOKENS_LIMIT: u64 = 131_072;

/// Renders the service that `declaration` declares with `template`.
///
/// # Errors
/// One line for each parameter that is missing, unknown or of the wrong type, and for each field with an
/// invalid value.
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
        renderer.add_problem(Field::AdapterVersion, "is required beside adapter");
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
    fn add_problem(&mut self, field: Field, detail: &str) {
        self.problems.push(format!("{}: {detail}", field.name()));
    }

    /// The value of a field after references to parameters are replaced; `None` if the template does not
    /// set the field or a parameter without default is missing.
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

    /// The name that a field holds.
    fn text(&mut self, field: Field) -> Option<Arc<str>> {
        match self.value(field)? {
            FieldValue::Text(text) if is_name(&text) => Some(text),
            _ => {
                self.add_problem(field, NAME_EXPECTED);
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
        self.add_problem(field, &format!("expected an integer from {low} to {high}"));
        None
    }

    fn priority(&mut self) -> Priority {
        let Some(value) = self.value(Field::Priority) else { return Priority::Standard };
        if let FieldValue::Text(text) = value
            && let Some(priority) = Priority::parse(&text)
        {
            return priority;
        }
        self.add_problem(Field::Priority, "expected interactive, standard or batch");
        Priority::Standard
    }

    fn not_repeatable(&mut self) -> NotRepeatable {
        match self.value(Field::NotRepeatable) {
            None | Some(FieldValue::Bool(false)) => NotRepeatable::None,
            Some(FieldValue::Bool(true)) => NotRepeatable::All,
            Some(FieldValue::Texts(calls)) => NotRepeatable::Calls(calls.into()),
            Some(_) => {
                let expected = "expected true, false or a list such as [\"POST /orders\"]";
                self.add_problem(Field::NotRepeatable, expected);
                NotRepeatable::None
            }
        }
    }
}
