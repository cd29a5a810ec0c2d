//! The daemon `jujubewalld`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use jujubewall_daemon::process::Running;
use jujubewall_daemon::settings::CheckedSettings;
use jujubewall_daemon::settings::Settings;
use log::error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code for settings with a fault.
const EXIT_SETTINGS: u8 = 2;

/// Runs one process of the jujubewall router.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file, in JSON
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let settings = match Settings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match serve(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!("the process fails: {failure:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(settings: &CheckedSettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = Running::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    running.stop().await;
    Ok(())
}
