//! Reads and checks the headers and bodies of callers' HTTP requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Body;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_LENGTH;

use crate::http_reply::DEADLINE_HEADER;
use crate::http_reply::FrontError;
use crate::http_reply::IDEMPOTENCY_HEADER;
use crate::resource::ConfigState;
use crate::resource::TeamResource;
use crate::result_code::ResultCode;
use crate::settings::FrontDoorSettings;

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;
/// Longest deadline that a caller may request.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Headers that are not forwarded since they belong to one connection, in lower case.
const UNFORWARDED_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Result of reading a request.
pub type Result<T> = std::result::Result<T, FrontError>;

/// Refuses a header section that exceeds the limit.
pub fn check_header_size(headers: &HeaderMap, uri_bytes: usize, max_bytes: usize) -> Result<()> {
    // Besides the name and value, each line has a colon, a space and a two-byte line ending.
    let line_bytes = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    if uri_bytes + line_bytes.sum::<usize>() <= max_bytes {
        return Ok(());
    }
    let message = format!("the header section is over {max_bytes} bytes");
    Err(FrontError::new(ResultCode::HeaderTooLarge, message))
}

/// Reads the bearer token.
pub fn read_token(headers: &HeaderMap) -> Result<&str> {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let parts = value.and_then(|value| value.split_once(' '));
    match parts {
        Some((scheme, token)) if scheme.eq_ignore_ascii_case("bearer") => Ok(token.trim()),
        _ => Err(unauthorized()),
    }
}

/// Returns the team that the bearer token belongs to.
pub fn find_team<'a>(headers: &HeaderMap, config: &'a ConfigState) -> Result<&'a TeamResource> {
    config.team_of_token(read_token(headers)?).ok_or_else(unauthorized)
}

fn unauthorized() -> FrontError {
    let message = "send a team's token as 'Authorization: Bearer <token>'";
    FrontError::new(ResultCode::Unauthorized, message).with_param("Authorization")
}

/// Reads the caller's deadline, or returns `default` if there is none.
pub fn read_deadline(headers: &HeaderMap, default: Duration) -> Result<Duration> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(default) };
    let millis = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    match millis.map(Duration::from_millis) {
        Some(deadline) if !deadline.is_zero() && deadline <= MAX_DEADLINE => Ok(deadline),
        _ => {
            let message = format!("must be from 1 to {} milliseconds", MAX_DEADLINE.as_millis());
            Err(FrontError::new(ResultCode::BadValue, message).with_param(DEADLINE_HEADER))
        }
    }
}

/// Reads the caller's idempotency key, if there is one.
pub fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<String>> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else { return Ok(None) };
    let key = value.to_str().ok().map(str::trim);
    match key {
        Some(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.to_string())),
        _ => {
            let message = format!("must be 1 to {MAX_KEY_BYTES} printable ASCII characters");
            Err(FrontError::new(ResultCode::BadValue, message).with_param(IDEMPOTENCY_HEADER))
        }
    }
}

/// Returns the headers to forward to an application, without hop-by-hop ones and the token.
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let kept = headers.iter().filter(|(name, _)| {
        **name != AUTHORIZATION && !UNFORWARDED_HEADERS.contains(&name.as_str())
    });
    let text = kept.filter_map(|(name, value)| {
        value.to_str().ok().map(|value| (name.to_string(), value.to_string()))
    });
    text.collect()
}

/// Reads the body within the size limit and the timeout.
pub async fn read_body<B>(request: Request<B>, settings: &FrontDoorSettings) -> Result<Bytes>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let declared = request.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let declared = declared.and_then(|text| text.parse::<usize>().ok());
    if declared.is_some_and(|bytes| bytes > settings.max_body_bytes) {
        return Err(body_too_large(settings.max_body_bytes));
    }
    let collecting = Limited::new(request.into_body(), settings.max_body_bytes).collect();
    match tokio::time::timeout(settings.body_timeout, collecting).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(body_too_large(settings.max_body_bytes))
        }
        Ok(Err(error)) => {
            let message = format!("the body broke off: {error}");
            Err(FrontError::new(ResultCode::BadValue, message))
        }
        Err(_) => {
            let message = "the body did not arrive in time";
            Err(FrontError::new(ResultCode::CallerTooSlow, message))
        }
    }
}

fn body_too_large(max_bytes: usize) -> FrontError {
    FrontError::new(ResultCode::BodyTooLarge, format!("the body is over {max_bytes} bytes"))
}
