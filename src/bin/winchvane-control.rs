//! The control process: one replica of the replicated log and the state kept in it.

use clap::Parser;
use winchvane::control;
use winchvane::process::{Exit, ProcessArguments, start};
use winchvane::settings::ControlSettings;

/// Runs a control replica, which keeps configuration, run ledger, endpoint ownership and membership
/// in a replicated log.
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
        ControlSettings::parse,
        |settings| &settings.common.log_level,
        control::process::run,
    )
    .await
}
