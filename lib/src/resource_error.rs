//! Errors of configuration input: a result code, the path in the JSON form, and what is allowed.

use std::fmt;
use std::ops::RangeInclusive;

use thiserror::Error;

use crate::result_code::ResultCode;

/// Maximum length of a text in an error, in bytes; longer texts are truncated.
pub const MAX_MESSAGE_BYTES: usize = 512;

/// Error for an invalid resource, operation or document.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{code} at {path}: {message}", path = if path.is_empty() { "the document" } else { path })]
pub struct ResourceError {
    /// Result code.
    pub code: ResultCode,
    /// Path of the invalid value, for example `services[2].latency_target.first_token_ms`; empty
    /// for the whole document.
    pub path: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl ResourceError {
    /// Builds an error; texts are truncated to [`MAX_MESSAGE_BYTES`].
    pub fn new(code: ResultCode, path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { code, path: truncate_text(path.into()), message: truncate_text(message.into()) }
    }

    /// Builds an error for an invalid value.
    pub fn invalid(path: &FieldPath, message: impl Into<String>) -> Self {
        Self::new(ResultCode::ConfigInvalid, path.to_string(), message)
    }
}

/// Truncates a text to [`MAX_MESSAGE_BYTES`] at a character boundary.
fn truncate_text(mut text: String) -> String {
    if text.len() > MAX_MESSAGE_BYTES {
        let mut end = MAX_MESSAGE_BYTES;
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        text.truncate(end);
    }
    text
}

/// Result of validating configuration input.
pub type Result<T> = std::result::Result<T, ResourceError>;

/// Path of a value in a JSON document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldPath(String);

impl FieldPath {
    /// Returns the path of the whole document.
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns the path of a field of the value at this path.
    pub fn field(&self, name: &str) -> Self {
        if self.0.is_empty() { Self(name.to_owned()) } else { Self(format!("{}.{name}", self.0)) }
    }

    /// Returns the path of an element of the list at this path.
    pub fn index(&self, index: usize) -> Self {
        Self(format!("{}[{index}]", self.0))
    }

    /// Appends a relative path.
    pub fn join(&self, relative: &str) -> Self {
        match relative {
            "" | "." => self.clone(),
            list if list.starts_with('[') => Self(format!("{}{list}", self.0)),
            field => self.field(field),
        }
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Returns the value, or an error if it is outside the allowed range.
pub fn check_range<T>(path: &FieldPath, value: T, allowed: RangeInclusive<T>) -> Result<T>
where
    T: Copy + PartialOrd + fmt::Display,
{
    if allowed.contains(&value) {
        return Ok(value);
    }
    let (low, high) = (allowed.start(), allowed.end());
    Err(ResourceError::invalid(path, format!("{value} is not in {low} to {high}")))
}

/// Returns an error if the number of entries of a list is outside the allowed range.
pub fn check_count(path: &FieldPath, count: usize, allowed: RangeInclusive<usize>) -> Result<()> {
    if allowed.contains(&count) {
        return Ok(());
    }
    let (low, high) = (allowed.start(), allowed.end());
    Err(ResourceError::invalid(path, format!("{count} entries, allowed are {low} to {high}")))
}
