//! Tells clients that return after a rejection from those that ask for the first time.
//!
//! A client that returns has a new identifier, and names what is left of the time for which it
//! waits. So it names less than the others of its route do.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

/// The time after which the longest patience of a route's clients is observed anew, since a
/// configuration may have changed it.
const LIFETIME: Duration = Duration::from_secs(10);

/// The number of routes whose clients' patience is remembered.
const MAX_ROUTES: usize = 4_096;

/// The longest patience that a client of a route named, and when.
#[derive(Clone, Copy, Debug)]
struct Longest {
    patience: Duration,
    named_at: Instant,
}

/// The patience of the clients of each route.
#[derive(Debug, Default)]
pub struct ClientPatience {
    routes: HashMap<SmolStr, Longest>,
}

impl ClientPatience {
    /// Creates a state in which no client was seen.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how long a client of a route says that it waits. Returns whether it has already
    /// waited longer than `target`.
    pub fn is_overdue(
        &mut self,
        route: &SmolStr,
        patience: Duration,
        target: Duration,
        now: Instant,
    ) -> bool {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        let named = Longest {
            patience,
            named_at: now,
        };
        let longest = self.routes.entry(route.clone()).or_insert(named);
        let is_old = now.saturating_duration_since(longest.named_at) >= LIFETIME;
        if patience >= longest.patience || is_old {
            *longest = named;
        }
        patience + target < longest.patience
    }
}
