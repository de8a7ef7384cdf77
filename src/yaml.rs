//! Parses YAML files and reads typed values from them, and reports each error with its file, line,
//! field and expected value.

use std::fmt;
use std::sync::Arc;

use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};

use crate::nesting::{LEVELS_MAX, line_nested_too_deeply};

/// The maximum indentation of a line, including the indicators of lists and keys. Each nested block is
/// indented further, and the YAML library parses blocks by recursion: the stack of a thread holds some
/// thousand levels. Files written by operators need about ten columns.
const INDENT_MAX_COLUMNS: usize = 256;
/// The characters that may precede the text of a line and open blocks.
const INDENT_CHARS: [char; 5] = [' ', '\t', '-', '?', ':'];

/// An error in an input file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The path of the file as the operator gave it.
    pub file: Arc<str>,
    /// The line, counted from 1; 0 if the file has not been read.
    pub line: usize,
    /// The dotted path of the field; empty if the fault concerns the whole document.
    pub field: String,
    /// The problem and the expected value.
    pub detail: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(out, "{}: ", self.field)?;
        }
        out.write_str(&self.detail)
    }
}

/// A list of faults. Reading continues after a fault, so that a single run reports all of them.
#[derive(Debug, Default)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a fault at the position of `node`.
    pub fn add(&mut self, node: &Node<'_>, detail: impl Into<String>) {
        self.0.push(Fault {
            file: node.file.clone(),
            line: node.line(),
            field: node.path.clone(),
            detail: detail.into(),
        });
    }

    /// Adds a fault that does not belong to a single field.
    pub fn add_file(&mut self, file: &Arc<str>, line: usize, detail: impl Into<String>) {
        let field = String::new();
        self.0.push(Fault { file: file.clone(), line, field, detail: detail.into() });
    }

    /// True if no fault was added.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the faults in the order in which they were added.
    pub fn into_vec(self) -> Vec<Fault> {
        self.0
    }
}

/// The parsed documents of a file.
pub struct ParsedFile<'a> {
    file: Arc<str>,
    documents: Vec<MarkedYaml<'a>>,
}

impl<'a> ParsedFile<'a> {
    /// Parses `text`. A syntax error or nesting that is too deep is added to `faults`, and the file then
    /// has no documents.
    pub fn parse(file: &Arc<str>, text: &'a str, faults: &mut Faults) -> Self {
        if let Some(line) = line_indented_too_far(text) {
            let detail =
                format!("nested too deeply: indented by more than {INDENT_MAX_COLUMNS} columns");
            faults.add_file(file, line, detail);
            return Self { file: file.clone(), documents: Vec::new() };
        }
        if let Some(line) = line_nested_too_deeply(text) {
            faults.add_file(
                file,
                line,
                format!("nested too deeply: more than {LEVELS_MAX} levels"),
            );
            return Self { file: file.clone(), documents: Vec::new() };
        }
        let documents = match MarkedYaml::load_from_str(text) {
            Ok(documents) => documents,
            Err(error) => {
                faults.add_file(file, error.marker().line(), format!("not YAML: {error}"));
                Vec::new()
            }
        };
        Self { file: file.clone(), documents }
    }

    /// The root nodes of the documents that are not empty.
    pub fn roots(&self) -> Vec<Node<'_>> {
        let mut roots = Vec::new();
        for yaml in &self.documents {
            if matches!(yaml.data, YamlData::Value(Scalar::Null)) {
                continue;
            }
            roots.push(Node { file: self.file.clone(), path: String::new(), line: None, yaml });
        }
        roots
    }
}

/// The first line, counted from 1, that is indented by more than [`INDENT_MAX_COLUMNS`].
fn line_indented_too_far(text: &str) -> Option<usize> {
    let is_indented_too_far = |line: &str| {
        let indent = line.chars().take_while(|character| INDENT_CHARS.contains(character));
        indent.take(INDENT_MAX_COLUMNS + 1).count() > INDENT_MAX_COLUMNS
    };
    // A carriage return also ends a line in YAML.
    let position = text.split('\n').position(|line| line.split('\r').any(is_indented_too_far))?;
    Some(position + 1)
}

/// A node of a document with its position.
#[derive(Clone)]
pub struct Node<'a> {
    file: Arc<str>,
    path: String,
    /// The line of the field name or list item; `None` for a root node.
    line: Option<usize>,
    yaml: &'a MarkedYaml<'a>,
}

impl<'a> Node<'a> {
    /// The line of the node, counted from 1; for a field, the line of its name.
    pub fn line(&self) -> usize {
        self.line.unwrap_or_else(|| self.yaml.span.start.line())
    }

