//! The parsed head of a caller's request.

use std::fmt;
use std::time::Duration;

use crate::text_label::TextLabel;

/// Maximum number of parts in a log line.
const MAX_LOGGED_PARTS: usize = 16;

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

    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// The shared parts of a prompt as they are logged: hexadecimal identifiers, separated by commas.
pub struct PartList<'a>(pub Option<&'a PromptShape>);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shared = self.0.map_or(&[][..], PromptShape::shared_parts);
        if shared.is_empty() {
            return formatter.write_str("-");
        }
        for (index, part) in shared.iter().take(MAX_LOGGED_PARTS).enumerate() {
            let separator = if index > 0 { "," } else { "" };
            write!(formatter, "{separator}{:08x}", part.id)?;
        }
        if shared.len() > MAX_LOGGED_PARTS { formatter.write_str(",...") } else { Ok(()) }
    }
}

/// The number of the event after which a stream resumes, as it is logged: a dash for a new stream.
pub struct EventNumber(pub Option<u64>);

impl fmt::Display for EventNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => number.fmt(formatter),
            None => formatter.write_str("-"),
        }
    }
}

/// The attempt of its caller that brought the first event of a stream which a request resumes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StreamOrigin {
    /// The request names none.
    #[default]
    Unnamed,
    /// Label of the attempt's identifier.
    Named(TextLabel),
    /// The request names several.
    Ambiguous,
}

impl fmt::Display for StreamOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unnamed => formatter.write_str("-"),
            Self::Named(label) => label.fmt(formatter),
            Self::Ambiguous => formatter.write_str("ambiguous"),
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
    /// Where the stream that it resumes began.
    pub origin: StreamOrigin,
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
