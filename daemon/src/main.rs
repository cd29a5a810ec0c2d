//! The daemon `jujubewalld`.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use jujubewall_daemon::process::Running;
use jujubewall_daemon::settings::CheckedSettings;
use jujubewall_daemon::settings::Settings;
use log::error;
use log::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code for invalid arguments or settings.
const EXIT_SETTINGS: u8 = 2;

/// Runs one process of the jujubewall router.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file, in JSON
    #[argh(option)]
    settings: Option<PathBuf>,
    /// serve as a gateway, with the settings file that the platform's environment names
    #[argh(switch)]
    gateway: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match (arguments.settings, arguments.gateway) {
        (Some(path), false) => run_role(&path),
        (None, true) => run_gateway(),
        _ => {
            eprintln!("either --settings FILE or --gateway is needed");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn run_gateway() -> ExitCode {
    match jujubewall_daemon::gateway::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("the gateway failed: {failure:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_role(path: &Path) -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match serve(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!("the process failed: {failure:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(settings: &CheckedSettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let running = Running::start(settings)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reload_identity(&running, settings).await,
        }
    }
    running.stop().await;
    Ok(())
}

/// Reloads the TLS keys. If the new ones are invalid, the current ones stay in use.
async fn reload_identity(running: &Running, settings: &CheckedSettings) {
    match running.reload_identity(settings.settings()).await {
        Ok(()) => info!("the TLS identity was reloaded"),
        Err(failure) => error!("the current TLS identity stays in use: {failure:#}"),
    }
}
