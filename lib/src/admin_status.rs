//! Errors of the administration API: a gRPC status with the result code and the field's path.

use tonic::Code;
use tonic::Status;
use tonic::metadata::MetadataValue;

use crate::config_publish::PublishOutcome;
use crate::config_record::ChangeId;
use crate::ids::LogOffset;
use crate::protos::admin::ChangeReply;
use crate::protos::admin::ChangeResult;
use crate::resource_error::ResourceError;
use crate::result_code::ResultCode;

/// Metadata key of the number of the result code.
pub const RESULT_KEY: &str = "pomelostack-result";

/// Metadata key of the path of the invalid field.
pub const PATH_KEY: &str = "pomelostack-path";

/// Result of a call of the administration API.
pub type Result<T> = std::result::Result<T, Status>;

/// Builds the status of a failed call.
pub fn error_status(code: ResultCode, path: &str, message: impl Into<String>) -> Status {
    let mut status = Status::new(grpc_code(code), message);
    let metadata = status.metadata_mut();
    metadata.insert(RESULT_KEY, MetadataValue::from(code.number()));
    // A path may contain names from the caller's input, which need not be ASCII.
    if !path.is_empty()
        && let Ok(value) = MetadataValue::try_from(path)
    {
        metadata.insert(PATH_KEY, value);
    }
    status
}

/// Builds the status for invalid input.
pub fn input_error_status(error: &ResourceError) -> Status {
    let message = if error.path.is_empty() {
        error.message.clone()
    } else {
        format!("{}: {}", error.path, error.message)
    };
    error_status(error.code, &error.path, message)
}

/// Returns the result code of a status and the path of the invalid field.
pub fn read_status(status: &Status) -> (Option<ResultCode>, Option<&str>) {
    let text = |key| status.metadata().get(key).and_then(|value| value.to_str().ok());
    let number = text(RESULT_KEY).and_then(|text| text.parse().ok());
    (number.and_then(ResultCode::from_number), text(PATH_KEY))
}

/// Converts the outcome of a change to the reply or the error of its call.
pub fn outcome_reply(id: ChangeId, outcome: PublishOutcome) -> Result<ChangeReply> {
    match outcome {
        PublishOutcome::Accepted(offset) => {
            Ok(change_reply(id, ChangeResult::Accepted, Some(offset)))
        }
        PublishOutcome::Pending => Ok(change_reply(id, ChangeResult::Pending, None)),
        PublishOutcome::Conflict(current) => {
            let current = current.map_or("none".to_owned(), |offset| offset.0.to_string());
            let message = format!(
                "a resource of the change was written after its base revision; now {current}"
            );
            Err(error_status(ResultCode::ConfigConflict, "header.base_revision", message))
        }
        PublishOutcome::Rejected(error) => Err(input_error_status(&error)),
        PublishOutcome::IdReused => {
            let message = format!("change id {id} was used before with another change");
            Err(error_status(ResultCode::ChangeIdReused, "header.change_id", message))
        }
        PublishOutcome::LogUnavailable(reason) => {
            let message = format!("nothing was published: {reason}");
            Err(error_status(ResultCode::LogUnavailable, "", message))
        }
    }
}

/// Builds the reply about a change that is in effect or pending.
pub fn change_reply(
    id: ChangeId,
    result: ChangeResult,
    revision: Option<LogOffset>,
) -> ChangeReply {
    ChangeReply {
        result: result.into(),
        revision: revision.map(|offset| offset.0),
        change_id: id.to_string(),
    }
}

fn grpc_code(code: ResultCode) -> Code {
    match code {
        ResultCode::OperatorUnauthorized => Code::Unauthenticated,
        ResultCode::OperatorForbidden => Code::PermissionDenied,
        ResultCode::ConfigConflict => Code::Aborted,
        ResultCode::ChangeIdReused => Code::FailedPrecondition,
        ResultCode::ResourceExists => Code::AlreadyExists,
        ResultCode::ResourceUnknown | ResultCode::UnknownRequest => Code::NotFound,
        ResultCode::LogUnavailable | ResultCode::HostLeaving | ResultCode::NotReady => {
            Code::Unavailable
        }
        ResultCode::QueueFull => Code::ResourceExhausted,
        ResultCode::Internal => Code::Internal,
        _ => Code::InvalidArgument,
    }
}
