//! Wake-ups for actors whose decisions depend on the passing of time.

use std::future::Future;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// A wake-up that an actor sets for itself.
#[derive(Debug)]
pub struct Alarm {
    at: watch::Sender<Option<Instant>>,
}

impl Alarm {
    /// Starts the task that calls `ring` at each set instant, until the alarm or its target is gone.
    ///
    /// `ring` returns whether its target still exists.
    pub fn start<R, F>(ring: R) -> Self
    where
        R: Fn() -> F + Send + 'static,
        F: Future<Output = bool> + Send + 'static,
    {
        let (at, set) = watch::channel(None);
        tokio::spawn(run(set, ring));
        Self { at }
    }

    /// Sets or clears the instant of the next wake-up.
    pub fn set(&self, at: Option<Instant>) {
        self.at.send_if_modified(|current| {
            let is_modified = *current != at;
            *current = at;
            is_modified
        });
    }
}

async fn run<R, F>(mut set: watch::Receiver<Option<Instant>>, ring: R)
where
    R: Fn() -> F + Send + 'static,
    F: Future<Output = bool> + Send + 'static,
{
    loop {
        let at = *set.borrow_and_update();
        let Some(at) = at else {
            if set.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            changed = set.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = sleep_until(at) => {
                // The actor sets the next instant while it handles this one.
                if !ring().await {
                    return;
                }
                if set.has_changed().is_ok_and(|changed| !changed) && set.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}
