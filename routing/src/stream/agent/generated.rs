//! The tokens that a last stage has generated.

use jujubewall_protocol::stream::Token;

/// Consecutive generated tokens, the last of which follows the last position that was run.
#[derive(Clone, Debug, Default)]
pub struct GeneratedTokens {
    first: u32,
    tokens: Vec<Token>,
}

impl GeneratedTokens {
    /// Returns the position whose output is the first token, or `ran` if there is none.
    pub fn first_output(&self, ran: u32) -> u32 {
        if self.tokens.is_empty() {
            ran
        } else {
            self.first - 1
        }
    }

    /// Adds the token that takes `position`.
    pub fn push(&mut self, position: u32, token: Token) {
        if position != self.end() {
            self.tokens.clear();
        }
        if self.tokens.is_empty() {
            self.first = position;
        }
        self.tokens.push(token);
    }

    /// Forgets the tokens after `position`.
    pub fn truncate_after(&mut self, position: u32) {
        let kept = (position + 1).saturating_sub(self.first);
        self.tokens.truncate(kept as usize);
    }

    /// Forgets every token.
    pub fn clear(&mut self) {
        self.tokens.clear();
    }

    /// Returns the tokens that take `from` and later positions.
    pub fn starting_at(&self, from: u32) -> impl Iterator<Item = (u32, Token)> {
        let numbered = (self.first..).zip(self.tokens.iter().copied());
        numbered.filter(move |&(position, _)| position >= from)
    }

    fn end(&self) -> u32 {
        self.first + u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }
}
