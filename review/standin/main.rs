//! The stand-ins of the review's scripts: it starts the project's programs as processes, plays
//! clients, endpoints, operator and network for them, and checks one rule of the users' pages.
//!
//! Usage: `standin CASE REPOSITORY RECORD_FILE`. The exit status is 0 if the rule held, 1 if it was
//! broken and 2 if the case could not run.

mod control;
mod endpoint;
mod engine;
mod http;
mod proxy;
mod record;
mod silent;
mod stale;
mod surplus;
mod system;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// The longest time a case may take; a case that hangs could not run.
const LIMIT: Duration = Duration::from_secs(115);

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, repository, record_path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE REPOSITORY RECORD_FILE");
        exit(2);
    };
    let (repository, record_path) = (PathBuf::from(repository), PathBuf::from(record_path));
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let record = match Record::create(&record_path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{}: {error}", record_path.display());
            exit(2);
        }
    };
    record.line(&format!("case {case}, TROUBLE={trouble}"));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.line("the case took too long");
        system::end_all();
        exit(2);
    });
    let result = match case.as_str() {
        "surplus" => surplus::run(&repository, &record, &trouble),
        "silent" => silent::run(&repository, &record, &trouble),
        "stale" => stale::run(&repository, &record, &trouble),
        other => Err(format!("no case {other}")),
    };
    system::end_all();
    let status = match result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(detail) => {
            record.line(&format!("could not run: {detail}"));
            2
        }
    };
    record.line(&format!("exit status {status}"));
    exit(status);
}
