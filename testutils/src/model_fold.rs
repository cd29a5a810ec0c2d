//! The computation that stands in for a model's layers.
//!
//! Each layer keeps a running state for each request and folds layer,
//! position, input and that state into the activation. The fold does not
//! commute, so that a layer that is skipped, doubled or swapped, a missing
//! position or a lost KV cache changes the answer.

use jujubewall_types::id::ModelName;
use jujubewall_types::id::Position;
use jujubewall_types::id::VersionName;
use twox_hash::XxHash64;

/// One token of the byte-level vocabulary.
pub type Token = u32;

/// The first token that a model generates, a space.
const FIRST_TOKEN: u32 = 32;
/// The number of tokens that a model generates, all printable ASCII characters.
const TOKEN_COUNT: u64 = 95;
/// The running state of a layer before the first position.
const INITIAL_STATE: u64 = 0x9e37_79b9_7f4a_7c15;

/// The fold of one version of one model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelFold {
    seed: u64,
}

impl ModelFold {
    /// Creates the fold of a version, which differs from that of every other version.
    pub fn new(model: &ModelName, version: &VersionName) -> Self {
        let model_seed = XxHash64::oneshot(0, model.as_str().as_bytes());
        let seed = XxHash64::oneshot(model_seed, version.as_str().as_bytes());
        Self { seed }
    }

    /// Returns the running state of a layer before the first position.
    pub const fn initial_state(self) -> u64 {
        INITIAL_STATE ^ self.seed
    }

    /// Returns the input of the first layer for `token`.
    pub fn embed(self, token: Token) -> u64 {
        mix([self.seed, u64::from(token), 0, 0])
    }

    /// Runs a layer at a position and returns its new running state and its output.
    pub fn run_layer(self, layer: u32, position: Position, state: u64, input: u64) -> (u64, u64) {
        let place = u64::from(layer) << 32 | u64::from(position.0);
        let state = mix([state, input, u64::from(position.0), 1]);
        let output = mix([input, state, place, 2]);
        (state, output)
    }

    /// Returns the token that the last layer's output stands for.
    pub fn token(self, output: u64) -> Token {
        let offset = u32::try_from(output % TOKEN_COUNT).unwrap_or(0);
        FIRST_TOKEN + offset
    }
}

fn mix(words: [u64; 4]) -> u64 {
    let mut bytes = [0; 32];
    for (chunk, word) in bytes.chunks_exact_mut(8).zip(words) {
        chunk.copy_from_slice(&word.to_le_bytes());
    }
    XxHash64::oneshot(0, &bytes)
}

/// Computes the answer of `answer_tokens` tokens to `prompt` without an engine.
pub fn expected_answer(
    model: &ModelName,
    version: &VersionName,
    layer_count: u32,
    prompt: &[Token],
    answer_tokens: usize,
) -> Vec<Token> {
    let fold = ModelFold::new(model, version);
    let mut states = vec![fold.initial_state(); layer_count as usize];
    let mut sequence = prompt.to_vec();
    let mut position = 0;
    while sequence.len() < prompt.len() + answer_tokens {
        let mut output = 0;
        while position < sequence.len() {
            output = run_position(fold, &mut states, position, sequence[position]);
            position += 1;
        }
        sequence.push(fold.token(output));
    }
    sequence.split_off(prompt.len())
}

/// Computes the token that follows each beginning of `sequence` without an engine.
pub fn following_tokens(
    model: &ModelName,
    version: &VersionName,
    layer_count: u32,
    sequence: &[Token],
) -> Vec<Token> {
    let fold = ModelFold::new(model, version);
    let mut states = vec![fold.initial_state(); layer_count as usize];
    let tokens = sequence.iter().enumerate();
    let outputs = tokens.map(|(position, &token)| run_position(fold, &mut states, position, token));
    outputs.map(|output| fold.token(output)).collect()
}

fn run_position(fold: ModelFold, states: &mut [u64], position: usize, token: Token) -> u64 {
    let position = Position(u32::try_from(position).expect("sequences are short"));
    let mut activation = fold.embed(token);
    for (layer, state) in (0..).zip(states) {
        (*state, activation) = fold.run_layer(layer, position, *state, activation);
    }
    activation
}

/// Encodes tokens as an engine's first layer takes them.
pub fn encode_tokens(tokens: &[Token]) -> Vec<u8> {
    tokens
        .iter()
        .flat_map(|token| token.to_le_bytes())
        .collect()
}

/// Decodes tokens; an incomplete last token is left out.
pub fn decode_tokens(payload: &[u8]) -> Vec<Token> {
    let (words, _) = payload.as_chunks::<4>();
    words.iter().map(|word| u32::from_le_bytes(*word)).collect()
}
