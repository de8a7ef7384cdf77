//! One replica of control.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use tracing::error;
use winchvane::control::process;
use winchvane::settings::{ControlSettings, load};

/// Keeps configuration, run ledger, endpoint ownership and membership in a replicated log.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check_settings: bool,
}

const EXIT_SETTINGS: u8 = 2;
const EXIT_DAMAGED: u8 = 3;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match load(&arguments.settings, ControlSettings::parse) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check_settings {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    if let Err(fault) = winchvane::logging::start(&settings.common.log_level) {
        eprintln!("{}: log_level: {fault}", arguments.settings.display());
        return ExitCode::from(EXIT_SETTINGS);
    }
    match process::run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(event = "stopped", error = %failure);
            ExitCode::from(if failure.is_damaged() { EXIT_DAMAGED } else { 1 })
        }
    }
}
