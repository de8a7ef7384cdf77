//! Stand-ins of the second review, and the cases that are put as scripts.
//!
//! `standin-2 server ...` is a server process; `standin-2 case NAME ROOT RECORD TROUBLE WORK` plays a case and
//! exits with 1 if its rule was broken, 0 if it held and 2 if it could not run.

mod cases;
mod engine;
mod net;
mod record;
mod region;
mod server;

use std::path::Path;
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    match arguments.get(1).map(String::as_str) {
        Some("server") => {
            let get = |name: &str| {
                let found = arguments.iter().position(|known| known == name);
                found.and_then(|at| arguments.get(at + 1).cloned()).unwrap_or_default()
            };
            let number = |name: &str| get(name).parse::<u64>().unwrap_or(0);
            server::run(server::Options {
                id: get("--id"),
                service: get("--service"),
                zone: get("--zone"),
                address: get("--address").parse().expect("an address"),
                control: get("--control").split(',').filter_map(|it| it.parse().ok()).collect(),
                model: get("--model"),
                adapter_slots: number("--adapter-slots") as usize,
                slots: number("--slots") as u32,
                events: number("--events"),
                pause: Duration::from_millis(number("--pause-ms")),
                work: Duration::from_millis(number("--work-ms")),
                unframed: get("--unframed") == "yes",
                extra_every: number("--extra-every"),
                is_extra_bare: get("--extra") == "bare",
            });
        }
        Some("case") => {
            let [name, root, record, trouble, work] = arguments.get(2..).unwrap_or_default() else {
                std::process::exit(2);
            };
            let [root, record, work] = [root, record, work].map(Path::new);
            let code = cases::run(name, root, record, work, trouble != "0");
            std::process::exit(code);
        }
        _ => std::process::exit(2),
    }
}
