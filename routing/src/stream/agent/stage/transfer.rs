//! How a stage's KV cache moves between engines.

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
use crate::stream::agent::cache_parts::split;
use crate::stream::agent::effects::Effects;
use crate::stream::agent::stage::Phase;
use crate::stream::agent::stage::Stage;

/// The KV caches that a stage waits for or gives away.
#[derive(Debug, Default)]
pub struct Transfers {
    early_cache: Option<CacheTransfer>,
    incoming: CacheAssembly,
    import: Option<Import>,
    export: Option<Export>,
    copied: u32,
}

/// An order to resume that waits for a KV cache.
#[derive(Clone, Debug)]
struct Import {
    resume: ResumeStage,
    positions: u32,
    output: Option<StageOutput>,
}

/// A KV cache that the engine exports.
#[derive(Clone, Copy, Debug)]
struct Export {
    attempt: Attempt,
    order: Option<SendCache>,
}

impl Transfers {
    /// Forgets what belongs to an earlier attempt.
    pub fn reopen(&mut self) {
        self.early_cache = None;
        self.incoming.clear();
        self.import = None;
    }

    /// Notes that positions from `keep` on are forgotten.
    pub fn truncate(&mut self, keep: u32) {
        self.copied = self.copied.min(keep);
    }
}

impl Stage {
    /// Waits for a KV cache before it does what `resume` says.
    pub fn await_cache(&mut self, resume: ResumeStage, until: Instant, fx: &mut Effects) {
        self.transfers.import = Some(Import {
            resume,
            positions: 0,
            output: None,
        });
        self.phase = Phase::AwaitingCache { until };
        if let Some(transfer) = self.transfers.early_cache.take() {
            self.take_cache(transfer, fx);
        }
    }

    /// Takes a part of a KV cache; each one that comes gives the others until `until`.
    pub fn take_cache_part(&mut self, part: CacheTransfer, until: Instant, fx: &mut Effects) {
        if let Phase::AwaitingCache { until: awaited } = &mut self.phase {
            *awaited = until;
        }
        if let Some(transfer) = self.transfers.incoming.add(part) {
            self.take_cache(transfer, fx);
        }
    }

    /// Gives a KV cache to the engine, or keeps it until it is awaited.
    fn take_cache(&mut self, transfer: CacheTransfer, fx: &mut Effects) {
        match self.phase {
            Phase::Opened => self.transfers.early_cache = Some(transfer),
            Phase::AwaitingCache { .. } => self.import_cache(transfer, fx),
            _ => {}
        }
    }

    fn import_cache(&mut self, transfer: CacheTransfer, fx: &mut Effects) {
        let cache = transfer.cache;
        let Some(import) = self.transfers.import.take() else {
            return;
        };
        if cache.layers != self.own().layers || cache.positions < import.resume.keep {
            self.fail("the cache does not fit the stage", fx);
            return;
        }
        self.transfers.import = Some(Import {
            positions: cache.positions,
            output: transfer.output,
            ..import
        });
        self.phase = Phase::Importing;
        fx.push(AgentAction::ImportCache {
            ticket: self.key(),
            upstream: self.own().upstream.clone(),
            request: self.open.id.request,
            attempt: self.open.id.attempt,
            cache,
        });
    }

    /// Goes on with the KV cache that the engine has imported.
    pub fn imported(&mut self, chunk_positions: u32, fx: &mut Effects) {
        if self.phase != Phase::Importing {
            return;
        }
        if let Some(import) = self.transfers.import.take() {
            self.set_ran(import.positions, import.output);
            self.resume(import.resume, chunk_positions, fx);
        }
    }

    /// Gives up because the engine did not take the KV cache.
    pub fn import_failed(&mut self, message: &str, fx: &mut Effects) {
        if self.phase == Phase::Importing {
            self.fail(message, fx);
        }
    }

    /// Asks the engine for its KV cache, to be sent as `order` says.
    pub fn export_to(&mut self, order: SendCache, fx: &mut Effects) {
        self.export(Some(order), fx);
    }

    /// Asks the engine for a copy of its KV cache if one is due.
    pub fn export_copy(&mut self, every_positions: u32, fx: &mut Effects) {
        let is_due = every_positions > 0
            && self.transfers.export.is_none()
            && self.phase == Phase::Running
            && self.open.route.len() > 1
            && self.ran() >= self.transfers.copied + every_positions;
        if is_due {
            self.transfers.copied = self.ran();
            self.export(None, fx);
        }
    }

    fn export(&mut self, order: Option<SendCache>, fx: &mut Effects) {
        let attempt = self.ran_attempt();
        self.transfers.export = Some(Export { attempt, order });
        fx.push(AgentAction::ExportCache {
            ticket: self.key(),
            upstream: self.own().upstream.clone(),
            request: self.open.id.request,
        });
    }

    /// Sends the KV cache that the engine has exported.
    pub fn exported(&mut self, cache: Option<KvCache>, fx: &mut Effects) {
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
            send_cache(&transfer, order.to_address, fx);
            self.phase = Phase::Ending;
        } else if export.attempt == self.ran_attempt() {
            self.send_copy(export.attempt, cache, fx);
        }
    }

    fn send_copy(&self, attempt: Attempt, cache: KvCache, fx: &mut Effects) {
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
        let holder = self.copy_holder().agent_address;
        for part in split(&transfer) {
            fx.send(holder, StreamMessage::Checkpoint(Box::new(part)));
        }
    }
}

/// Sends a KV cache to the agent that is to import it.
pub fn send_cache(transfer: &CacheTransfer, to: SocketAddr, fx: &mut Effects) {
    for part in split(transfer) {
        fx.send(to, StreamMessage::Cache(Box::new(part)));
    }
}
