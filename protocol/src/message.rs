//! The message that one process sends to another.

use serde::Deserialize;
use serde::Serialize;

use crate::call::CallMessage;
use crate::config::ConfigMessage;
use crate::limit::LimitMessage;
use crate::member::MemberMessage;
use crate::report::ReportMessage;
use crate::stream::StreamMessage;

/// Any message between two processes of the system.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// A message about a streaming answer.
    Stream(StreamMessage),
    /// A message about a call to a plain service.
    Call(CallMessage),
    /// A message about membership.
    Member(MemberMessage),
    /// A message about the configuration.
    Config(ConfigMessage),
    /// A message about the limits of accounts.
    Limit(LimitMessage),
    /// A message about what engines hold and are to hold.
    Report(ReportMessage),
}

impl From<StreamMessage> for Message {
    fn from(message: StreamMessage) -> Self {
        Self::Stream(message)
    }
}

impl From<CallMessage> for Message {
    fn from(message: CallMessage) -> Self {
        Self::Call(message)
    }
}

impl From<MemberMessage> for Message {
    fn from(message: MemberMessage) -> Self {
        Self::Member(message)
    }
}

impl From<ConfigMessage> for Message {
    fn from(message: ConfigMessage) -> Self {
        Self::Config(message)
    }
}

impl From<LimitMessage> for Message {
    fn from(message: LimitMessage) -> Self {
        Self::Limit(message)
    }
}

impl From<ReportMessage> for Message {
    fn from(message: ReportMessage) -> Self {
        Self::Report(message)
    }
}
