//! Sending a stage's output to the next stage, the first stage and the entry.

use bytes::Bytes;
use jujubewall_protocol::stream::GeneratedToken;
use jujubewall_protocol::stream::StageOutput;
use jujubewall_protocol::stream::Step;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_types::id::Position;

use crate::stream::agent::effects::Effects;
use crate::stream::agent::retained::suffix_from;
use crate::stream::agent::stage::Phase;
use crate::stream::agent::stage::RunningStep;
use crate::stream::agent::stage::Stage;
use crate::stream::payload;

impl Stage {
    /// Resends the output from `from` on if the stage is running.
    pub fn resend_if_running(&self, from: u32, chunk_positions: u32, effects: &mut Effects) {
        if self.phase == Phase::Running {
            self.resend(from, chunk_positions, effects);
        }
    }

    /// Resends the output from `from` on.
    pub(super) fn resend(&self, from: u32, chunk_positions: u32, effects: &mut Effects) {
        if self.is_last() {
            self.resend_tokens(from + 1, effects);
            return;
        }
        for chunk in self.outputs.replay(from, chunk_positions) {
            self.send_output(chunk, effects);
        }
    }

    /// Resends the tokens from position `from` on.
    pub fn resend_tokens(&self, from: u32, effects: &mut Effects) {
        for (position, token) in self.tokens.iter_from(from) {
            self.send_token(position, token, effects);
        }
    }

    /// Handles the token that a last stage's engine has generated.
    ///
    /// Drops the output of positions for which the entry already knows the next token.
    pub(super) fn accept_token(&mut self, output: &Bytes, is_current: bool, effects: &mut Effects) {
        let Some(token) = payload::decode_token(output) else {
            self.truncate(0);
            self.fail("the engine's token is malformed", effects);
            return;
        };
        if self.positions_run < self.open.known_tokens {
            return;
        }
        self.tokens.push(self.positions_run, token);
        if is_current {
            self.send_token(self.positions_run, token, effects);
        }
    }

    /// Handles the activations that the engine has computed: retains them, and sends them
    /// on if the step belongs to the current attempt.
    pub(super) fn accept_activations(
        &mut self,
        step: &RunningStep,
        output: Bytes,
        is_current: bool,
        effects: &mut Effects,
    ) {
        if !payload::has_whole_records(&output, step.positions) {
            self.truncate(0);
            self.fail("the engine's activations are malformed", effects);
            return;
        }
        let chunk = StageOutput {
            first: step.first,
            positions: step.positions,
            payload: output,
        };
        self.outputs.push(chunk.clone());
        if is_current && let Some(part) = suffix_from(&chunk, self.send_from) {
            self.send_output(part, effects);
        }
    }

    /// Sends output to the next stage.
    fn send_output(&self, chunk: StageOutput, effects: &mut Effects) {
        let Some(next) = self.next_stage() else {
            return;
        };
        let step = Step {
            id: self.open.id,
            stage: self.open.stage + 1,
            first_position: Position(chunk.first),
            positions: chunk.positions,
            layers_done: self.route_stage().layers.end,
            payload: chunk.payload,
        };
        effects.send(next.agent_address, StreamMessage::Step(step));
    }

    /// Sends a token to the entry, and also to the first stage unless it is the answer's last.
    fn send_token(&self, position: u32, token: u32, effects: &mut Effects) {
        let generated = GeneratedToken {
            id: self.open.id,
            position: Position(position),
            token,
            layers_done: self.route_stage().layers.end,
        };
        effects.send(self.open.entry_address, StreamMessage::Token(generated));
        let end = self.open.prompt_tokens + self.open.max_answer_tokens;
        if position + 1 < end {
            let first = self.open.route[0].agent_address;
            effects.send(first, StreamMessage::Token(generated));
        }
    }
}
