//! HTTP client of an entry host's front door, for tests.

use std::io::BufRead as _;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

/// Timeout of a call; a call that takes longer has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontDoorReply {
    /// HTTP status; 0 if the connection failed or the body could not be read.
    pub status: u16,
    /// Result code from the reply's header.
    pub code: Option<u16>,
    /// Request id, with which the answer can be fetched later.
    pub request_id: Option<String>,
    /// Reply body.
    pub body: String,
}

impl FrontDoorReply {
    /// Returns the text of a non-streamed completion.
    ///
    /// # Panics
    ///
    /// Panics if the body is not a completion.
    pub fn text(&self) -> String {
        let body = self.json();
        body["choices"][0]["text"].as_str().expect("the answer has a text").to_owned()
    }

    /// Returns the body as JSON.
    ///
    /// # Panics
    ///
    /// Panics if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }
}

/// The part of a streamed completion that was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamedReply {
    /// Request id, with which the rest of the answer can be fetched.
    pub request_id: String,
    /// Token texts, in order.
    pub tokens: Vec<String>,
    /// Whether the stream ended with `[DONE]`.
    pub is_done: bool,
    /// Result code of the error event that ended the stream, if any.
    pub error: Option<u64>,
}

/// Calls one entry host's front door with one team's token.
#[derive(Clone, Debug)]
pub struct FrontDoorClient {
    address: SocketAddr,
    token: String,
}

impl FrontDoorClient {
    /// Creates a client.
    pub fn new(address: SocketAddr, token: &str) -> Self {
        Self { address, token: token.to_owned() }
    }

    /// Sends a GET request.
    pub fn get(&self, path: &str) -> FrontDoorReply {
        self.call("GET", path, &[], "")
    }

    /// Sends a POST request with an optional idempotency key.
    pub fn post(&self, path: &str, key: Option<&str>, body: &str) -> FrontDoorReply {
        let header = key.map(|key| ("idempotency-key", key.to_owned()));
        self.call("POST", path, header.as_slice(), body)
    }

    /// Sends a POST request with an idempotency key and a deadline in milliseconds.
    pub fn post_with_deadline(
        &self,
        path: &str,
        key: &str,
        deadline_ms: u64,
        body: &str,
    ) -> FrontDoorReply {
        let deadline = ("pomelostack-deadline-ms", deadline_ms.to_string());
        self.call("POST", path, &[("idempotency-key", key.to_owned()), deadline], body)
    }

    /// Requests a non-streamed completion.
    pub fn complete(&self, model: &str, prompt: &str, max_tokens: u32) -> FrontDoorReply {
        let body = completion_body(model, prompt, max_tokens, false);
        self.post("/v1/completions", None, &body)
    }

    /// Streams a completion and calls `on_token` after each token with the number received so far.
    ///
    /// # Panics
    ///
    /// Panics if no reply with a request id begins, or if an event is not JSON.
    pub fn stream(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        mut on_token: impl FnMut(usize),
    ) -> StreamedReply {
        let body = completion_body(model, prompt, max_tokens, true);
        let mut reply = self.run("POST", "/v1/completions", &[], &body).expect("a reply begins");
        let request_id =
            header(&reply, "pomelostack-request-id").expect("the reply has a request id");
        let mut streamed =
            StreamedReply { request_id, tokens: Vec::new(), is_done: false, error: None };
        for line in BufReader::new(reply.body_mut().as_reader()).lines() {
            // A broken connection ends the stream.
            let Ok(line) = line else { break };
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                streamed.is_done = true;
                continue;
            }
            let event: Value = serde_json::from_str(data).expect("an event is JSON");
            if let Some(code) = event["error"]["code"].as_u64() {
                streamed.error = Some(code);
            } else if let Some(text) = event["choices"][0]["text"].as_str()
                && !text.is_empty()
            {
                streamed.tokens.push(text.to_owned());
                on_token(streamed.tokens.len());
            }
        }
        streamed
    }

    /// Fetches the rest of an answer from a token offset until the answer is complete.
    ///
    /// # Panics
    ///
    /// Panics if the answer is not stored.
    pub fn fetch_remaining_text(&self, request_id: &str, from: usize) -> String {
        let (mut text, mut next) = (String::new(), from as u64);
        loop {
            let reply = self.get(&format!("/v1/requests/{request_id}?from={next}"));
            assert_eq!(reply.status, 200, "{reply:?}");
            let body = reply.json();
            text.push_str(body["text"].as_str().expect("the answer has a text"));
            next = body["next"].as_u64().expect("the answer has an offset");
            if body["state"] == "complete" {
                return text;
            }
        }
    }

    fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &str,
    ) -> FrontDoorReply {
        let failed =
            FrontDoorReply { status: 0, code: None, request_id: None, body: String::new() };
        let Ok(mut reply) = self.run(method, path, headers, body) else { return failed };
        let code = header(&reply, "pomelostack-result").and_then(|text| text.parse().ok());
        let request_id = header(&reply, "pomelostack-request-id");
        let status = reply.status().as_u16();
        match reply.body_mut().read_to_string() {
            Ok(body) => FrontDoorReply { status, code, request_id, body },
            Err(_) => FrontDoorReply { code, request_id, ..failed },
        }
    }

    fn run(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &str,
    ) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .max_idle_connections(0);
        let mut builder = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            builder = builder.header(*name, value);
        }
        let request = builder.body(body.to_owned()).expect("the request is well formed");
        ureq::Agent::new_with_config(config.build()).run(request)
    }
}

fn completion_body(model: &str, prompt: &str, max_tokens: u32, stream: bool) -> String {
    serde_json::json!({
        "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream
    })
    .to_string()
}

fn header(reply: &ureq::http::Response<ureq::Body>, name: &str) -> Option<String> {
    reply.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}
