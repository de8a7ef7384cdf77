//! The operators' command-line tool.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use winchvane::document::{Document, DocumentKind, LocatedDocument, to_declaration};
use winchvane::explain;
use winchvane::operator::{AdminClient, read_declarations, to_table, to_yaml};

/// Checks, applies and shows declarations of winchvane, and dumps the state of its processes.
///
/// Exit status: 0 success; 1 a server failed or could not be reached, or nothing was found; 2 the
/// input is invalid; 3 a declaration conflicts with an accepted one; 4 `diff` found differences.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Address of a gateway's admin listener. May be given several times; the addresses are tried
    /// in turn.
    #[arg(
        long,
        short,
        global = true,
        value_name = "ADDRESS",
        env = "WINCHVANE_SERVER",
        value_delimiter = ','
    )]
    server: Vec<SocketAddr>,
    /// Output format.
    #[arg(long, short, global = true, value_enum, default_value_t = Output::Table)]
    output: Output,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Output {
    Table,
    Json,
    Yaml,
}

#[derive(Subcommand)]
enum Command {
    /// Check declarations without contacting a server.
    Check {
        /// Files and folders with declarations.
        #[arg(long = "file", short, required = true, value_name = "PATH")]
        files: Vec<PathBuf>,
    },
    /// Submit declarations. Accepted ones take effect at all gateways within seconds; applying the
    /// same ones again has no effect.
    Apply {
        /// Files and folders with declarations.
        #[arg(long = "file", short, required = true, value_name = "PATH")]
        files: Vec<PathBuf>,
        /// Report the result without changing anything.
        #[arg(long)]
        dry_run: bool,
    },
    /// Show how declarations differ from the accepted ones.
    Diff {
        /// Files and folders with declarations.
        #[arg(long = "file", short, required = true, value_name = "PATH")]
        files: Vec<PathBuf>,
    },
    /// Show accepted declarations.
    Get {
        /// Show only declarations of this kind.
        #[arg(value_enum)]
        kind: Option<Kind>,
        /// Show only the declaration with this name.
        name: Option<String>,
    },
    /// Show replicas, gateways, endpoints and their owners.
    Status,
    /// Dump the state of the process at `--server`.
    Dump,
    /// Set the log level of the process at `--server`.
    LogLevel {
        /// The level, such as `info` or `info,winchvane::wire=debug`.
        level: String,
    },
    /// Show from logs what happened to a request, or count lost requests by route, cause and time.
    Explain {
        /// ID of the request to trace through the logs of all processes.
        #[arg(long, value_name = "ID", required_unless_present = "losses")]
        request: Option<String>,
        /// Count the requests that were not answered in time.
        #[arg(long, conflicts_with = "request")]
        losses: bool,
        /// Log files; `-` or no file means standard input.
        logs: Vec<PathBuf>,
    },
    /// Print the completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Kind {
    Template,
    Service,
}

const EXIT_FAILED: u8 = 1;
const EXIT_INVALID: u8 = 2;
const EXIT_CONFLICT: u8 = 3;
const EXIT_DIFFERENT: u8 = 4;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let client = AdminClient::new(arguments.server);
    let output = arguments.output;
    let status = match arguments.command {
        Command::Check { files } => check(&files, output),
        Command::Apply { files, dry_run } => apply(&client, &files, dry_run, output).await,
        Command::Diff { files } => diff(&client, &files, output).await,
        Command::Get { kind, name } => get(&client, kind, name.as_deref(), output).await,
        Command::Status => status(&client, output).await,
        Command::Dump => dump(&client, output).await,
        Command::LogLevel { level } => set_log_level(&client, level, output).await,
        Command::Explain { request, logs, .. } => explain_logs(request.as_deref(), &logs, output),
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Arguments::command(),
                "winchvane",
                &mut std::io::stdout(),
            );
            0
        }
    };
    ExitCode::from(status)
}

fn print(text: &str) {
    // An error is ignored: the output may be a pipe whose reader has ended, such as `head`.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn print_value(value: &Value, output: Output) {
    match output {
        Output::Json => print(&format!("{value:#}\n")),
        Output::Table | Output::Yaml => print(&to_yaml(value)),
    }
}

fn read(files: &[PathBuf]) -> Result<Vec<LocatedDocument>, u8> {
    read_declarations(files).map_err(|faults| {
        for fault in faults {
            eprintln!("{fault}");
        }
        EXIT_INVALID
    })
}

fn check(files: &[PathBuf], output: Output) -> u8 {
    let documents = match read(files) {
        Ok(documents) => documents,
        Err(status) => return status,
    };
    let mut templates = 0;
    for located in &documents {
        templates += usize::from(located.document.kind() == DocumentKind::Template);
    }
    let services = documents.len() - templates;
    if output == Output::Table {
        print(&format!("valid: {templates} templates, {services} services\n"));
    } else {
        print_value(&json!({"templates": templates, "services": services}), output);
    }
    0
}

