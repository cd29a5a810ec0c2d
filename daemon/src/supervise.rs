//! Supervision of tasks that must keep running: a task that panics is restarted.

use std::future::Future;
use std::time::Duration;

use log::error;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The pause before a task is restarted, so that one that panics at once uses little CPU.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Spawns a task on this thread, and restarts it if it panics.
///
/// A panic ends only the task that it occurs in. Without supervision, the process would keep
/// running without that task, and nothing would report it. `on_panic` is called on each
/// panic, and `make` creates the task anew.
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