    fn child(&self, name: &str, line: usize, yaml: &'a MarkedYaml<'a>) -> Node<'a> {
        let path =
            if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) };
        Node { file: self.file.clone(), path, line: Some(line), yaml }
    }

    /// The fields of a mapping. If the node is not a mapping, a fault is added and the result is empty.
    pub fn fields(&self, faults: &mut Faults) -> Vec<(String, Node<'a>)> {
        let YamlData::Mapping(mapping) = &self.yaml.data else {
            faults.add(self, format!("expected a mapping, found {}", self.describe()));
            return Vec::new();
        };
        let mut fields = Vec::with_capacity(mapping.len());
        for (key, value) in mapping {
            let Some(name) = key_text(key) else {
                faults.add(self, "expected a text, an integer or a boolean as field name");
                continue;
            };
            let child = self.child(&name, key.span.start.line(), value);
            fields.push((name, child));
        }
        fields
    }

    /// The items of a list. If the node is not a list, a fault is added and the result is empty.
    pub fn items(&self, faults: &mut Faults) -> Vec<Node<'a>> {
        let YamlData::Sequence(sequence) = &self.yaml.data else {
            faults.add(self, format!("expected a list, found {}", self.describe()));
            return Vec::new();
        };
        let mut items = Vec::with_capacity(sequence.len());
        for (position, yaml) in sequence.iter().enumerate() {
            items.push(self.child(&position.to_string(), yaml.span.start.line(), yaml));
        }
        items
    }

    /// The scalar value of the node; `None` for a mapping, a list or null.
    pub fn value(&self) -> Option<Value> {
        match &self.yaml.data {
            YamlData::Value(Scalar::Boolean(value)) => Some(Value::Bool(*value)),
            YamlData::Value(Scalar::Integer(value)) => Some(Value::Int(*value)),
            YamlData::Value(Scalar::FloatingPoint(value)) => Some(Value::Float(value.0)),
            YamlData::Value(Scalar::String(value)) => Some(Value::Text(value.as_ref().into())),
            _ => None,
        }
    }

    /// Describes the content of the node for error messages.
    pub fn describe(&self) -> String {
        match (&self.yaml.data, self.value()) {
            (_, Some(Value::Bool(value))) => format!("the boolean {value}"),
            (_, Some(Value::Int(value))) => format!("the integer {value}"),
            (_, Some(Value::Float(value))) => format!("the number {value}"),
            (_, Some(Value::Text(value))) => format!("the text \"{value}\""),
            (YamlData::Mapping(_), _) => "a mapping".to_owned(),
            (YamlData::Sequence(_), _) => "a list".to_owned(),
            _ => "nothing".to_owned(),
        }
    }

    /// The text of the node. If the node is not a text, a fault is added.
    pub fn text(&self, faults: &mut Faults) -> Option<Arc<str>> {
        let Some(Value::Text(text)) = self.value() else {
            faults.add(self, format!("expected a text, found {}", self.describe()));
            return None;
        };
        Some(text)
    }

    /// The integer of the node. If the node is not an integer in `range`, a fault is added.
    pub fn int(&self, range: std::ops::RangeInclusive<u64>, faults: &mut Faults) -> Option<u64> {
        if let Some(Value::Int(value)) = self.value()
            && let Ok(value) = u64::try_from(value)
            && range.contains(&value)
        {
            return Some(value);
        }
        let (low, high) = (range.start(), range.end());
        let found = self.describe();
        faults.add(self, format!("expected an integer from {low} to {high}, found {found}"));
        None
    }

    /// The number of the node. If the node is not a number in `range`, a fault is added.
    pub fn number(&self, range: std::ops::RangeInclusive<f64>, faults: &mut Faults) -> Option<f64> {
        let value = match self.value() {
            Some(Value::Int(value)) => Some(value as f64),
            Some(Value::Float(value)) => Some(value),
            _ => None,
        };
        if let Some(value) = value.filter(|value| range.contains(value)) {
            return Some(value);
        }
        let (low, high) = (range.start(), range.end());
        let found = self.describe();
        faults.add(self, format!("expected a number from {low} to {high}, found {found}"));
        None
    }

    /// The boolean of the node. If the node is not a boolean, a fault is added.
    pub fn bool(&self, faults: &mut Faults) -> Option<bool> {
        let Some(Value::Bool(value)) = self.value() else {
            faults.add(self, format!("expected true or false, found {}", self.describe()));
            return None;
        };
        Some(value)
    }

    /// The texts of a list. A fault is added if the node is not a list and for each item that is not a
    /// text.
    pub fn texts(&self, faults: &mut Faults) -> Vec<Arc<str>> {
        let mut texts = Vec::new();
        for item in self.items(faults) {
            let Some(text) = item.text(faults) else { continue };
            texts.push(text);
        }
        texts
    }
}

/// A scalar value of a document.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// `true` or `false`.
    Bool(bool),
    /// An integer.
    Int(i64),
    /// A floating-point number.
    Float(f64),
    /// Any other scalar except null.
    Text(Arc<str>),
}

/// The name of a field; `None` if the key is null, a floating-point number or nested.
fn key_text(yaml: &MarkedYaml<'_>) -> Option<String> {
    match &yaml.data {
        YamlData::Value(Scalar::String(text)) => Some(text.to_string()),
        YamlData::Value(Scalar::Integer(value)) => Some(value.to_string()),
        YamlData::Value(Scalar::Boolean(value)) => Some(value.to_string()),
        _ => None,
    }
}
