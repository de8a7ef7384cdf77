//! Startup shared by the processes of the system: arguments, settings, logging and listeners.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitCode, Termination};
use std::sync::Arc;

use clap::Args;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tracing::{error, info, warn};

use crate::error::{Error, Result};
use crate::logging;
use crate::settings::load;
use crate::yaml::Fault;

/// Exit status for invalid settings.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit status of a replica whose disk failed or whose log is damaged.
pub const EXIT_STORAGE: u8 = 3;

/// The command-line arguments of a process.
#[derive(Args)]
pub struct ProcessArguments {
    /// The settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check_settings: bool,
}

/// The exit status of a process, which ends logging when `main` returns it.
///
/// By then the runtime has dropped all tasks, and the requests dropped with them have been logged.
#[must_use]
pub struct Exit(ExitCode);

impl Termination for Exit {
    fn report(self) -> ExitCode {
        logging::finish();
        self.0
    }
}

/// Reads the settings with `parse`, starts logging at the level that `log_level` returns for them,
/// and runs the process until it ends.
pub async fn start<T: 'static, R: Future<Output = Result<()>>>(
    arguments: ProcessArguments,
    parse: fn(&Arc<str>, &str) -> std::result::Result<T, Vec<Fault>>,
    log_level: fn(&T) -> &str,
    run: impl FnOnce(T) -> R,
) -> Exit {
    // The handler is installed first: until then, a SIGHUP kills the process.
    let hang_up = signal(SignalKind::hangup());
    let settings = match load(&arguments.settings, parse) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return Exit(ExitCode::from(EXIT_SETTINGS));
        }
    };
    if arguments.check_settings {
        println!("settings are valid");
        return Exit(ExitCode::SUCCESS);
    }
    if let Err(fault) = logging::start(log_level(&settings)) {
        eprintln!("{}: log_level: {fault}", arguments.settings.display());
        return Exit(ExitCode::from(EXIT_SETTINGS));
    }
    tokio::spawn(reload(hang_up, arguments.settings.clone(), parse, log_level));
    let code = match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(event = "stopped", error = %failure);
            ExitCode::from(if failure.is_damaged() { EXIT_STORAGE } else { 1 })
        }
    };
    Exit(code)
}

/// Reads the settings again on each SIGHUP and applies the log level. All other settings take
/// effect only at the start of the process.
async fn reload<T: 'static>(
    hang_up: std::io::Result<Signal>,
    path: PathBuf,
    parse: fn(&Arc<str>, &str) -> std::result::Result<T, Vec<Fault>>,
    log_level: fn(&T) -> &str,
) {
    let mut hang_up = match hang_up {
        Ok(hang_up) => hang_up,
        Err(error) => {
            error!(event = "signals_unwatched", error = %error);
            return;
        }
    };
    while hang_up.recv().await.is_some() {
        match load(&path, parse) {
            Ok(settings) => match logging::set_level(log_level(&settings)) {
                Ok(()) => info!(event = "reload", log_level = log_level(&settings)),
                Err(error) => warn!(event = "reload_failed", error = %error),
            },
            Err(faults) => {
                for fault in faults {
                    warn!(event = "reload_failed", error = %fault);
                }
            }
        }
    }
}

/// Opens a TCP listener.
///
/// # Errors
/// The address is in use or does not belong to this machine.
pub async fn listen(step: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| Error::io(step, address.to_string(), error))
}
