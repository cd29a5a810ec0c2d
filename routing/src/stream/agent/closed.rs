//! The streams that were closed last, so that late messages don't reopen them.

use std::collections::HashMap;
use std::collections::VecDeque;

use jujubewall_protocol::stream::StreamId;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::RequestId;

/// The highest closed attempt of each of the requests that were closed last.
#[derive(Clone, Debug)]
pub struct ClosedStreams {
    attempts: HashMap<RequestId, Attempt>,
    order: VecDeque<RequestId>,
    max_streams: usize,
}

impl ClosedStreams {
    /// Creates an empty record of at most `max_streams` requests.
    pub fn new(max_streams: usize) -> Self {
        Self {
            attempts: HashMap::new(),
            order: VecDeque::new(),
            max_streams,
        }
    }

    /// Records that `id` and every lower attempt are closed.
    ///
    /// Drops the oldest request if the limit is exceeded.
    pub fn insert(&mut self, id: StreamId) {
        let highest = self.attempts.entry(id.request).or_insert_with(|| {
            self.order.push_back(id.request);
            id.attempt
        });
        *highest = id.attempt.max(*highest);
        if self.order.len() > self.max_streams
            && let Some(oldest) = self.order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }

    /// Returns whether `id` or a higher attempt is recorded as closed.
    pub fn contains(&self, id: StreamId) -> bool {
        let highest = self.attempts.get(&id.request);
        highest.is_some_and(|&highest| id.attempt <= highest)
    }
}
