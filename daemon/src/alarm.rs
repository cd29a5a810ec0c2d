//! Timers that wake actors whose decisions depend on time.

use std::future::Future;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::message::Message;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep_until;

/// A timer that an actor sets to be woken at an instant.
#[derive(Debug)]
pub struct Alarm {
    at: watch::Sender<Option<Instant>>,
}

impl Alarm {
    /// Starts the task that calls `ring` at each set instant, until the alarm is dropped or its
    /// target has ended.
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

    /// Starts the task that sends a message to an actor at each set instant.
    pub fn start_for<A, M>(actor: &ActorRef<A>, message: fn() -> M) -> Self
    where
        A: Actor + Message<M>,
        M: Send + 'static,
    {
        let target = actor.downgrade();
        Self::start(move || {
            let target = target.upgrade();
            async move {
                match target {
                    Some(target) => target.tell(message()).send().await.is_ok(),
                    None => false,
                }
            }
        })
    }

    /// Sets the instant of the next wake-up, or clears it with `None`.
    pub fn set(&self, at: Option<Instant>) {
        self.at.send_if_modified(|current| {
            let is_modified = *current != at;
            *current = at;
            is_modified
        });
    }
}

/// Sends a message to an actor once per period, until the actor has ended.
pub async fn tick<A, M>(period: Duration, actor: WeakActorRef<A>, message: fn() -> M)
where
    A: Actor + Message<M>,
    M: Send + 'static,
{
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(actor) = actor.upgrade() else {
            return;
        };
        if actor.tell(message()).send().await.is_err() {
            return;
        }
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
