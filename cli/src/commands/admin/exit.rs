//! Errors of calls, and their exit codes.

use std::process::ExitCode;

use pomelostack_lib::admin_status::read_status;
use pomelostack_lib::resource_error::ResourceError;
use pomelostack_lib::result_code::ResultCode;
use serde::Serialize;
use tonic::Code;
use tonic::Status;

/// The command line or a file that it names cannot be used.
pub const USAGE: u8 = 2;
/// The call was refused and had no effect.
pub const REFUSED: u8 = 3;
/// A resource was changed after the base revision; the call had no effect.
pub const CONFLICT: u8 = 4;
/// The outcome is not known yet, or the entry host or the log cannot be reached.
pub const PENDING: u8 = 5;

/// Why a call failed.
#[derive(Debug)]
pub enum CallError {
    /// The command line or a file that it names cannot be used.
    Usage(anyhow::Error),
    /// The input is invalid; nothing was sent.
    Input(ResourceError),
    /// The entry host returned an error, or the connection to it failed.
    Status(Box<Status>),
    /// The connection could not be opened.
    Connect(tonic::transport::Error),
}

impl From<Status> for CallError {
    fn from(status: Status) -> Self {
        Self::Status(Box::new(status))
    }
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// JSON form of a failure.
#[derive(Serialize)]
struct ErrorReport {
    error: ErrorBody,
}

#[derive(Serialize)]
struct ErrorBody {
    /// Number of the result code; absent if the failure has none.
    code: Option<u16>,
    /// Path of the invalid field.
    path: Option<String>,
    message: String,
}

/// Prints a failure and returns its exit code.
pub fn report(error: &CallError, json: bool) -> ExitCode {
    let (exit_code, code, path, message) = describe(error);
    if json {
        let code = code.map(ResultCode::number);
        let body = ErrorReport { error: ErrorBody { code, path, message } };
        println!("{}", serde_json::to_string(&body).unwrap_or_default());
    } else {
        let code = code.map(|code| format!("{code}: ")).unwrap_or_default();
        eprintln!("error: {code}{message}");
    }
    ExitCode::from(exit_code)
}

fn describe(error: &CallError) -> (u8, Option<ResultCode>, Option<String>, String) {
    match error {
        CallError::Usage(error) => (USAGE, None, None, format!("{error:#}")),
        CallError::Input(error) => {
            let path = (!error.path.is_empty()).then(|| error.path.clone());
            let message = match &path {
                Some(path) => format!("{path}: {}", error.message),
                None => error.message.clone(),
            };
            (REFUSED, Some(error.code), path, message)
        }
        CallError::Connect(error) => (PENDING, None, None, format!("cannot connect: {error}")),
        CallError::Status(status) => {
            let (code, path) = read_status(status);
            let message = status.message().to_owned();
            (status_exit_code(status, code), code, path.map(str::to_owned), message)
        }
    }
}

fn status_exit_code(status: &Status, code: Option<ResultCode>) -> u8 {
    match (code, status.code()) {
        (Some(ResultCode::ConfigConflict), _) => CONFLICT,
        (Some(ResultCode::LogUnavailable), _) => PENDING,
        (Some(_), _) => REFUSED,
        (None, Code::Unavailable | Code::DeadlineExceeded | Code::Cancelled | Code::Unknown) => {
            PENDING
        }
        (None, _) => REFUSED,
    }
}
