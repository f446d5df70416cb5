//! Short texts for logs, metrics and records that stand for texts of any length and content.

use std::fmt;
use std::sync::Arc;

/// Maximum length of a text that is its own label, in bytes.
const MAX_PLAIN_BYTES: usize = 48;

/// Prefix of the labels of all other texts; its colon is in no plain label.
const HASH_PREFIX: &str = "hash:";

/// Length of the hash in such a label, in hexadecimal digits.
const HASH_DIGITS: usize = 32;

/// A label of a text from outside: the text itself if it is short and plain, or else its hash. Texts
/// that differ have different labels.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TextLabel(Arc<str>);

impl TextLabel {
    /// Returns the label of a text.
    pub fn of(text: &[u8]) -> Self {
        let is_plain = |byte: &u8| byte.is_ascii_alphanumeric() || b"._+-".contains(byte);
        // A lone dash stands for nothing in logs.
        if text.len() <= MAX_PLAIN_BYTES
            && text.iter().all(is_plain)
            && text.iter().any(u8::is_ascii_alphanumeric)
            && let Ok(plain) = std::str::from_utf8(text)
        {
            return Self(Arc::from(plain));
        }
        let digits = blake3::hash(text).to_hex();
        Self(Arc::from(format!("{HASH_PREFIX}{}", &digits[..HASH_DIGITS])))
    }

    /// Returns a label that a peer or a record of this system states; `None` if it is not one.
    pub fn parse(label: &str) -> Option<Self> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        let is_hash = label
            .strip_prefix(HASH_PREFIX)
            .is_some_and(|digits| digits.len() == HASH_DIGITS && digits.bytes().all(is_digit));
        (is_hash || Self::of(label.as_bytes()).as_str() == label).then(|| Self(Arc::from(label)))
    }

    /// Returns the label as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TextLabel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
