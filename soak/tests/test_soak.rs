//! A short soak with fixed seeds, and the seeds that ever failed.

use std::path::Path;
use std::time::Duration;

use jujubewall_soak::soak;
use tempfile::TempDir;

async fn play(seed: u64, length: Duration) {
    let program = Path::new(env!("CARGO_BIN_EXE_jujubewall-soak"));
    let folder = TempDir::new().unwrap();
    let report = soak(program, folder.path(), seed, length).await;
    assert!(
        report.broken.is_empty(),
        "seed {seed}: {:#?}",
        report.broken
    );
    // The run has met faults under load.
    assert!(report.faults > 5 && report.requests > 100, "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_short_soak_breaks_no_promise() {
    play(1, Duration::from_secs(18)).await;
}

/// A runner that had said that it leaves came back under its name in the schedule.
#[tokio::test(flavor = "multi_thread")]
async fn test_seed_15_breaks_no_promise() {
    play(15, Duration::from_secs(18)).await;
}

/// The schedule killed a gateway after it had said so and before it counted it.
#[tokio::test(flavor = "multi_thread")]
async fn test_seed_26_breaks_no_promise() {
    play(26, Duration::from_secs(18)).await;
}

/// A runner left while the store was cut off and silent, so that gateways learned of it
/// after the bound that holds in touch with the store.
#[tokio::test(flavor = "multi_thread")]
async fn test_seed_49_breaks_no_promise() {
    play(49, Duration::from_secs(18)).await;
}

/// An outage that lasted longer than the stable window counted as over while it went on, beside
/// another event that took a key away.
#[tokio::test(flavor = "multi_thread")]
async fn test_seed_9543_breaks_no_promise() {
    play(9543, Duration::from_secs(18)).await;
}

/// A gateway was frozen after it had taken a stream, and sent it on to a runner that had left
/// meanwhile when it went on; it was not in touch then.
#[tokio::test(flavor = "multi_thread")]
async fn test_seed_9742_breaks_no_promise() {
    play(9742, Duration::from_secs(18)).await;
}
