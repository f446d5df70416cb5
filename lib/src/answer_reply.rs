//! Long-poll reply with the remaining tokens of an accepted request's answer.
//!
//! The reply waits for new tokens and carries the state of the answer, so a caller that lost its
//! connection polls from the offset that it has reached until the state is final.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use crate::answer_finder::AnswerFinder;
use crate::answer_table::AnswerPart;
use crate::answer_table::AnswerState;
use crate::caller_reply::app_response_reply;
use crate::caller_reply::error_of_end;
use crate::caller_request::Result;
use crate::http_reply::FrontError;
use crate::http_reply::FrontReply;
use crate::http_reply::json_reply;
use crate::http_reply::set_request_id;
use crate::ids::RequestId;
use crate::result_code::ResultCode;
use crate::session_request::SessionEnd;

/// Longest time that a reply waits for new tokens or the end of the answer.
pub const ANSWER_WAIT: Duration = Duration::from_secs(10);

/// Replies with the tokens of the answer from offset `from` on.
pub async fn answer_reply(
    finder: &Arc<AnswerFinder>,
    request: RequestId,
    from: u32,
) -> Result<FrontReply> {
    let finder = finder.clone();
    let reading = tokio::task::spawn_blocking(move || finder.find(request, from, ANSWER_WAIT));
    let part = reading.await.map_err(|error| {
        FrontError::new(ResultCode::Internal, format!("reading the answer failed: {error}"))
    })?;
    let unknown = || {
        let message = "no host keeps an answer with this id; it may have expired";
        FrontError::new(ResultCode::UnknownRequest, message).with_request(request)
    };
    part_reply(request, from, part.ok_or_else(unknown)?)
}

fn part_reply(request: RequestId, from: u32, part: AnswerPart) -> Result<FrontReply> {
    let text: String = part.chunks.iter().map(|chunk| chunk.text.as_str()).collect();
    let next = part.chunks.last().map_or(from, |chunk| chunk.offset + 1);
    let state = match part.state {
        AnswerState::Running => "running",
        AnswerState::Finished(SessionEnd::ModelDone { .. }) => "complete",
        AnswerState::Finished(SessionEnd::AppDone(answer)) => {
            return Ok(app_response_reply(request, answer));
        }
        AnswerState::Finished(end) => return Err(error_of_end(request, &end)),
    };
    let body = json!({
        "id": request.to_string(), "state": state, "from": from, "next": next, "text": text
    });
    let mut reply = json_reply(ResultCode::Complete, &body);
    set_request_id(&mut reply, request);
    Ok(reply)
}
