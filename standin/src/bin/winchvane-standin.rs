//! Runs stand-ins of the systems around winchvane, for the quick start and for trials by hand.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use serde_json::json;
use winchvane::control::listing::{PlatformInstance, PlatformState};
use winchvane_standin::engine::{Engine, EngineOptions};
use winchvane_standin::plain::Plain;
use winchvane_standin::platform::Platform;
use winchvane_standin::ports::free_ports;
use winchvane_standin::store::{Store, StoreOptions};

/// Stand-ins of engines, plain services, the weight store and the platform's list.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Print free loopback ports, one a line.
    Ports {
        /// How many.
        count: usize,
    },
    /// Print a template and many services made from it, at the brief's sizes or any other.
    Declarations {
        /// How many services.
        #[arg(long, default_value_t = 3_000)]
        services: usize,
        /// The pool of the template.
        #[arg(long, default_value = "quotes")]
        pool: String,
        /// Workspaces, over which the services are spread.
        #[arg(long, default_value_t = 100)]
        workspaces: usize,
    },
    /// Run a whole fleet, print its addresses as one line of JSON, and go on until ended.
    Fleet(FleetArguments),
}

#[derive(clap::Args)]
struct FleetArguments {
    /// The port of the platform's list; 0 picks one.
    #[arg(long, default_value_t = 0)]
    platform_port: u16,
    /// Engines.
    #[arg(long, default_value_t = 3)]
    engines: usize,
    /// Plain services.
    #[arg(long, default_value_t = 1)]
    plain: usize,
    /// The pool of the engines.
    #[arg(long, default_value = "quotes")]
    engine_pool: String,
    /// The pool of the plain services.
    #[arg(long, default_value = "portal")]
    plain_pool: String,
    /// Availability zones, over which the instances are spread.
    #[arg(long, default_value = "zone-a,zone-b,zone-c", value_delimiter = ',')]
    zones: Vec<String>,
    /// Requests that an engine runs at once.
    #[arg(long, default_value_t = 16)]
    max_running: u32,
    /// Adapters that an engine holds at once.
    #[arg(long, default_value_t = 8)]
    max_adapters: u32,
    /// The time of an engine's step.
    #[arg(long, default_value_t = 5)]
    step_ms: u64,
    /// Tokens of an answer.
    #[arg(long, default_value_t = 16)]
    tokens: u64,
    /// The time of a load at full speed.
    #[arg(long, default_value_t = 440)]
    load_ms: u64,
    /// Loads that the store starts in a second.
    #[arg(long, default_value_t = 9.0)]
    loads_per_s: f64,
    /// Loads that the store runs at once at full speed.
    #[arg(long, default_value_t = 4)]
    concurrent_loads: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Ports { count } => {
            for port in free_ports(count) {
                println!("{port}");
            }
            Ok(())
        }
        Command::Declarations { services, pool, workspaces } => {
            print_declarations(services, &pool, workspaces);
            Ok(())
        }
        Command::Fleet(arguments) => run_fleet(arguments).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn print_declarations(services: usize, pool: &str, workspaces: usize) {
    println!(
        "kind: Template\nname: generated\nversion: 1\npool: {pool}\n\
         parameters:\n  adapter: {{type: text}}\nservice:\n  adapter: $adapter\n  adapter_version: 1"
    );
    for number in 0..services {
        println!(
            "---\n{{kind: Service, name: service-{number:05}, version: 1, workspace: workspace-{}, \
             template: generated, parameters: {{adapter: adapter-{number:05}}}}}",
            number % workspaces
        );
    }
}

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

async fn run_fleet(arguments: FleetArguments) -> std::io::Result<()> {
    let store = Store::new(StoreOptions {
        load_ms: arguments.load_ms,
        concurrent_loads: arguments.concurrent_loads,
        loads_per_s: arguments.loads_per_s,
    });
    let store_address = store.serve(loopback(0)).await?;
    let options = EngineOptions {
        max_running: arguments.max_running,
        max_adapters: arguments.max_adapters,
        step_ms: arguments.step_ms,
        tokens: arguments.tokens,
        store: Some(store_address),
        ..EngineOptions::default()
    };
    let mut instances = Vec::new();
    for number in 0..arguments.engines {
        let address = Engine::new(options.clone()).serve(loopback(0)).await?;
        instances.push(instance("engine", number, address, &arguments.engine_pool, &arguments));
    }
    for number in 0..arguments.plain {
        let address = Plain::new().serve(loopback(0)).await?;
        instances.push(instance("plain", number, address, &arguments.plain_pool, &arguments));
    }
    let platform = Platform::new(instances.clone());
    let platform_address = platform.serve(loopback(arguments.platform_port)).await?;
    let line =
        json!({"platform": platform_address, "store": store_address, "instances": instances});
    println!("{line}");
    std::future::pending::<()>().await;
    Ok(())
}

fn instance(
    kind: &str,
    number: usize,
    address: SocketAddr,
    pool: &str,
    arguments: &FleetArguments,
) -> PlatformInstance {
    let zone = &arguments.zones[number % arguments.zones.len()];
    PlatformInstance {
        name: format!("{kind}-{number:03}").into(),
        address,
        zone: zone.as_str().into(),
        pool: pool.into(),
        state: PlatformState::Live,
        running: None,
    }
}
