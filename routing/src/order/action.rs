//! What the shell is to do about calls.

use std::net::SocketAddr;

use bytes::Bytes;
use jujubewall_protocol::call::CallMessage;
use jujubewall_protocol::call::CallResult;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::Revision;
use slotmap::new_key_type;
use smol_str::SmolStr;

new_key_type! {
    /// One shard of keys at one agent.
    pub struct ShardKey;
}

/// A conditional write to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardWrite {
    /// The key.
    pub key: SmolStr,
    /// The revision that the key must have.
    pub expected: Option<Revision>,
    /// The value.
    pub value: Bytes,
}

/// What an agent's shell is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AgentOrderAction {
    /// Send a result to an entry.
    Reply {
        /// The address of the entry.
        entry_address: SocketAddr,
        /// The result.
        result: CallResult,
    },
    /// Call `begin_send` and, if it gives a call, send that call to its upstream once.
    Send {
        /// The request.
        request: RequestId,
    },
    /// List the keys that start with a prefix, and pass the result to `on_shard_loaded`.
    LoadShard {
        /// The shard.
        shard: ShardKey,
        /// The prefix.
        prefix: SmolStr,
    },
    /// Compare and swap, and pass the result to `on_shard_written`.
    WriteShard {
        /// The shard.
        shard: ShardKey,
        /// The write.
        write: ShardWrite,
    },
    /// Delete a key; the result does not matter.
    DeleteSegment {
        /// The key.
        key: SmolStr,
        /// The revision that the key must have.
        expected: Revision,
    },
}

/// What an entry's shell is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryOrderAction {
    /// Hand a message to the transport; a call is handed over at most once.
    Send {
        /// The address of the agent.
        agent_address: SocketAddr,
        /// The message.
        message: CallMessage,
    },
    /// Answer the caller.
    Answer(CallResult),
}
