//! Tasks that have to go on whatever happens in them.

use std::future::Future;
use std::time::Duration;

use log::error;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The time before a task is started again, so that one that fails at once costs little.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs a task on this thread, and starts it again if it panics.
///
/// A panic ends one task only. Without this, the process would go on without what the task
/// did for all requests, and nothing would tell of it. `on_panic` is called each time.
pub fn spawn_supervised<F>(
    name: &'static str,
    on_panic: impl Fn() + 'static,
    make: impl Fn() -> F + 'static,
) where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        while let Err(failure) = spawn_local(make()).await {
            if !failure.is_panic() {
                return;
            }
            error!("event=task_failed task={name} reason=\"{failure}\"");
            on_panic();
            sleep(RESTART_PAUSE).await;
        }
    });
}
