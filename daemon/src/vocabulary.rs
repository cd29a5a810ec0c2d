//! The byte-level vocabulary of the engines: each token is one byte of UTF-8 text.

use jujubewall_protocol::stream::Token;

/// Turns text into tokens.
pub fn encode(text: &str) -> Vec<Token> {
    text.bytes().map(Token::from).collect()
}

/// Turns tokens into text, and keeps the bytes of a character until it is whole.
#[derive(Debug, Default)]
pub struct Decoder {
    pending: Vec<u8>,
}

impl Decoder {
    /// Returns the text that `tokens` complete.
    pub fn push(&mut self, tokens: &[Token]) -> String {
        let bytes = tokens
            .iter()
            .map(|&token| u8::try_from(token).unwrap_or(b'?'));
        self.pending.extend(bytes);
        self.take_whole()
    }

    /// Returns what is left when no token follows.
    pub fn finish(&mut self) -> String {
        let rest = String::from_utf8_lossy(&self.pending).into_owned();
        self.pending.clear();
        rest
    }

    fn take_whole(&mut self) -> String {
        let mut text = String::new();
        loop {
            match std::str::from_utf8(&self.pending) {
                Ok(whole) => {
                    text.push_str(whole);
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
