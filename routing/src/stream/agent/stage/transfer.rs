//! Importing, exporting and checkpointing a stage's KV cache.

use std::net::SocketAddr;

use jujubewall_protocol::stream::CachePart;
use jujubewall_protocol::stream::CacheTransfer;
use jujubewall_protocol::stream::KvCache;
use jujubewall_protocol::stream::ResumeStage;
use jujubewall_protocol::stream::SendCache;
use jujubewall_protocol::stream::StageOutput;
use jujubewall_protocol::stream::StreamId;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_types::id::Attempt;
use tokio::time::Instant;

use crate::stream::action::AgentAction;
use crate::stream::agent::cache_parts::CacheAssembly;
use crate::stream::agent::cache_parts::split_into_parts;
use crate::stream::agent::effects::Effects;
use crate::stream::agent::stage::Phase;
use crate::stream::agent::stage::Stage;

/// The state of a stage's KV cache imports and exports.
#[derive(Debug, Default)]
pub struct Transfers {
    early_cache: Option<CacheTransfer>,
    incoming: CacheAssembly,
    import: Option<Import>,
    export: Option<Export>,
    checkpointed_positions: u32,
}

/// A `Resume` that waits for a KV cache.
#[derive(Clone, Debug)]
struct Import {
    resume: ResumeStage,
    positions: u32,
    output: Option<StageOutput>,
}

/// A KV cache that the engine is exporting.
#[derive(Clone, Copy, Debug)]
struct Export {
    attempt: Attempt,
    /// Where the cache goes; `None` for a checkpoint.
    order: Option<SendCache>,
}

impl Transfers {
    /// Drops imports that belong to an earlier attempt.
    pub fn reopen(&mut self) {
        self.early_cache = None;
        self.incoming.clear();
        self.import = None;
    }

    /// Records that the stage dropped the positions from `keep` on.
    pub fn truncate(&mut self, keep: u32) {
        self.checkpointed_positions = self.checkpointed_positions.min(keep);
    }
}

impl Stage {
    /// Defers `resume` until a KV cache has been imported.
    pub fn await_cache(&mut self, resume: ResumeStage, deadline: Instant, effects: &mut Effects) {
        self.transfers.import = Some(Import {
            resume,
            positions: 0,
            output: None,
        });
        self.phase = Phase::AwaitingCache { deadline };
        if let Some(transfer) = self.transfers.early_cache.take() {
            self.accept_cache(transfer, effects);
        }
    }

    /// Handles a part of a KV cache, and extends the wait for the other parts to `until`.
    pub fn accept_cache_part(
        &mut self,
        part: CacheTransfer,
        deadline: Instant,
        effects: &mut Effects,
    ) {
        if let Phase::AwaitingCache { deadline: awaited } = &mut self.phase {
            *awaited = deadline;
        }
        if let Some(transfer) = self.transfers.incoming.add(part) {
            self.accept_cache(transfer, effects);
        }
    }

    /// Imports a KV cache, or keeps it if its `Resume` has not arrived.
    fn accept_cache(&mut self, transfer: CacheTransfer, effects: &mut Effects) {
        match self.phase {
            Phase::Opened => self.transfers.early_cache = Some(transfer),
            Phase::AwaitingCache { .. } => self.import_cache(transfer, effects),
            _ => {}
        }
    }

    fn import_cache(&mut self, transfer: CacheTransfer, effects: &mut Effects) {
        let cache = transfer.cache;
        let Some(import) = self.transfers.import.take() else {
            return;
        };
        if cache.layers != self.route_stage().layers || cache.positions < import.resume.keep {
            self.fail("the cache does not fit the stage", effects);
            return;
        }
        self.transfers.import = Some(Import {
            positions: cache.positions,
            output: transfer.output,
            ..import
        });
        self.phase = Phase::Importing;
        effects.push(AgentAction::ImportCache {
            ticket: self.key(),
            upstream: self.route_stage().upstream.clone(),
            request: self.open.id.request,
            attempt: self.open.id.attempt,
            cache,
        });
    }

    /// Resumes from the KV cache that the engine has imported.
    pub fn imported(&mut self, chunk_positions: u32, effects: &mut Effects) {
        if self.phase != Phase::Importing {
            return;
        }
        if let Some(import) = self.transfers.import.take() {
            self.adopt_imported_cache(import.positions, import.output);
            self.resume(import.resume, chunk_positions, effects);
        }
    }

    /// Fails the stage because the engine could not import the KV cache.
    pub fn import_failed(&mut self, message: &str, effects: &mut Effects) {
        if self.phase == Phase::Importing {
            self.fail(message, effects);
        }
    }

    /// Exports the KV cache from the engine, to be sent to the receiver in `order`.
    pub fn export_to(&mut self, order: SendCache, effects: &mut Effects) {
        self.export(Some(order), effects);
    }

    /// Exports a checkpoint of the KV cache if `interval_positions` have run since the last one.
    pub fn export_checkpoint(&mut self, interval_positions: u32, effects: &mut Effects) {
        let is_due = interval_positions > 0
            && self.transfers.export.is_none()
            && self.phase == Phase::Running
            && self.open.route.len() > 1
            && self.positions_run() >= self.transfers.checkpointed_positions + interval_positions;
        if is_due {
            self.transfers.checkpointed_positions = self.positions_run();
            self.export(None, effects);
        }
    }

    fn export(&mut self, order: Option<SendCache>, effects: &mut Effects) {
        let attempt = self.ran_attempt();
        self.transfers.export = Some(Export { attempt, order });
        effects.push(AgentAction::ExportCache {
            ticket: self.key(),
            upstream: self.route_stage().upstream.clone(),
            request: self.open.id.request,
        });
    }

    /// Sends the KV cache that the engine has exported to its receiver or checkpoint holder.
    ///
    /// Drops a checkpoint if the stage has run in a later attempt since.
    pub fn exported(&mut self, cache: Option<KvCache>, effects: &mut Effects) {
        let Some(export) = self.transfers.export.take() else {
            return;
        };
        let Some(cache) = cache else {
            return;
        };
        if let Some(order) = export.order {
            let transfer = CacheTransfer {
                id: order.id,
                stage: order.stage,
                cache,
                part: CachePart::WHOLE,
                output: self.outputs.newest().cloned(),
            };
            send_cache(&transfer, order.to_address, effects);
            self.phase = Phase::Ending;
        } else if export.attempt == self.ran_attempt() {
            self.send_checkpoint(export.attempt, cache, effects);
        }
    }

    fn send_checkpoint(&self, attempt: Attempt, cache: KvCache, effects: &mut Effects) {
        let transfer = CacheTransfer {
            id: StreamId {
                attempt,
                ..self.open.id
            },
            stage: self.open.stage,
            cache,
            part: CachePart::WHOLE,
            output: None,
        };
        let holder = self.checkpoint_holder().agent_address;
        for part in split_into_parts(&transfer) {
            effects.send(holder, StreamMessage::Checkpoint(Box::new(part)));
        }
    }
}

/// Sends a KV cache to the agent that is to import it, in as many parts as needed.
pub fn send_cache(transfer: &CacheTransfer, to: SocketAddr, effects: &mut Effects) {
    for part in split_into_parts(transfer) {
        effects.send(to, StreamMessage::Cache(Box::new(part)));
    }
}
