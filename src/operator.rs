//! Functions of the `winchvane` command: reading declarations from files, calling admin listeners
//! and formatting the answers.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, StatusCode};
use saphyr::{Mapping, Scalar, Yaml, YamlEmitter};
use serde_json::Value;

use crate::document::{LocatedDocument, check_consistency, parse};
use crate::error::{Error, Result};
use crate::http::{HttpClient, request};
use crate::yaml::{Fault, Faults};

const CONNECT_TIMEOUT_MS: u64 = 2_000;
const CALL_TIMEOUT_MS: u64 = 30_000;
const ANSWER_MAX_BYTES: usize = 256 << 20;

/// Reads all declarations in the files and folders `paths` and checks them together.
///
/// # Errors
/// All faults, with their files and lines.
pub fn read_declarations(
    paths: &[PathBuf],
) -> std::result::Result<Vec<LocatedDocument>, Vec<Fault>> {
    let mut faults = Faults::new();
    let mut documents = Vec::new();
    for path in list_files(paths, &mut faults) {
        let file: Arc<str> = path.display().to_string().into();
        match std::fs::read_to_string(&path) {
            Ok(text) => documents.extend(parse(&file, &text, &mut faults)),
            Err(error) => faults.add_file(&file, 0, format!("cannot be read: {error}")),
        }
    }
    check_consistency(&documents, &mut faults);
    if documents.is_empty() && faults.is_empty() {
        let names: Vec<String> = paths.iter().map(|path| path.display().to_string()).collect();
        faults.add_file(&names.join(", ").into(), 0, "holds no declaration");
    }
    if faults.is_empty() { Ok(documents) } else { Err(faults.into_vec()) }
}

/// Lists the files in `paths`, and the YAML files in the folders among them.
fn list_files(paths: &[PathBuf], faults: &mut Faults) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            add_folder(path, &mut files, faults);
        } else {
            files.push(path.clone());
        }
    }
    files.sort();
    files.dedup();
    files
}

/// Adds the YAML files of `folder` and its subfolders, except hidden ones.
fn add_folder(folder: &Path, files: &mut Vec<PathBuf>, faults: &mut Faults) {
    let entries = match std::fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(error) => {
            let name: Arc<str> = folder.display().to_string().into();
            faults.add_file(&name, 0, format!("cannot be listed: {error}"));
            return;
        }
    };
    for entry in entries.flatten() {
        let path = entry.path();
        let is_hidden = entry.file_name().to_string_lossy().starts_with('.');
        if is_hidden {
            continue;
        }
        if path.is_dir() {
            add_folder(&path, files, faults);
            continue;
        }
        let extension = path.extension().and_then(|extension| extension.to_str());
        if matches!(extension, Some("yaml" | "yml")) {
            files.push(path);
        }
    }
}

/// A client of the admin listeners of gateways and control replicas.
pub struct AdminClient {
    client: HttpClient,
    servers: Vec<SocketAddr>,
}

impl AdminClient {
    /// Creates a client that tries `servers` in turn until one can be reached.
    pub fn new(servers: Vec<SocketAddr>) -> Self {
        Self { client: HttpClient::new(CONNECT_TIMEOUT_MS), servers }
    }

    /// Sends a request and returns the status and the JSON body of the answer.
    ///
    /// # Errors
    /// No server could be reached, a server failed, or its answer is not JSON.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(StatusCode, Value)> {
        let mut failure = Error::invalid("no server is named; give --server ADDRESS");
        for server in &self.servers {
            match self.call_one(*server, method.clone(), path, body).await {
                Ok(answer) => return Ok(answer),
                // The server may have carried out the request, so it is not sent to another one.
                Err(error) if error.is_not_run() => failure = error,
                Err(error) => return Err(error),
            }
        }
        Err(failure)
    }

    async fn call_one(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(StatusCode, Value)> {
        let content_type = body.map(|_| "application/json");
        let bytes = body.map_or_else(Bytes::new, |body| match body {
            Value::String(text) => Bytes::from(text.clone()),
            body => Bytes::from(body.to_string()),
        });
        let request = request(method, server, path, content_type, bytes)?;
        let exchange = self.client.exchange(request, CALL_TIMEOUT_MS, ANSWER_MAX_BYTES);
        let (status, answer) = exchange.await?;
        let value = serde_json::from_slice(&answer).map_err(|error| {
            Error::failed("read answer", server.to_string(), format!("not JSON: {error}"))
        })?;
        Ok((status, value))
    }
}

/// Formats `value` as YAML.
pub fn to_yaml(value: &Value) -> String {
    let mut text = String::new();
    if YamlEmitter::new(&mut text).dump(&to_yaml_node(value)).is_err() {
        return value.to_string();
    }
    text.push('\n');
    text
}

fn to_yaml_node(value: &Value) -> Yaml<'static> {
    match value {
        Value::Null => Yaml::Value(Scalar::Null),
        Value::Bool(value) => Yaml::Value(Scalar::Boolean(*value)),
        Value::Number(number) => match number.as_i64() {
            Some(value) => Yaml::Value(Scalar::Integer(value)),
            None => Yaml::Value(Scalar::FloatingPoint(number.as_f64().unwrap_or(0.0).into())),
        },
        Value::String(text) => Yaml::Value(Scalar::String(text.clone().into())),
        Value::Array(items) => Yaml::Sequence(items.iter().map(to_yaml_node).collect()),
        Value::Object(fields) => {
            let mut mapping = Mapping::new();
            for (name, value) in fields {
                mapping
                    .insert(Yaml::Value(Scalar::String(name.clone().into())), to_yaml_node(value));
            }
            Yaml::Mapping(mapping)
        }
    }
}

/// Formats rows as a table with aligned columns.
pub fn to_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|name| name.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let mut text = String::new();
    let head: Vec<String> = header.iter().map(|name| name.to_uppercase()).collect();
    for row in std::iter::once(&head).chain(rows) {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            let _ = write!(line, "{cell:<width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
