//! The log of an answer's tokens at a first or last stage.

use bytes::Bytes;
use jujubewall_protocol::stream::Token;

use crate::stream::payload;

/// Consecutive tokens of an answer.
///
/// A first stage logs the tokens that it has run, a last stage the tokens that it
/// has generated. The entry commits tokens from these logs when it has not received
/// them before a new attempt.
#[derive(Clone, Debug, Default)]
pub struct TokenLog {
    first: u32,
    tokens: Vec<Token>,
}

impl TokenLog {
    /// Returns the position of the first token, or `None` if the log is empty.
    pub fn first(&self) -> Option<u32> {
        (!self.tokens.is_empty()).then_some(self.first)
    }

    /// Appends the token at `position`; a gap drops the tokens before it.
    pub fn push(&mut self, position: u32, token: Token) {
        if position != self.end() {
            self.tokens.clear();
        }
        if self.tokens.is_empty() {
            self.first = position;
        }
        self.tokens.push(token);
    }

    /// Appends the tokens of `payload`, which begins at `first`, from position `from` on.
    pub fn extend(&mut self, first: u32, payload: &Bytes, from: u32) {
        let chunks = payload.chunks_exact(payload::TOKEN_BYTES);
        for (position, token) in (first..).zip(chunks.filter_map(payload::decode_token)) {
            if position >= from {
                self.push(position, token);
            }
        }
    }

    /// Drops the tokens from position `end` on.
    pub fn truncate(&mut self, end: u32) {
        let kept = end.saturating_sub(self.first);
        self.tokens.truncate(kept as usize);
    }

    /// Returns the tokens from position `from` on, with their positions.
    pub fn iter_from(&self, from: u32) -> impl Iterator<Item = (u32, Token)> {
        let numbered = (self.first..).zip(self.tokens.iter().copied());
        numbered.filter(move |&(position, _)| position >= from)
    }

    /// Returns the tokens from position `from` on, or none if the log begins later.
    pub fn complete_since(&self, from: u32) -> Vec<Token> {
        let starts_in_time = self.first().is_some_and(|first| first <= from);
        let tokens = self.iter_from(from).filter(|_| starts_in_time);
        tokens.map(|(_, token)| token).collect()
    }

    fn end(&self) -> u32 {
        self.first + u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }
}
