//! Converts a session's output to the caller's HTTP reply.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use tokio_stream::StreamExt as _;
use tokio_stream::wrappers::ReceiverStream;

use crate::app_server::AppResponse;
use crate::completion_api::CompletionRequest;
use crate::completion_api::CompletionWriter;
use crate::engine::FinishReason;
use crate::http_reply::FrontError;
use crate::http_reply::FrontReply;
use crate::http_reply::RESULT_HEADER;
use crate::http_reply::ReplyBody;
use crate::http_reply::full_body;
use crate::http_reply::json_reply;
use crate::http_reply::set_request_id;
use crate::ids::RequestId;
use crate::reply_channel::ReplyPart;
use crate::reply_channel::ReplyReceiver;
use crate::result_code::RequestOutcome;
use crate::result_code::ResultCode;
use crate::session_request::SessionEnd;
use crate::session_request::TokenUsage;

/// Number of stream events that may wait to be written to the caller's connection.
const EVENT_BUFFER: usize = 16;

/// Replies to a completion request, streamed if it asks for that.
pub async fn completion_reply(
    request: RequestId,
    completion: &CompletionRequest,
    writer: CompletionWriter,
    mut parts: ReplyReceiver,
) -> FrontReply {
    if !completion.stream {
        return unstreamed_reply(request, writer, parts).await;
    }
    // The status line is sent with the first token, so that an earlier failure gets its own status.
    let first = match parts.recv().await {
        Some(ReplyPart::Token(chunk)) => StreamStart::Token(chunk.text),
        Some(ReplyPart::End(SessionEnd::ModelDone { finish_reason, usage })) => {
            StreamStart::Done(finish_reason, usage)
        }
        Some(ReplyPart::End(end)) => return error_of_end(request, &end).to_reply(),
        None => return lost_session(request).to_reply(),
    };
    let include_usage = completion.include_usage;
    let stream = EventStream { request, writer, include_usage };
    stream.into_reply(first, parts)
}

/// Replies to an application call.
pub async fn app_reply(request: RequestId, mut parts: ReplyReceiver) -> FrontReply {
    loop {
        match parts.recv().await {
            Some(ReplyPart::Token(_)) => {}
            Some(ReplyPart::End(SessionEnd::AppDone(answer))) => {
                return app_response_reply(request, answer);
            }
            Some(ReplyPart::End(end)) => return error_of_end(request, &end).to_reply(),
            None => return lost_session(request).to_reply(),
        }
    }
}

/// Returns the caller's error for a session that ended without an answer.
pub fn error_of_end(request: RequestId, end: &SessionEnd) -> FrontError {
    let retry_after = match end {
        SessionEnd::NotRun { retry_after, .. } | SessionEnd::Unknown { retry_after, .. } => {
            *retry_after
        }
        SessionEnd::ModelDone { .. } | SessionEnd::AppDone(_) => None,
    };
    let code = match end.code() {
        // The session ended with an answer of the wrong kind.
        ResultCode::Complete => ResultCode::Internal,
        code => code,
    };
    FrontError::new(code, end_message(code)).with_request(request).with_retry_after(retry_after)
}

fn end_message(code: ResultCode) -> &'static str {
    match code {
        ResultCode::KeyRequired => {
            "this call may not be repeated: send an Idempotency-Key header with it"
        }
        ResultCode::KeyReused => {
            "the idempotency key belongs to another request: choose a new key for new work"
        }
        ResultCode::CrashRefused => "the request crashed backend servers; do not send it again",
        ResultCode::ClaimantGone => {
            "another host took the key and is gone: the work may have run; check before using a \
             new key"
        }
        ResultCode::AnswerExpired => "the work ran, but its answer is no longer kept",
        _ => match code.outcome() {
            RequestOutcome::NotRun => {
                "the request was not run, and will not be; it may be sent again"
            }
            _ => "the request may have run; ask with the same idempotency key or request id",
        },
    }
}

/// Returns the error for a session whose output stopped without an end.
fn lost_session(request: RequestId) -> FrontError {
    FrontError::new(ResultCode::Internal, "the session ended without an answer")
        .with_request(request)
}

