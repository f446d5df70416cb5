//! A caller's request after it was decoded.

use std::time::Duration;

/// One part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's text.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// Size and parts of a model request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Tokens that may be generated.
    pub max_output_tokens: u32,
    /// Parts in order; the last belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the identity of the longest prefix that other requests share.
    pub fn shared_prefix(&self) -> Option<u64> {
        match self.parts.as_slice() {
            [] => None,
            [only] => Some(only.id),
            [.., shared, _] => Some(shared.id),
        }
    }
}

/// The head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's name for this attempt of its own.
    pub request_id: String,
    /// Host name that was asked for.
    pub host: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Time that the caller will wait.
    pub timeout: Option<Duration>,
    /// Event after which a resumed stream goes on.
    pub resume_after: Option<u64>,
    /// Size and parts of the prompt, if it is a model request.
    pub prompt: Option<PromptShape>,
}

impl CallerHead {
    /// Returns the units of quota that the request costs if tokens are counted.
    pub fn token_cost(&self, plain_cost: u64) -> u64 {
        match &self.prompt {
            Some(prompt) => u64::from(prompt.prompt_tokens) + u64::from(prompt.max_output_tokens),
            None => plain_cost,
        }
    }
}
