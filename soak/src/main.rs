//! The soak `jujubewall-soak`, which also is the gateway that it starts.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use eyre::WrapErr as _;
use jujubewall_soak::soak;

/// Plays random faults against gateways and checks what clients and runners see.
#[derive(FromArgs)]
struct Arguments {
    /// the seed that decides the faults
    #[argh(option, default = "1")]
    seed: u64,
    /// the minutes to play; a fraction is fine
    #[argh(option, default = "0.5")]
    minutes: f64,
    /// serve as a gateway, as the soak starts it
    #[argh(switch)]
    gateway: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = if arguments.gateway {
        jujubewall_daemon::gateway::run().map(|()| true)
    } else {
        play(&arguments)
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(failure) => {
            eprintln!("the soak fails: {failure:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn play(arguments: &Arguments) -> eyre::Result<bool> {
    let program = std::env::current_exe().wrap_err("the program is not found")?;
    let folder = tempfile::Builder::new()
        .prefix("jujubewall-soak-")
        .tempdir()?;
    let length = Duration::from_secs_f64(arguments.minutes * 60.0);
    let report = soak(&program, folder.path(), arguments.seed, length).await;
    println!(
        "seed {}: {} requests, {} runs, {} faults, {} broken promises",
        arguments.seed,
        report.requests,
        report.runs,
        report.faults,
        report.broken.len()
    );
    for broken in &report.broken {
        println!("{broken}");
    }
    if report.broken.is_empty() {
        return Ok(true);
    }
    let kept: PathBuf = folder.keep();
    println!("the gateways' logs are in {}", kept.display());
    Ok(false)
}
