//! Bodies of the completion API: requests, complete answers and stream events.
//!
//! Request fields that the system does not use, such as temperature, are accepted and ignored,
//! since client libraries send them by default.

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::engine::FinishReason;
use crate::http_reply::FrontError;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::result_code::ResultCode;
use crate::session_request::TokenUsage;

/// Maximum length of an answer in tokens if the request sets none.
pub const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest maximum length of an answer that a request may set, in tokens.
pub const MAX_MAX_TOKENS: u32 = 32_768;

/// Result of reading a completion request.
pub type Result<T> = std::result::Result<T, FrontError>;

/// Which of the two completion routes a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A validated completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Route.
    pub kind: CompletionKind,
    /// Requested service: the part of `model` before the colon.
    pub service: ServiceName,
    /// Requested adapter: the part of `model` after the colon.
    pub adapter: Option<String>,
    /// Prompt; the messages of a chat are joined into one text.
    pub prompt: String,
    /// Maximum length of the answer in tokens.
    pub max_tokens: u32,
    /// Whether to stream the answer.
    pub stream: bool,
    /// Whether the stream ends with an event that has the token counts.
    pub include_usage: bool,
}

#[derive(Deserialize)]
struct RawCompletion {
    model: Option<String>,
    prompt: Option<RawPrompt>,
    messages: Option<Vec<RawMessage>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<RawStreamOptions>,
    n: Option<u32>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawPrompt {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct RawMessage {
    role: String,
    content: RawContent,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawContent {
    Text(String),
    Parts(Vec<RawPart>),
}

#[derive(Deserialize)]
struct RawPart {
    text: String,
}

#[derive(Deserialize)]
struct RawStreamOptions {
    #[serde(default)]
    include_usage: bool,
}

impl CompletionRequest {
    /// Parses and validates the body of a completion request.
    pub fn parse(kind: CompletionKind, body: &[u8]) -> Result<Self> {
        let value: Value = serde_json::from_slice(body).map_err(|error| {
            FrontError::new(ResultCode::BadJson, format!("body is not valid JSON: {error}"))
        })?;
        let raw = RawCompletion::deserialize(value).map_err(|error| {
            FrontError::new(ResultCode::BadValue, format!("body has a wrong field: {error}"))
        })?;
        let (service, adapter) = read_model(raw.model.as_deref())?;
        if raw.n.is_some_and(|n| n != 1) {
            return Err(bad_value("n", "only 1 answer can be asked for"));
        }
        let prompt = match kind {
            CompletionKind::Text => read_prompt(raw.prompt)?,
            CompletionKind::Chat => read_messages(raw.messages)?,
        };
        let max_tokens = read_max_tokens(raw.max_completion_tokens.or(raw.max_tokens))?;
        let include_usage = raw.stream_options.is_some_and(|options| options.include_usage);
        Ok(Self { kind, service, adapter, prompt, max_tokens, stream: raw.stream, include_usage })
    }
}

fn read_model(model: Option<&str>) -> Result<(ServiceName, Option<String>)> {
    let model = model.ok_or_else(|| missing("model"))?;
    let (name, adapter) = match model.split_once(':') {
        Some((name, adapter)) => (name, Some(adapter.to_string())),
        None => (model, None),
    };
    let service =
        ServiceName::try_from(name).map_err(|error| bad_value("model", &error.to_string()))?;
    Ok((service, adapter))
}

fn read_prompt(prompt: Option<RawPrompt>) -> Result<String> {
    let prompt = match prompt.ok_or_else(|| missing("prompt"))? {
        RawPrompt::One(text) => text,
        RawPrompt::Many(mut texts) if texts.len() == 1 => texts.remove(0),
        RawPrompt::Many(_) => return Err(bad_value("prompt", "must be one text")),
    };
    if prompt.trim().is_empty() {
        return Err(bad_value("prompt", "must not be empty"));
    }
    Ok(prompt)
}

fn read_messages(messages: Option<Vec<RawMessage>>) -> Result<String> {
    let messages = messages.ok_or_else(|| missing("messages"))?;
    if messages.is_empty() {
        return Err(bad_value("messages", "must not be empty"));
    }
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match message.content {
            RawContent::Text(text) => prompt.push_str(&text),
            RawContent::Parts(parts) => parts.iter().for_each(|part| prompt.push_str(&part.text)),
        }
        prompt.push('\n');
    }
    Ok(prompt)
}

fn read_max_tokens(max_tokens: Option<u32>) -> Result<u32> {
    match max_tokens.unwrap_or(DEFAULT_MAX_TOKENS) {
        allowed @ 1..=MAX_MAX_TOKENS => Ok(allowed),
        _ => Err(bad_value("max_tokens", &format!("must be from 1 to {MAX_MAX_TOKENS}"))),
    }
}

fn missing(field: &str) -> FrontError {
    FrontError::new(ResultCode::MissingField, format!("field {field} is missing")).with_param(field)
}

fn bad_value(field: &str, problem: &str) -> FrontError {
    FrontError::new(ResultCode::BadValue, format!("field {field}: {problem}")).with_param(field)
}

/// Writes the answers to one completion request.
#[derive(Clone, Debug)]
pub struct CompletionWriter {
    kind: CompletionKind,
    id: String,
    model: String,
    created_s: u64,
}

impl CompletionWriter {
    /// Creates a writer; `created_s` is in seconds since the Unix epoch.
    pub fn new(kind: CompletionKind, request: RequestId, model: &str, created_s: u64) -> Self {
        let prefix = match kind {
            CompletionKind::Text => "cmpl",
            CompletionKind::Chat => "chatcmpl",
        };
        Self { kind, id: format!("{prefix}-{request}"), model: model.to_string(), created_s }
    }

    /// Returns the stream event for one piece of text.
    pub fn text_event(&self, text: &str) -> String {
        self.event(match self.kind {
            CompletionKind::Text => json!({"index": 0, "text": text, "finish_reason": null}),
            CompletionKind::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
        })
    }

    /// Returns the stream event that opens a chat answer, or `None` for a text completion.
    pub fn opening_event(&self) -> Option<String> {
        let choice = json!({
            "index": 0, "delta": {"role": "assistant", "content": ""}, "finish_reason": null
        });
        (self.kind == CompletionKind::Chat).then(|| self.event(choice))
    }

    /// Returns the stream event that ends the answer.
    pub fn finish_event(&self, reason: FinishReason) -> String {
        self.event(match self.kind {
            CompletionKind::Text => {
                json!({"index": 0, "text": "", "finish_reason": reason_text(reason)})
            }
            CompletionKind::Chat => {
                json!({"index": 0, "delta": {}, "finish_reason": reason_text(reason)})
            }
        })
    }

    /// Returns the stream event with the token counts.
    pub fn usage_event(&self, usage: TokenUsage) -> String {
        let mut body = self.envelope(self.chunk_object());
        body["choices"] = json!([]);
        body["usage"] = usage_json(usage);
        format!("data: {body}\n\n")
    }

    /// Returns the body of an answer that is not streamed.
    pub fn whole_answer(&self, text: &str, reason: FinishReason, usage: TokenUsage) -> Value {
        let (object, choice) = match self.kind {
            CompletionKind::Text => ("text_completion", json!({"index": 0, "text": text})),
            CompletionKind::Chat => {
                let message = json!({"role": "assistant", "content": text});
                ("chat.completion", json!({"index": 0, "message": message}))
            }
        };
        let mut body = self.envelope(object);
        body["choices"] = json!([choice]);
        body["choices"][0]["finish_reason"] = json!(reason_text(reason));
        body["usage"] = usage_json(usage);
        body
    }

    fn event(&self, choice: Value) -> String {
        let mut body = self.envelope(self.chunk_object());
        body["choices"] = json!([choice]);
        format!("data: {body}\n\n")
    }

    fn chunk_object(&self) -> &'static str {
        match self.kind {
            CompletionKind::Text => "text_completion",
            CompletionKind::Chat => "chat.completion.chunk",
        }
    }

    fn envelope(&self, object: &str) -> Value {
        json!({
            "id": self.id, "object": object, "created": self.created_s, "model": self.model
        })
    }
}

fn reason_text(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

fn usage_json(usage: TokenUsage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    })
}
