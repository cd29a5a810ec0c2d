//! Buffers for steps that can't run yet.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujubewall_protocol::stream::StageOutput;
use jujubewall_protocol::stream::Step;
use jujubewall_protocol::stream::StreamId;

use crate::stream::agent::retained::suffix_from;

/// The steps of one stage that have not run, by first position.
#[derive(Clone, Debug, Default)]
pub struct PendingSteps {
    steps: BTreeMap<u32, Step>,
    bytes: u64,
}

impl PendingSteps {
    /// Returns the size of the buffered payloads.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds a step; of two steps with the same first position, the longer one is kept.
    pub fn insert(&mut self, step: Step) {
        let first = step.first_position.0;
        let is_longer = |other: &Step| other.positions >= step.positions;
        if self.steps.get(&first).is_some_and(is_longer) {
            return;
        }
        self.bytes += step.payload.len() as u64;
        if let Some(replaced) = self.steps.insert(first, step) {
            self.bytes -= replaced.payload.len() as u64;
        }
    }

    /// Removes and returns the part of a step that begins at `positions_run`.
    ///
    /// Drops the steps that end before it.
    pub fn take_at(&mut self, positions_run: u32) -> Option<StageOutput> {
        while let Some(entry) = self.steps.first_entry() {
            if *entry.key() > positions_run {
                return None;
            }
            let step = entry.remove();
            self.bytes -= step.payload.len() as u64;
            let chunk = StageOutput {
                first: step.first_position.0,
                positions: step.positions,
                payload: step.payload,
            };
            if let Some(part) = suffix_from(&chunk, positions_run) {
                return Some(part);
            }
        }
        None
    }

    /// Drops every step.
    pub fn clear(&mut self) {
        self.steps.clear();
        self.bytes = 0;
    }
}

/// Steps that arrived before the `Open` of their attempt.
#[derive(Clone, Debug)]
pub struct UnopenedSteps {
    streams: VecDeque<UnopenedStream>,
    max_streams: usize,
    max_bytes: u64,
    bytes: u64,
}

#[derive(Clone, Debug)]
struct UnopenedStream {
    id: StreamId,
    stage: u8,
    steps: Vec<Step>,
}

impl UnopenedStream {
    fn bytes(&self) -> u64 {
        self.steps
            .iter()
            .map(|step| step.payload.len() as u64)
            .sum()
    }
}

impl UnopenedSteps {
    /// Creates an empty buffer for at most `max_streams` and `max_bytes`.
    pub const fn new(max_streams: usize, max_bytes: u64) -> Self {
        Self {
            streams: VecDeque::new(),
            max_streams,
            max_bytes,
            bytes: 0,
        }
    }

    /// Adds a step, and drops the oldest streams while the limits are exceeded.
    pub fn push(&mut self, step: Step) {
        self.bytes += step.payload.len() as u64;
        let found = self.position(step.id, step.stage);
        if let Some(index) = found {
            self.streams[index].steps.push(step);
        } else {
            self.streams.push_back(UnopenedStream {
                id: step.id,
                stage: step.stage,
                steps: vec![step],
            });
        }
        while self.streams.len() > self.max_streams || self.bytes > self.max_bytes {
            self.remove(0);
        }
    }

    /// Removes and returns the steps of one stage.
    pub fn take(&mut self, id: StreamId, stage: u8) -> Vec<Step> {
        let found = self.position(id, stage);
        found.map(|index| self.remove(index)).unwrap_or_default()
    }

    /// Drops the steps of `id` and of lower attempts.
    pub fn discard(&mut self, id: StreamId) {
        let has_ended = |stream: &UnopenedStream| {
            stream.id.request == id.request && stream.id.attempt <= id.attempt
        };
        while let Some(index) = self.streams.iter().position(has_ended) {
            self.remove(index);
        }
    }

    fn position(&self, id: StreamId, stage: u8) -> Option<usize> {
        let matches = |stream: &UnopenedStream| stream.id == id && stream.stage == stage;
        self.streams.iter().position(matches)
    }

    fn remove(&mut self, index: usize) -> Vec<Step> {
        let Some(stream) = self.streams.remove(index) else {
            return Vec::new();
        };
        self.bytes -= stream.bytes();
        stream.steps
    }
}
