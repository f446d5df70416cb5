//! Answers of the engine stand-in, as pure functions of model, prompt and offset.
//!
//! An engine that resumes an answer at an offset therefore continues with the same text, and a test
//! can compute the whole answer that a caller must get.

/// A prompt that contains this marker crashes the server that runs it.
pub const CRASH_MARKER: &str = "[[crash]]";

/// A prompt that contains this marker, a decimal number and `]]` gets an answer of that many
/// tokens.
pub const LENGTH_MARKER: &str = "[[tokens=";

/// Minimum length of an answer whose prompt sets no length, in tokens.
const MIN_ANSWER_TOKENS: u64 = 16;
/// Width of the range of answer lengths above the minimum, exclusive, in tokens.
const ANSWER_TOKENS_RANGE: u64 = 48;

const WORDS: [&str; 16] = [
    "wind", "gust", "mark", "buoy", "tide", "course", "start", "leg", "file", "session", "agenda",
    "slot", "notice", "hearing", "brief", "summary",
];

/// Returns the token at an offset. In a prompt, it counts as one token too.
pub fn answer_token(model: &str, prompt: &str, offset: u32) -> String {
    let hash = answer_hash(model, prompt, Some(offset));
    let word = WORDS[usize::try_from(hash % WORDS.len() as u64).unwrap_or_default()];
    format!("{word}-{:04x} ", hash >> 48)
}

/// Returns the length of the whole answer in tokens, at most `max_tokens`.
pub fn answer_length(model: &str, prompt: &str, max_tokens: u32) -> u32 {
    natural_length(model, prompt).min(max_tokens)
}

/// Returns the whole answer.
pub fn whole_answer(model: &str, prompt: &str, max_tokens: u32) -> String {
    let length = answer_length(model, prompt, max_tokens);
    (0..length).map(|offset| answer_token(model, prompt, offset)).collect()
}

/// Returns the number of tokens after which the model ends the answer by itself.
pub fn natural_length(model: &str, prompt: &str) -> u32 {
    if let Some(length) = marked_length(prompt) {
        return length;
    }
    let hash = answer_hash(model, prompt, None);
    u32::try_from(MIN_ANSWER_TOKENS + hash % ANSWER_TOKENS_RANGE).unwrap_or(u32::MAX)
}

fn marked_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(LENGTH_MARKER)?;
    let (number, _) = rest.split_once("]]")?;
    number.parse().ok()
}

fn answer_hash(model: &str, prompt: &str, offset: Option<u32>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(&[0]);
    hasher.update(prompt.as_bytes());
    if let Some(offset) = offset {
        hasher.update(&[0]);
        hasher.update(&offset.to_le_bytes());
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
