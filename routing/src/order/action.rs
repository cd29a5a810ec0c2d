//! Actions that the state machines request from the I/O code that drives them.

use std::net::SocketAddr;

use bytes::Bytes;
use jujubewall_protocol::call::CallMessage;
use jujubewall_protocol::call::CallResult;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::Revision;
use slotmap::new_key_type;
use smol_str::SmolStr;

new_key_type! {
    /// Identifies a shard of idempotency keys within one agent.
    pub struct ShardKey;
}

/// A conditional write to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardWrite {
    /// The key to write.
    pub key: SmolStr,
    /// The revision that the key must have; `None` if it must not exist.
    pub expected: Option<Revision>,
    /// The encoded record.
    pub value: Bytes,
}

/// An action requested by [`AgentOrders`](crate::order::agent::AgentOrders).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AgentOrderAction {
    /// Send the result of a call to an entry.
    Reply {
        /// The address of the entry.
        entry_address: SocketAddr,
        /// The result to send.
        result: CallResult,
    },
    /// Call `begin_send` and, if it returns a call, send that call to its upstream once.
    Send {
        /// The request to pass to `begin_send`.
        request: RequestId,
    },
    /// List the keys that start with a prefix, and pass the result to `on_shard_loaded`.
    LoadShard {
        /// The shard to read.
        shard: ShardKey,
        /// The prefix of the shard's keys.
        prefix: SmolStr,
    },
    /// Execute a compare-and-swap, and pass the result to `on_shard_written`.
    WriteShard {
        /// The shard to write.
        shard: ShardKey,
        /// The write to execute.
        write: ShardWrite,
    },
    /// Delete the key of a dropped segment; the result is ignored.
    DeleteSegment {
        /// The key of the segment.
        key: SmolStr,
        /// The revision that the key must have.
        expected: Revision,
    },
}

/// An action requested by [`EntryOrders`](crate::order::entry::EntryOrders).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryOrderAction {
    /// Send a message to an agent; each call is passed to the transport at most once.
    Send {
        /// The address of the agent.
        agent_address: SocketAddr,
        /// The message to send.
        message: CallMessage,
    },
    /// Return the result to the caller.
    Answer(CallResult),
}
