//! Tokens of an answer that a first or last stage has seen.

use bytes::Bytes;
use jujubewall_protocol::stream::Token;

use crate::stream::payload;

/// Consecutive tokens of an answer.
///
/// A first stage logs those that it has run, a last stage those that it has
/// generated.
#[derive(Clone, Debug, Default)]
pub struct TokenLog {
    first: u32,
    tokens: Vec<Token>,
}

impl TokenLog {
    /// Returns the position of the first token, if there is one.
    pub fn first(&self) -> Option<u32> {
        (!self.tokens.is_empty()).then_some(self.first)
    }

    /// Adds the token that takes `position`; a gap makes the log forget what it holds.
    pub fn push(&mut self, position: u32, token: Token) {
        if position != self.end() {
            self.tokens.clear();
        }
        if self.tokens.is_empty() {
            self.first = position;
        }
        self.tokens.push(token);
    }

    /// Adds those tokens of `payload` that take `from` and later positions.
    pub fn extend(&mut self, first: u32, payload: &Bytes, from: u32) {
        let chunks = payload.chunks_exact(payload::TOKEN_BYTES);
        for (position, token) in (first..).zip(chunks.filter_map(payload::decode_token)) {
            if position >= from {
                self.push(position, token);
            }
        }
    }

    /// Forgets the tokens that take `end` and later positions.
    pub fn truncate(&mut self, end: u32) {
        let kept = end.saturating_sub(self.first);
        self.tokens.truncate(kept as usize);
    }

    /// Returns the tokens that take `from` and later positions.
    pub fn starting_at(&self, from: u32) -> impl Iterator<Item = (u32, Token)> {
        let numbered = (self.first..).zip(self.tokens.iter().copied());
        numbered.filter(move |&(position, _)| position >= from)
    }

    /// Returns the tokens from `from` on, or none if the log begins later.
    pub fn since(&self, from: u32) -> Vec<Token> {
        let starts_in_time = self.first().is_some_and(|first| first <= from);
        let tokens = self.starting_at(from).filter(|_| starts_in_time);
        tokens.map(|(_, token)| token).collect()
    }

    fn end(&self) -> u32 {
        self.first + u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }
}
