//! The retained outputs of one stage.

use std::collections::VecDeque;

use bytes::Bytes;
use jujubewall_protocol::stream::StageOutput;

use crate::stream::payload;

/// Consecutive outputs of a stage that end at the end of its KV cache.
#[derive(Clone, Debug, Default)]
pub struct RetainedOutputs {
    chunks: VecDeque<StageOutput>,
    bytes: u64,
}

/// Returns the position after the last one of `output`.
pub const fn end_position(output: &StageOutput) -> u32 {
    output.first.saturating_add(output.positions)
}

/// Returns the part of `output` from `from` on, unless nothing is left.
pub fn suffix_from(output: &StageOutput, from: u32) -> Option<StageOutput> {
    if from >= end_position(output) {
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
fn prefix_before(output: &StageOutput, end: u32) -> Option<StageOutput> {
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
    /// Returns the size of the retained payloads.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the first retained position, or `positions_run` if nothing is retained.
    pub fn first_position(&self, positions_run: u32) -> u32 {
        self.chunks
            .front()
            .map_or(positions_run, |chunk| chunk.first)
    }

    /// Appends the output that follows the retained ones.
    pub fn push(&mut self, chunk: StageOutput) {
        self.bytes += chunk.payload.len() as u64;
        self.chunks.push_back(chunk);
    }

    /// Drops the outputs of positions from `end` on.
    pub fn truncate(&mut self, end: u32) {
        while let Some(chunk) = self.chunks.pop_back_if(|chunk| end_position(chunk) > end) {
            self.bytes -= chunk.payload.len() as u64;
            if let Some(part) = prefix_before(&chunk, end) {
                self.push(part);
            }
        }
    }

    /// Drops every output.
    pub fn clear(&mut self) {
        self.chunks.clear();
        self.bytes = 0;
    }

    /// Returns the newest output, if any is retained.
    pub fn newest(&self) -> Option<&StageOutput> {
        self.chunks.back()
    }

    /// Drops every output but the newest, so that a lost message can still be resent.
    pub fn keep_newest(&mut self) {
        while self.chunks.len() > 1 {
            if let Some(chunk) = self.chunks.pop_front() {
                self.bytes -= chunk.payload.len() as u64;
            }
        }
    }

    /// Returns the outputs from `from` on, joined up to `chunk_positions` each.
    ///
    /// A retained output that is longer is returned as it is.
    pub fn replay(&self, from: u32, chunk_positions: u32) -> Vec<StageOutput> {
        let mut steps = Vec::new();
        let mut parts: Vec<StageOutput> = Vec::new();
        let mut positions = 0;
        for chunk in self
            .chunks
            .iter()
            .filter_map(|chunk| suffix_from(chunk, from))
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

/// Joins consecutive outputs into one, or returns `None` if there are none.
fn join(parts: &[StageOutput]) -> Option<StageOutput> {
    let first = parts.first()?;
    let payloads: Vec<Bytes> = parts.iter().map(|part| part.payload.clone()).collect();
    Some(StageOutput {
        first: first.first,
        positions: parts.iter().map(|part| part.positions).sum(),
        payload: payload::join(&payloads),
    })
}
