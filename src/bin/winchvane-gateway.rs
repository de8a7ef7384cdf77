//! The gateway process: accepts callers' requests and owns some of the endpoints.

use clap::Parser;
use winchvane::gateway;
use winchvane::process::{Exit, ProcessArguments, start};
use winchvane::settings::GatewaySettings;

/// Runs a gateway, which accepts and routes callers' requests and owns some of the endpoints.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(flatten)]
    process: ProcessArguments,
}

#[tokio::main]
async fn main() -> Exit {
    let arguments = Arguments::parse().process;
    start(
        arguments,
        GatewaySettings::parse,
        |settings| &settings.common.log_level,
        gateway::process::run,
    )
    .await
}
