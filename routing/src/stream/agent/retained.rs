//! The outputs of one stage that are kept until the stream ends.

use std::collections::VecDeque;

use bytes::Bytes;
use jujubewall_protocol::stream::StageOutput;

use crate::stream::payload;

/// Consecutive outputs that end where the stage's KV cache ends.
#[derive(Clone, Debug, Default)]
pub struct RetainedOutputs {
    chunks: VecDeque<StageOutput>,
    bytes: u64,
}

/// Returns the position after the last one of `output`.
pub const fn end_of(output: &StageOutput) -> u32 {
    output.first.saturating_add(output.positions)
}

/// Returns the part of `output` from `from` on, unless nothing is left.
pub fn starting_at(output: &StageOutput, from: u32) -> Option<StageOutput> {
    if from >= end_of(output) {
        return None;
    }
    let skipped = from.saturating_sub(output.first);
    Some(StageOutput {
        first: output.first + skipped,
        positions: output.positions - skipped,
        payload: payload::skip_positions(&output.payload, output.positions, skipped),
    })
}

/// Returns the part of `output` before `end`, unless nothing is left.
fn ending_at(output: &StageOutput, end: u32) -> Option<StageOutput> {
    if end <= output.first {
        return None;
    }
    let positions = output.positions.min(end - output.first);
    Some(StageOutput {
        first: output.first,
        positions,
        payload: payload::take_positions(&output.payload, output.positions, positions),
    })
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
    pub fn push(&mut self, chunk: StageOutput) {
        self.bytes += chunk.payload.len() as u64;
        self.chunks.push_back(chunk);
    }

    /// Forgets outputs of positions from `end` on.
    pub fn truncate(&mut self, end: u32) {
        while let Some(chunk) = self.chunks.pop_back_if(|chunk| end_of(chunk) > end) {
            self.bytes -= chunk.payload.len() as u64;
            if let Some(part) = ending_at(&chunk, end) {
                self.push(part);
            }
        }
    }

    /// Forgets every output.
    pub fn clear(&mut self) {
        self.chunks.clear();
        self.bytes = 0;
    }

    /// Returns the newest output.
    pub fn newest(&self) -> Option<&StageOutput> {
        self.chunks.back()
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
    pub fn replay(&self, from: u32, chunk_positions: u32) -> Vec<StageOutput> {
        let mut steps = Vec::new();
        let mut parts: Vec<StageOutput> = Vec::new();
        let mut positions = 0;
        for chunk in self
            .chunks
            .iter()
            .filter_map(|chunk| starting_at(chunk, from))
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
fn join(parts: &[StageOutput]) -> Option<StageOutput> {
    let first = parts.first()?;
    let payloads: Vec<Bytes> = parts.iter().map(|part| part.payload.clone()).collect();
    Some(StageOutput {
        first: first.first,
        positions: parts.iter().map(|part| part.positions).sum(),
        payload: payload::join(&payloads),
    })
}