async fn unstreamed_reply(
    request: RequestId,
    writer: CompletionWriter,
    mut parts: ReplyReceiver,
) -> FrontReply {
    let mut text = String::new();
    loop {
        match parts.recv().await {
            Some(ReplyPart::Token(chunk)) => text.push_str(&chunk.text),
            Some(ReplyPart::End(SessionEnd::ModelDone { finish_reason, usage })) => {
                let body = writer.whole_answer(&text, finish_reason, usage);
                let mut reply = json_reply(ResultCode::Complete, &body);
                set_request_id(&mut reply, request);
                return reply;
            }
            Some(ReplyPart::End(end)) => return error_of_end(request, &end).to_reply(),
            None => return lost_session(request).to_reply(),
        }
    }
}

/// Returns the reply that forwards an application's response.
pub fn app_response_reply(request: RequestId, answer: AppResponse) -> FrontReply {
    let mut reply = Response::new(full_body(answer.body));
    match StatusCode::from_u16(answer.status) {
        Ok(status) => *reply.status_mut() = status,
        Err(_) => {
            let message = format!("the application answered with status {}", answer.status);
            let error = FrontError::new(ResultCode::BadServerAnswer, message);
            return error.with_request(request).to_reply();
        }
    }
    for (name, value) in answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            reply.headers_mut().append(name, value);
        }
    }
    let code = HeaderValue::from(ResultCode::Complete.number());
    reply.headers_mut().insert(RESULT_HEADER, code);
    set_request_id(&mut reply, request);
    reply
}

/// First part of a streamed answer.
enum StreamStart {
    Token(String),
    Done(FinishReason, TokenUsage),
}

/// Writes a session's output as server-sent events.
struct EventStream {
    request: RequestId,
    writer: CompletionWriter,
    include_usage: bool,
}

impl EventStream {
    fn into_reply(self, start: StreamStart, parts: ReplyReceiver) -> FrontReply {
        let request = self.request;
        let (sender, receiver) = tokio::sync::mpsc::channel::<String>(EVENT_BUFFER);
        tokio::spawn(self.write_events(start, parts, sender));
        let frames = ReceiverStream::new(receiver)
            .map(|event| Ok::<_, Infallible>(Frame::data(Bytes::from(event))));
        let body: ReplyBody =
            StreamBody::new(frames).map_err(|never| match never {}).boxed_unsync();
        let mut reply = Response::new(body);
        let headers = reply.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        set_request_id(&mut reply, request);
        reply
    }

    async fn write_events(
        self,
        start: StreamStart,
        mut parts: ReplyReceiver,
        sender: tokio::sync::mpsc::Sender<String>,
    ) {
        if let Some(event) = self.writer.opening_event()
            && sender.send(event).await.is_err()
        {
            return;
        }
        let mut next = match start {
            StreamStart::Token(text) => self.writer.text_event(&text),
            StreamStart::Done(reason, usage) => self.final_events(reason, usage),
        };
        loop {
            // A disconnected caller closes the channel, which ends the stream.
            if sender.send(next).await.is_err() {
                return;
            }
            next = match parts.recv().await {
                Some(ReplyPart::Token(chunk)) => self.writer.text_event(&chunk.text),
                Some(ReplyPart::End(end)) => self.end_event(&end),
                None => return,
            };
        }
    }

    fn end_event(&self, end: &SessionEnd) -> String {
        match end {
            SessionEnd::ModelDone { finish_reason, usage } => {
                self.final_events(*finish_reason, *usage)
            }
            _ => error_event(&error_of_end(self.request, end)),
        }
    }

    fn final_events(&self, reason: FinishReason, usage: TokenUsage) -> String {
        let mut events = self.writer.finish_event(reason);
        if self.include_usage {
            events.push_str(&self.writer.usage_event(usage));
        }
        let code = ResultCode::Complete.number();
        events.push_str(&format!(": {RESULT_HEADER} {code}\n\ndata: [DONE]\n\n"));
        events
    }
}

/// Returns the event that ends an incomplete answer; no `[DONE]` follows it.
fn error_event(error: &FrontError) -> String {
    format!(": {RESULT_HEADER} {}\n\ndata: {}\n\n", error.code.number(), error.to_json())
}
