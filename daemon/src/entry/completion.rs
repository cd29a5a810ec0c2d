//! Completions as callers write and read them.

use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// The number of tokens that are generated unless the caller asks for another one.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// The form in which a completion was asked for and is answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// A text that is to be continued.
    Text,
    /// Messages that are to be answered.
    Chat,
}

/// A prompt: one text, or a list that holds one.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// One text.
    Text(String),
    /// A list of texts.
    Texts(Vec<String>),
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// The body of a request; members that it does not name are passed over.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: ModelName,
    /// The prompt of a text completion.
    pub prompt: Option<Prompt>,
    /// The messages of a chat completion.
    pub messages: Option<Vec<ChatMessage>>,
    /// The number of tokens to generate.
    pub max_tokens: Option<u32>,
    /// The newer name of `max_tokens`.
    pub max_completion_tokens: Option<u32>,
    /// Whether the answer is sent as a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// The number of answers, of which one is supported.
    pub n: Option<u32>,
    /// Texts that end an answer, which are not supported.
    pub stop: Option<serde_json::Value>,
}

impl CompletionRequest {
    /// Returns the text that the answer continues.
    pub fn prompt_text(&self, form: Form) -> Result<String, Failure> {
        self.check_supported()?;
        let text = match form {
            Form::Text => self.text_prompt()?,
            Form::Chat => self.chat_prompt()?,
        };
        if text.is_empty() {
            return Err(bad_request("the prompt is empty"));
        }
        Ok(text)
    }

    /// Returns the number of tokens to generate.
    pub fn max_tokens(&self) -> u32 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS)
    }

    fn check_supported(&self) -> Result<(), Failure> {
        if self.n.is_some_and(|n| n != 1) {
            return Err(bad_request("n is 1; ask once for each answer"));
        }
        if self.stop.as_ref().is_some_and(|stop| !stop.is_null()) {
            return Err(bad_request("stop is not supported; use max_tokens"));
        }
        if self.max_tokens() == 0 {
            return Err(bad_request("max_tokens is at least 1"));
        }
        Ok(())
    }

    fn text_prompt(&self) -> Result<String, Failure> {
        match &self.prompt {
            Some(Prompt::Text(text)) => Ok(text.clone()),
            Some(Prompt::Texts(texts)) if texts.len() == 1 => Ok(texts[0].clone()),
            Some(Prompt::Texts(_)) => Err(bad_request("prompt holds exactly one text")),
            None => Err(bad_request("prompt is missing")),
        }
    }

    fn chat_prompt(&self) -> Result<String, Failure> {
        let Some(messages) = &self.messages else {
            return Err(bad_request("messages is missing"));
        };
        let lines = messages
            .iter()
            .map(|message| format!("{}: {}\n", message.role, message.content));
        Ok(lines.collect())
    }
}

/// The number of tokens of an answer and its prompt.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The tokens of the answer.
    pub completion_tokens: u32,
    /// Both together.
    pub total_tokens: u32,
}

/// The text of a chat answer.
#[derive(Clone, Debug, Serialize)]
pub struct ChatText {
    /// Who speaks.
    pub role: &'static str,
    /// What is said.
    pub content: String,
}

/// One answer or a part of one.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Choice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatText>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatText>,
    finish_reason: Option<&'static str>,
}

/// An answer or a part of one.
#[derive(Clone, Debug, Serialize)]
pub struct Completion {
    id: String,
    object: &'static str,
    created: u64,
    model: ModelName,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// What all parts of one answer share.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The request.
    pub request: RequestId,
    /// The model.
    pub model: ModelName,
    /// The form.
    pub form: Form,
    /// When the request came, in seconds since the Unix epoch.
    pub created_unix_s: u64,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
}

impl AnswerHead {
    /// Builds one part of a streamed answer.
    pub fn part(&self, text: String) -> Completion {
        let choice = match self.form {
            Form::Text => Choice {
                text: Some(text),
                ..Choice::default()
            },
            Form::Chat => Choice {
                delta: Some(assistant(text)),
                ..Choice::default()
            },
        };
        let object = match self.form {
            Form::Text => "text_completion",
            Form::Chat => "chat.completion.chunk",
        };
        self.completion(object, choice, None)
    }

    /// Builds the last part of a streamed answer.
    pub fn last_part(&self, text: String, completion_tokens: u32) -> Completion {
        let mut part = self.part(text);
        part.choices[0].finish_reason = Some("length");
        part.usage = Some(self.usage(completion_tokens));
        part
    }

    /// Builds a whole answer.
    pub fn whole(&self, text: String, completion_tokens: u32) -> Completion {
        let finish_reason = Some("length");
        let choice = match self.form {
            Form::Text => Choice {
                text: Some(text),
                finish_reason,
                ..Choice::default()
            },
            Form::Chat => Choice {
                message: Some(assistant(text)),
                finish_reason,
                ..Choice::default()
            },
        };
        let object = match self.form {
            Form::Text => "text_completion",
            Form::Chat => "chat.completion",
        };
        self.completion(object, choice, Some(self.usage(completion_tokens)))
    }

    fn usage(&self, completion_tokens: u32) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens,
            total_tokens: self.prompt_tokens + completion_tokens,
        }
    }

    fn completion(&self, object: &'static str, choice: Choice, usage: Option<Usage>) -> Completion {
        Completion {
            id: format!("cmpl-{}", self.request),
            object,
            created: self.created_unix_s,
            model: self.model.clone(),
            choices: [choice],
            usage,
        }
    }
}

fn assistant(content: String) -> ChatText {
    ChatText {
        role: "assistant",
        content,
    }
}

fn bad_request(message: &str) -> Failure {
    Failure::new(ErrorKind::BadRequest, message)
}
