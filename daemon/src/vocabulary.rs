//! The byte-level vocabulary of the engines: each token is one byte of UTF-8 text.

use jujubewall_protocol::stream::Token;

/// Encodes text as tokens.
pub fn encode(text: &str) -> Vec<Token> {
    text.bytes().map(Token::from).collect()
}

/// Decodes tokens into text, and buffers the bytes of an incomplete character.
#[derive(Debug, Default)]
pub struct Decoder {
    pending: Vec<u8>,
}

impl Decoder {
    /// Adds tokens, and returns the text of the characters that are complete.
    pub fn push(&mut self, tokens: &[Token]) -> String {
        let bytes = tokens
            .iter()
            .map(|&token| u8::try_from(token).unwrap_or(b'?'));
        self.pending.extend(bytes);
        self.take_complete()
    }

    /// Returns the rest after the last token, with replacement characters for invalid bytes.
    pub fn finish(&mut self) -> String {
        let rest = String::from_utf8_lossy(&self.pending).into_owned();
        self.pending.clear();
        rest
    }

    fn take_complete(&mut self) -> String {
        let mut text = String::new();
        loop {
            match std::str::from_utf8(&self.pending) {
                Ok(complete) => {
                    text.push_str(complete);
                    self.pending.clear();
                    return text;
                }
                Err(error) => {
                    let valid = error.valid_up_to();
                    text.push_str(&String::from_utf8_lossy(&self.pending[..valid]));
                    let Some(invalid) = error.error_len() else {
                        self.pending.drain(..valid);
                        return text;
                    };
                    text.push(char::REPLACEMENT_CHARACTER);
                    self.pending.drain(..valid + invalid);
                }
            }
        }
    }
}
