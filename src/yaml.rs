//! Reading YAML so that every fault names its file, line, field and what was expected.

use std::fmt;
use std::sync::Arc;

use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};

use crate::nesting::{LEVELS_MAX, line_nested_too_deeply};

/// How far a line may be indented, marks of lists and keys included. Each level of a block stands
/// further in, and the library reads levels by recursion: a thread's stack holds some thousand. Files
/// of operators need some ten columns.
const INDENT_MAX_COLUMNS: usize = 256;
/// What can stand before the text of a line and open levels.
const INDENT_MARKS: [char; 5] = [' ', '\t', '-', '?', ':'];

/// One fault of an input file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file as the operator named it.
    pub file: Arc<str>,
    /// The line, counted from 1.
    pub line: usize,
    /// The dotted path of the field; empty for the whole document.
    pub field: String,
    /// What is wrong and what was expected.
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

/// The faults found so far; reading goes on after a fault so that all are listed at once.
#[derive(Debug, Default)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// An empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a fault at the place of `node`.
    pub fn add(&mut self, node: &Node<'_>, detail: impl Into<String>) {
        self.0.push(Fault {
            file: node.file.clone(),
            line: node.line(),
            field: node.path.clone(),
            detail: detail.into(),
        });
    }

    /// Adds a fault of a whole file.
    pub fn add_file(&mut self, file: &Arc<str>, line: usize, detail: impl Into<String>) {
        let field = String::new();
        self.0.push(Fault { file: file.clone(), line, field, detail: detail.into() });
    }

    /// True when no fault was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The faults in the order in which they were found.
    pub fn into_vec(self) -> Vec<Fault> {
        self.0
    }
}

/// The documents of one file, parsed.
pub struct Source<'a> {
    file: Arc<str>,
    documents: Vec<MarkedYaml<'a>>,
}

impl<'a> Source<'a> {
    /// Parses `text`; a syntax error or too many levels become a fault and yield no document.
    pub fn parse(file: &Arc<str>, text: &'a str, faults: &mut Faults) -> Self {
        if let Some(line) = too_deep(text) {
            let detail = format!("nested too deeply: more than {INDENT_MAX_COLUMNS} columns");
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

    /// The root node of each document that is not empty.
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

/// The first line, counted from 1, that is indented too far.
fn too_deep(text: &str) -> Option<usize> {
    let is_too_deep = |line: &str| {
        let indent = line.chars().take_while(|mark| INDENT_MARKS.contains(mark));
        indent.take(INDENT_MAX_COLUMNS + 1).count() > INDENT_MAX_COLUMNS
    };
    // YAML ends lines at a carriage return too.
    let position = text.split('\n').position(|line| line.split('\r').any(is_too_deep))?;
    Some(position + 1)
}

/// One node of a document together with its place.
#[derive(Clone)]
pub struct Node<'a> {
    file: Arc<str>,
    path: String,
    line: Option<usize>,
    yaml: &'a MarkedYaml<'a>,
}

impl<'a> Node<'a> {
    /// The line on which the node starts, counted from 1.
    pub fn line(&self) -> usize {
        self.line.unwrap_or_else(|| self.yaml.span.start.line())
    }

    fn child(&self, name: &str, line: usize, yaml: &'a MarkedYaml<'a>) -> Node<'a> {
        let path =
            if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) };
        Node { file: self.file.clone(), path, line: Some(line), yaml }
    }

    /// The fields of a mapping; a fault and nothing when the node is something else.
    pub fn fields(&self, faults: &mut Faults) -> Vec<(String, Node<'a>)> {
        let YamlData::Mapping(mapping) = &self.yaml.data else {
            faults.add(self, format!("expected a mapping, found {}", self.describe()));
            return Vec::new();
        };
        let mut fields = Vec::with_capacity(mapping.len());
        for (key, value) in mapping {
            let Some(name) = scalar_text(key) else {
                faults.add(self, "expected a field name, found a nested value");
                continue;
            };
            let child = self.child(&name, key.span.start.line(), value);
            fields.push((name, child));
        }
        fields
    }

    /// The items of a sequence; a fault and nothing when the node is something else.
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

    /// The scalar of this node, if it is one.
    pub fn value(&self) -> Option<Value> {
        match &self.yaml.data {
            YamlData::Value(Scalar::Boolean(value)) => Some(Value::Bool(*value)),
            YamlData::Value(Scalar::Integer(value)) => Some(Value::Int(*value)),
            YamlData::Value(Scalar::FloatingPoint(value)) => Some(Value::Float(value.0)),
            YamlData::Value(Scalar::String(value)) => Some(Value::Text(value.as_ref().into())),
            _ => None,
        }
    }

    /// What the node is, for messages.
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

    /// A text; a fault when the node is something else.
    pub fn text(&self, faults: &mut Faults) -> Option<Arc<str>> {
        let Some(Value::Text(text)) = self.value() else {
            faults.add(self, format!("expected a text, found {}", self.describe()));
            return None;
        };
        Some(text)
    }

    /// An integer within `range`; a fault when the node is something else.
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

    /// A number within `range`; a fault when the node is something else.
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

    /// A boolean; a fault when the node is something else.
    pub fn bool(&self, faults: &mut Faults) -> Option<bool> {
        let Some(Value::Bool(value)) = self.value() else {
            faults.add(self, format!("expected true or false, found {}", self.describe()));
            return None;
        };
        Some(value)
    }

    /// A list of texts.
    pub fn texts(&self, faults: &mut Faults) -> Vec<Arc<str>> {
        let mut texts = Vec::new();
        for item in self.items(faults) {
            let Some(text) = item.text(faults) else { continue };
            texts.push(text);
        }
        texts
    }
}

/// A scalar of a document.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// A number with a fraction.
    Float(f64),
    /// Anything else.
    Text(Arc<str>),
}

fn scalar_text(yaml: &MarkedYaml<'_>) -> Option<String> {
    match &yaml.data {
        YamlData::Value(Scalar::String(text)) => Some(text.to_string()),
        YamlData::Value(Scalar::Integer(value)) => Some(value.to_string()),
        YamlData::Value(Scalar::Boolean(value)) => Some(value.to_string()),
        _ => None,
    }
}
