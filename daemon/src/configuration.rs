//! Keeping the configuration in force up to date.

use std::sync::Arc;
use std::time::Duration;

use jujubewall_control::keys;
use jujubewall_control::store::NoteStore;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_types::config::Configuration;
use jujubewall_types::id::Revision;
use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::time::sleep;

/// The time that one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// The time between two tries while the key-value service does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the configuration in the key-value service until every receiver is gone.
pub async fn follow(
    store: Arc<NoteStore>,
    service: Arc<dyn KeyValue>,
    applied: watch::Sender<Arc<Configuration>>,
) {
    let mut stored_at = Revision::default();
    let mut is_reachable = true;
    while !applied.is_closed() {
        let read = read_change(&store, &service, &mut stored_at, &applied).await;
        if read.is_ok() != is_reachable {
            is_reachable = read.is_ok();
            match &read {
                Ok(()) => info!("the key-value service answers again"),
                Err(error) => warn!("the configuration cannot be read: {error}"),
            }
        }
        if read.is_err() {
            sleep(RETRY_INTERVAL).await;
        }
    }
}

async fn read_change(
    store: &NoteStore,
    service: &Arc<dyn KeyValue>,
    stored_at: &mut Revision,
    applied: &watch::Sender<Arc<Configuration>>,
) -> eyre::Result<()> {
    let Some(entry) = service.watch(keys::HEAD, *stored_at, WATCH_WAIT).await? else {
        return Ok(());
    };
    let (configuration, _) = store.load().await?;
    *stored_at = entry.revision;
    apply(applied, configuration);
    Ok(())
}

/// Applies a configuration unless it is older than the one in force.
fn apply(applied: &watch::Sender<Arc<Configuration>>, configuration: Arc<Configuration>) {
    applied.send_if_modified(|current| {
        let is_newer = configuration.revision > current.revision;
        if is_newer {
            info!(
                "configuration revision {} is applied",
                configuration.revision
            );
            *current = configuration;
        }
        is_newer
    });
}