/// Calls the server. An error is printed and returned as an exit status.
async fn call(
    client: &AdminClient,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<(StatusCode, Value), u8> {
    let (status, value) = client.call(method, path, body).await.map_err(|error| {
        eprintln!("{error}");
        if error.is_invalid() { EXIT_INVALID } else { EXIT_FAILED }
    })?;
    let Some(message) = value["error"].as_str() else { return Ok((status, value)) };
    eprintln!("{message}");
    let is_invalid = matches!(status, StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY);
    Err(if is_invalid { EXIT_INVALID } else { EXIT_FAILED })
}

/// Explains what happened to `request`, or counts the lost requests if it is `None`.
fn explain_logs(request: Option<&str>, logs: &[PathBuf], output: Output) -> u8 {
    let is_table = output == Output::Table;
    let explanation = match request {
        Some(request) => explain::explain_request(request, logs),
        None => explain::explain_losses(logs),
    };
    let explanation = match explanation {
        Ok(explanation) => explanation,
        Err(error) => {
            eprintln!("{error}");
            return if error.is_invalid() { EXIT_INVALID } else { EXIT_FAILED };
        }
    };
    if explanation.skipped_lines > 0 {
        eprintln!("{} lines are torn or of others", explanation.skipped_lines);
    }
    if is_table {
        print(&explanation.text);
    } else {
        print_value(&explanation.value, output);
    }
    0
}

async fn submit(
    client: &AdminClient,
    documents: &[LocatedDocument],
    dry_run: bool,
) -> Result<(StatusCode, Value), u8> {
    let documents: Vec<&Document> = documents.iter().map(|located| &located.document).collect();
    let body = json!({"documents": documents, "dry_run": dry_run});
    call(client, Method::POST, "/config", Some(&body)).await
}

async fn apply(client: &AdminClient, files: &[PathBuf], dry_run: bool, output: Output) -> u8 {
    let documents = match read(files) {
        Ok(documents) => documents,
        Err(status) => return status,
    };
    let (status, reply) = match submit(client, &documents, dry_run).await {
        Ok(reply) => reply,
        Err(status) => return status,
    };
    if output == Output::Table {
        print_verdicts(&documents, &reply, dry_run);
    } else {
        print_value(&reply, output);
    }
    match status {
        StatusCode::OK => 0,
        StatusCode::CONFLICT => EXIT_CONFLICT,
        _ => EXIT_INVALID,
    }
}

fn print_verdicts(documents: &[LocatedDocument], reply: &Value, dry_run: bool) {
    let mut rows = Vec::new();
    let mut unchanged = 0;
    for (located, verdict) in
        documents.iter().zip(reply["verdicts"].as_array().into_iter().flatten())
    {
        let verdict = &verdict["verdict"];
        if verdict == "unchanged" {
            unchanged += 1;
            continue;
        }
        let document = &located.document;
        let place = format!("{}:{}", located.file, located.line);
        rows.push(vec![
            document.kind().to_string(),
            document.name().to_string(),
            document.version().to_string(),
            describe_verdict(verdict),
            place,
        ]);
    }
    if !rows.is_empty() {
        print(&to_table(&["kind", "name", "version", "verdict", "place"], &rows));
    }
    let accepted = reply["accepted"].as_bool().unwrap_or(false);
    let result = match (accepted, dry_run) {
        (true, false) => format!("accepted at index {}", reply["index"]),
        (true, true) => "would be accepted".to_owned(),
        (false, _) => "nothing was accepted".to_owned(),
    };
    print(&format!("{result}; {} changed, {unchanged} unchanged\n", rows.len()));
}

fn describe_verdict(verdict: &Value) -> String {
    if let Some(conflict) = verdict.get("conflict") {
        let stored = &conflict["stored_version"];
        return if conflict["same_version"] == true {
            format!("conflict: version {stored} is in force with other content")
        } else {
            format!("conflict: version {stored} is in force")
        };
    }
    if let Some(problems) = verdict["invalid"]["problems"].as_array() {
        let problems: Vec<&str> = problems.iter().filter_map(Value::as_str).collect();
        return format!("invalid: {}", problems.join("; "));
    }
    verdict.as_str().unwrap_or("unknown").to_owned()
}

async fn diff(client: &AdminClient, files: &[PathBuf], output: Output) -> u8 {
    let documents = match read(files) {
        Ok(documents) => documents,
        Err(status) => return status,
    };
    let compared = submit(client, &documents, true).await;
    let accepted = call(client, Method::GET, "/config", None).await;
    let (reply, accepted) = match (compared, accepted) {
        (Ok((_, reply)), Ok((_, accepted))) => (reply, accepted),
        (Err(status), _) | (_, Err(status)) => return status,
    };
    let only_accepted = only_accepted(&documents, &accepted);
    let verdicts = reply["verdicts"].as_array().cloned().unwrap_or_default();
    let differs = verdicts.iter().any(|verdict| verdict["verdict"] != "unchanged");
    if output == Output::Table {
        print_verdicts(&documents, &reply, true);
        for name in &only_accepted {
            print(&format!("accepted but not in these files: {name}\n"));
        }
    } else {
        print_value(&json!({"verdicts": verdicts, "not_in_files": only_accepted}), output);
    }
    if differs || !only_accepted.is_empty() { EXIT_DIFFERENT } else { 0 }
}

/// Returns the accepted declarations that are not among `documents`.
fn only_accepted(documents: &[LocatedDocument], accepted: &Value) -> Vec<String> {
    let mut names = std::collections::BTreeSet::new();
    for located in documents {
        names.insert((located.document.kind(), located.document.name().clone()));
    }
    let mut missing = Vec::new();
    for document in read_documents(accepted) {
        if !names.contains(&(document.kind(), document.name().clone())) {
            missing.push(format!("{} {}", document.kind(), document.name()));
        }
    }
    missing
}

fn read_documents(answer: &Value) -> Vec<Document> {
    serde_json::from_value(answer["documents"].clone()).unwrap_or_default()
}

async fn get(client: &AdminClient, kind: Option<Kind>, name: Option<&str>, output: Output) -> u8 {
    let mut query = Vec::new();
    match kind {
        Some(Kind::Template) => query.push("kind=template".to_owned()),
        Some(Kind::Service) => query.push("kind=service".to_owned()),
        None => {}
    }
    if let Some(name) = name {
        query.push(format!("name={name}"));
    }
    let path = format!("/config?{}", query.join("&"));
    let answer = match call(client, Method::GET, &path, None).await {
        Ok((_, answer)) => answer,
        Err(status) => return status,
    };
    let documents = read_documents(&answer);
    match output {
        Output::Table => {
            let mut rows = Vec::new();
            for document in &documents {
                rows.push(vec![
                    document.kind().to_string(),
                    document.name().to_string(),
                    document.version().to_string(),
                ]);
            }
            print(&to_table(&["kind", "name", "version"], &rows));
        }
        Output::Json => {
            let declarations: Vec<Value> = documents.iter().map(to_declaration).collect();
            print(&format!("{:#}\n", Value::from(declarations)));
        }
        Output::Yaml => {
            for document in &documents {
                print(&to_yaml(&to_declaration(document)));
            }
        }
    }
    if documents.is_empty() && name.is_some() { EXIT_FAILED } else { 0 }
}

async fn status(client: &AdminClient, output: Output) -> u8 {
    let status = match call(client, Method::GET, "/status", None).await {
        Ok((_, status)) => status,
        Err(status) => return status,
    };
    if output != Output::Table {
        print_value(&status, output);
        return 0;
    }
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    print(&format!(
        "term {}, commit {}, services {}, ledger keys {}\n\n",
        status["term"], status["commit"], status["services"], status["ledger_keys"]
    ));
    let mut rows = Vec::new();
    for member in status["members"].as_array().into_iter().flatten() {
        let role = match (member[1] == status["leader"], member[3].as_bool()) {
            (true, _) => "leader",
            (false, Some(true)) => "voter",
            _ => "learner",
        };
        rows.push(vec![text(&member[0]), text(&member[2]), role.to_owned()]);
    }
    print(&to_table(&["replica", "address", "role"], &rows));
    rows.clear();
    for gateway in status["gateways"].as_array().into_iter().flatten() {
        let leaving = if gateway["leaving"] == true { "leaving" } else { "serving" };
        rows.push(vec![
            text(&gateway["name"]),
            text(&gateway["zone"]),
            text(&gateway["address"]),
            gateway["epoch"].to_string(),
            leaving.to_owned(),
        ]);
    }
    print("\n");
    print(&to_table(&["gateway", "zone", "address", "epoch", "state"], &rows));
    rows.clear();
    for endpoint in status["endpoints"].as_array().into_iter().flatten() {
        let listed = &endpoint["listed"];
        rows.push(vec![
            text(&listed["name"]),
            text(&listed["pool"]),
            text(&listed["zone"]),
            text(&endpoint["owner"]),
            endpoint["epoch"].to_string(),
            if listed["leaving"] == true { "leaving" } else { "live" }.to_owned(),
        ]);
    }
    print("\n");
    print(&to_table(&["endpoint", "pool", "zone", "owner", "epoch", "state"], &rows));
    0
}

async fn dump(client: &AdminClient, output: Output) -> u8 {
    let output = if output == Output::Table { Output::Json } else { output };
    match call(client, Method::GET, "/dump", None).await {
        Ok((_, dump)) => {
            print_value(&dump, output);
            0
        }
        Err(status) => status,
    }
}

async fn set_log_level(client: &AdminClient, level: String, output: Output) -> u8 {
    match call(client, Method::PUT, "/log-level", Some(&Value::String(level))).await {
        Ok((_, answer)) => {
            print_value(&answer, output);
            0
        }
        Err(status) => status,
    }
}
