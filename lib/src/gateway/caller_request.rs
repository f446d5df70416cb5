//! The parsed head of a caller's request.

use std::time::Duration;

/// One part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Size and parts of a model request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Parts in order; the last is specific to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the identifier of the last part of the longest prefix that other requests share.
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
    /// Identifier that the caller chose for this attempt.
    pub request_id: String,
    /// Requested host name.
    pub host: String,
    /// API key of the caller.
    pub key: Option<String>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Number of the last event that the caller has, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Size and parts of the prompt, for a model request.
    pub prompt: Option<PromptShape>,
}

impl CallerHead {
    /// Returns the quota units of the request where quotas count tokens: prompt tokens plus the
    /// maximum output tokens, or `plain_cost` without a prompt.
    pub fn token_cost(&self, plain_cost: u64) -> u64 {
        match &self.prompt {
            Some(prompt) => u64::from(prompt.prompt_tokens) + u64::from(prompt.max_output_tokens),
            None => plain_cost,
        }
    }
}
