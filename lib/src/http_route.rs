//! Routes of the front door.

use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::result_code::ResultCode;

/// Result of routing; the error is the code for a request line without a route.
pub type Result<T> = std::result::Result<T, ResultCode>;

/// Route of a request to the front door.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontRoute {
    /// A text completion.
    Completions,
    /// A chat completion.
    ChatCompletions,
    /// An application call.
    App {
        /// Service to call.
        service: ServiceName,
        /// Path relative to the service, with its leading slash and query.
        path: String,
    },
    /// The rest of the answer to an accepted request.
    Answer {
        /// Request whose answer to return.
        request: RequestId,
        /// Offset of the first token to return; of the first byte for applications.
        from: u32,
    },
    /// Liveness check of the process.
    Health,
    /// Readiness check: whether the host accepts new work.
    Ready,
    /// The error budget burn report as JSON.
    Burn,
}

/// Finds the route of a request line.
pub fn find_route(method: &str, path: &str, query: Option<&str>) -> Result<FrontRoute> {
    match path {
        "/v1/completions" => require("POST", method, FrontRoute::Completions),
        "/v1/chat/completions" => require("POST", method, FrontRoute::ChatCompletions),
        "/healthz" => require("GET", method, FrontRoute::Health),
        "/readyz" => require("GET", method, FrontRoute::Ready),
        "/burn" => require("GET", method, FrontRoute::Burn),
        _ => find_nested_route(method, path, query),
    }
}

fn find_nested_route(method: &str, path: &str, query: Option<&str>) -> Result<FrontRoute> {
    if let Some(id) = path.strip_prefix("/v1/requests/") {
        let request = RequestId::try_from(id).map_err(|_| ResultCode::UnknownRequest)?;
        let route = FrontRoute::Answer { request, from: read_from(query)? };
        return require("GET", method, route);
    }
    let rest = path.strip_prefix("/services/").ok_or(ResultCode::UnknownRoute)?;
    let (name, tail) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let service = ServiceName::try_from(name).map_err(|_| ResultCode::UnknownService)?;
    let tail = if tail.is_empty() { "/" } else { tail };
    let path = match query {
        Some(query) => format!("{tail}?{query}"),
        None => tail.to_string(),
    };
    Ok(FrontRoute::App { service, path })
}

/// Reads `from=N` from a query; the last one counts, and 0 is the default.
fn read_from(query: Option<&str>) -> Result<u32> {
    let pairs = query.unwrap_or_default().split('&');
    let value = pairs.filter_map(|pair| pair.strip_prefix("from=")).next_back();
    match value {
        None => Ok(0),
        Some(text) => text.parse().map_err(|_| ResultCode::BadValue),
    }
}

fn require(expected: &str, method: &str, route: FrontRoute) -> Result<FrontRoute> {
    if method == expected { Ok(route) } else { Err(ResultCode::MethodNotAllowed) }
}
