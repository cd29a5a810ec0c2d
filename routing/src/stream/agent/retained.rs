//! The outputs of one stage that are kept until the stream ends.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::stream::payload;

/// Consecutive outputs that end where the stage's KV cache ends.
#[derive(Clone, Debug, Default)]
pub struct RetainedOutputs {
    chunks: VecDeque<OutputChunk>,
    bytes: u64,
}

/// The output of one step.
#[derive(Clone, Debug)]
pub struct OutputChunk {
    /// The first position.
    pub first: u32,
    /// The number of positions.
    pub positions: u32,
    /// One record for each position.
    pub payload: Bytes,
}

impl OutputChunk {
    /// Returns the position after the last one.
    pub const fn end(&self) -> u32 {
        self.first + self.positions
    }

    /// Returns the part of the chunk from `from` on, unless nothing is left.
    pub fn starting_at(&self, from: u32) -> Option<Self> {
        if from >= self.end() {
            return None;
        }
        let skipped = from.saturating_sub(self.first);
        Some(Self {
            first: self.first + skipped,
            positions: self.positions - skipped,
            payload: payload::skip_positions(&self.payload, self.positions, skipped),
        })
    }

    /// Returns the part of the chunk before `end`, unless nothing is left.
    fn ending_at(&self, end: u32) -> Option<Self> {
        if end <= self.first {
            return None;
        }
        let positions = self.positions.min(end - self.first);
        Some(Self {
            first: self.first,
            positions,
            payload: payload::take_positions(&self.payload, self.positions, positions),
        })
    }
}

impl RetainedOutputs {
    /// Returns the size of what is kept.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the first position that is kept, or `ran` if none is.
    pub fn first(&self, ran: u32) -> u32 {
        self.chunks.front().map_or(ran, |chunk| chunk.first)
    }

    /// Keeps the output that follows what is kept.
    pub fn push(&mut self, chunk: OutputChunk) {
        self.bytes += chunk.payload.len() as u64;
        self.chunks.push_back(chunk);
    }

    /// Forgets outputs of positions from `end` on.
    pub fn truncate(&mut self, end: u32) {
        while let Some(chunk) = self.chunks.pop_back_if(|chunk| chunk.end() > end) {
            self.bytes -= chunk.payload.len() as u64;
            if let Some(part) = chunk.ending_at(end) {
                self.push(part);
            }
        }
    }

    /// Forgets every output.
    pub fn clear(&mut self) {
        self.chunks.clear();
        self.bytes = 0;
    }

    /// Forgets every output but the newest, so that a lost message can be repeated.
    pub fn keep_newest(&mut self) {
        while self.chunks.len() > 1 {
            if let Some(chunk) = self.chunks.pop_front() {
                self.bytes -= chunk.payload.len() as u64;
            }
        }
    }

    /// Returns the outputs from `from` on in steps of at most `chunk_positions`.
    pub fn replay(&self, from: u32, chunk_positions: u32) -> Vec<OutputChunk> {
        let mut steps = Vec::new();
        let mut parts: Vec<OutputChunk> = Vec::new();
        let mut positions = 0;
        for chunk in self
            .chunks
            .iter()
            .filter_map(|chunk| chunk.starting_at(from))
        {
            if positions > 0 && positions + chunk.positions > chunk_positions {
                steps.extend(join(&parts));
                parts.clear();
                positions = 0;
            }
            positions += chunk.positions;
            parts.push(chunk);
        }
        steps.extend(join(&parts));
        steps
    }
}

/// Joins consecutive chunks to one.
fn join(parts: &[OutputChunk]) -> Option<OutputChunk> {
    let first = parts.first()?;
    let payloads: Vec<Bytes> = parts.iter().map(|part| part.payload.clone()).collect();
    Some(OutputChunk {
        first: first.first,
        positions: parts.iter().map(|part| part.positions).sum(),
        payload: payload::join(&payloads),
    })
}
