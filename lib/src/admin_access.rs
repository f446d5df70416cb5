//! Authentication of operators by bearer token, and their roles.

use tonic::metadata::MetadataMap;

use crate::admin_status::Result;
use crate::admin_status::error_status;
use crate::config_record::ChangeAuthor;
use crate::resource::TokenHash;
use crate::result_code::ResultCode;

/// Hexadecimal digits of a token's hash that identify the token in the change history.
const TOKEN_ID_DIGITS: usize = 8;

/// What a token allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRole {
    /// Read-only calls.
    Read,
    /// All calls.
    Write,
}

/// A token of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorToken {
    /// Name of the operator, as the history shows it.
    pub operator: String,
    /// What the token allows.
    pub role: OperatorRole,
    /// Hash of the token.
    pub hash: TokenHash,
}

/// Authorizes calls by their bearer tokens.
#[derive(Clone, Debug, Default)]
pub struct OperatorAccess {
    tokens: Vec<OperatorToken>,
}

impl OperatorAccess {
    /// Accepts exactly the given tokens.
    pub fn new(tokens: Vec<OperatorToken>) -> Self {
        Self { tokens }
    }

    /// Returns whether the token is an operator's. Every role may read.
    pub fn may_read(&self, token: &str) -> bool {
        self.find(token).is_some()
    }

    /// Finds a token.
    ///
    /// Every hash is compared, each in constant time, so that timing does not reveal a match.
    fn find(&self, token: &str) -> Option<&OperatorToken> {
        let mut found = None;
        for candidate in &self.tokens {
            if candidate.hash.matches(token) {
                found = Some(candidate);
            }
        }
        found
    }

    /// Returns the operator who makes a call if the token has at least the `needed` role.
    pub fn authorize(&self, metadata: &MetadataMap, needed: OperatorRole) -> Result<ChangeAuthor> {
        let unauthorized = || {
            let message = "the operators' token is missing or wrong";
            error_status(ResultCode::OperatorUnauthorized, "", message)
        };
        let header = metadata.get("authorization").and_then(|value| value.to_str().ok());
        let token =
            header.and_then(|value| value.strip_prefix("Bearer ")).ok_or_else(unauthorized)?;
        let found = self.find(token).ok_or_else(unauthorized)?;
        if found.role < needed {
            let message = "the token allows reading alone";
            return Err(error_status(ResultCode::OperatorForbidden, "", message));
        }
        let token_id = found.hash.to_hex().chars().take(TOKEN_ID_DIGITS).collect();
        Ok(ChangeAuthor { operator: found.operator.clone(), token_id })
    }
}
