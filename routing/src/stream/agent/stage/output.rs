//! How a stage's output reaches the next stage, the first stage and the entry.

use bytes::Bytes;
use jujubewall_protocol::stream::GeneratedToken;
use jujubewall_protocol::stream::StageOutput;
use jujubewall_protocol::stream::Step;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_types::id::Position;

use crate::stream::agent::effects::Effects;
use crate::stream::agent::retained::starting_at;
use crate::stream::agent::stage::Phase;
use crate::stream::agent::stage::RunningStep;
use crate::stream::agent::stage::Stage;
use crate::stream::payload;

impl Stage {
    /// Sends output from `from` on again, unless the stage waits to be resumed.
    pub fn resend_if_running(&self, from: u32, chunk_positions: u32, fx: &mut Effects) {
        if self.phase == Phase::Running {
            self.resend(from, chunk_positions, fx);
        }
    }

    /// Sends output from `from` on again.
    pub(super) fn resend(&self, from: u32, chunk_positions: u32, fx: &mut Effects) {
        if self.is_last() {
            self.resend_tokens(from + 1, fx);
            return;
        }
        for chunk in self.outputs.replay(from, chunk_positions) {
            self.send_output(chunk, fx);
        }
    }

    /// Sends the tokens that take `from` and later positions again.
    pub fn resend_tokens(&self, from: u32, fx: &mut Effects) {
        for (position, token) in self.tokens.starting_at(from) {
            self.send_token(position, token, fx);
        }
    }

    /// Takes in the token that a last stage's engine has generated.
    pub(super) fn take_token(&mut self, output: &Bytes, is_current: bool, fx: &mut Effects) {
        let Some(token) = payload::decode_token(output) else {
            self.truncate(0);
            self.fail("the engine's token is malformed", fx);
            return;
        };
        if self.ran < self.open.known_tokens {
            return;
        }
        self.tokens.push(self.ran, token);
        if is_current {
            self.send_token(self.ran, token, fx);
        }
    }

    /// Takes in the activations that the engine has computed.
    pub(super) fn take_activations(
        &mut self,
        step: &RunningStep,
        output: Bytes,
        is_current: bool,
        fx: &mut Effects,
    ) {
        if !payload::is_whole(&output, step.positions) {
            self.truncate(0);
            self.fail("the engine's activations are malformed", fx);
            return;
        }
        let chunk = StageOutput {
            first: step.first,
            positions: step.positions,
            payload: output,
        };
        self.outputs.push(chunk.clone());
        if is_current && let Some(part) = starting_at(&chunk, self.send_from) {
            self.send_output(part, fx);
        }
    }

    /// Sends output to the next stage.
    fn send_output(&self, chunk: StageOutput, fx: &mut Effects) {
        let Some(next) = self.next() else {
            return;
        };
        let step = Step {
            id: self.open.id,
            stage: self.open.stage + 1,
            first_position: Position(chunk.first),
            positions: chunk.positions,
            layers_done: self.own().layers.end,
            payload: chunk.payload,
        };
        fx.send(next.agent_address, StreamMessage::Step(step));
    }

    /// Sends a token to the entry, and to the first stage if it is to run it.
    fn send_token(&self, position: u32, token: u32, fx: &mut Effects) {
        let generated = GeneratedToken {
            id: self.open.id,
            position: Position(position),
            token,
            layers_done: self.own().layers.end,
        };
        fx.send(self.open.entry_address, StreamMessage::Token(generated));
        let end = self.open.prompt_tokens + self.open.max_answer_tokens;
        if position + 1 < end {
            let first = self.open.route[0].agent_address;
            fx.send(first, StreamMessage::Token(generated));
        }
    }
}
