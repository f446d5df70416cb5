//! Numbered result codes of the front door, the administration API, settings and records.
//!
//! The table in `docs/RESULT_CODES.md` lists every code; a test checks that the two match.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What a code says about the requested work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The whole answer was delivered.
    Complete,
    /// No backend server ran any part of the request, and none will.
    NotRun,
    /// The request may have run, in part or in whole.
    Unknown,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Complete => "complete",
            Self::NotRun => "NOT_RUN",
            Self::Unknown => "UNKNOWN",
        })
    }
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $outcome:ident, $status:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[$doc])* $name = $number,)*
        }

        impl ResultCode {
            /// Every code, in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns what the code says about the requested work.
            pub fn outcome(self) -> RequestOutcome {
                match self {
                    $(Self::$name => RequestOutcome::$outcome,)*
                }
            }

            /// Returns the HTTP status that goes with the code.
            pub fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }
    };
}

result_codes! {
    /// The whole answer was delivered.
    Complete = 0, Complete, 200;

    /// The request body is not valid JSON.
    BadJson = 100, NotRun, 400;
    /// A required field or header is missing.
    MissingField = 101, NotRun, 400;
    /// A field or header has a value that is not allowed.
    BadValue = 102, NotRun, 400;
    /// The body is larger than the limit.
    BodyTooLarge = 103, NotRun, 413;
    /// The header section is larger than the limit.
    HeaderTooLarge = 104, NotRun, 431;
    /// The bearer token is missing or belongs to no team.
    Unauthorized = 105, NotRun, 401;
    /// The team may not use the service.
    Forbidden = 106, NotRun, 403;
    /// No service has the given name.
    UnknownService = 107, NotRun, 404;
    /// No route has the given path.
    UnknownRoute = 108, NotRun, 404;
    /// The route does not take the given method.
    MethodNotAllowed = 109, NotRun, 405;
    /// The caller sent its header or body too slowly.
    CallerTooSlow = 110, NotRun, 408;
    /// The idempotency key was used before with another request.
    KeyReused = 111, NotRun, 422;
    /// A non-idempotent call came without an idempotency key.
    KeyRequired = 112, NotRun, 400;
    /// No request with the given id is known here.
    UnknownRequest = 113, Unknown, 404;

    /// The deadline or latency target cannot be met.
    DeadlineUnreachable = 200, NotRun, 503;
    /// The team is over its share.
    TeamOverShare = 201, NotRun, 429;
    /// No backend server of the service is available.
    NoServer = 202, NotRun, 503;
    /// The queue of the service is full.
    QueueFull = 203, NotRun, 503;
    /// Every attempt failed before it ran, and the retry budget is used up.
    RetriesExhausted = 204, NotRun, 503;
    /// This entry host is leaving and takes no new work.
    HostLeaving = 205, NotRun, 503;
    /// The log could not record the claim before the deadline, and the claim is void.
    ClaimVoided = 206, NotRun, 503;
    /// The request crashed backend servers and is refused.
    CrashRefused = 207, NotRun, 422;
    /// The host has no configuration yet.
    NotReady = 208, NotRun, 503;
    /// The caller disconnected before the request was dispatched.
    CallerGone = 209, NotRun, 499;
    /// No backend server runs the software version that began the stream.
    VersionGone = 210, NotRun, 503;
    /// It cannot be told at which software version the stream began, now or later.
    StreamUntraceable = 211, NotRun, 503;
    /// It is not known now at which software version the stream began.
    StreamUntraced = 212, NotRun, 503;
    /// The software version that would begin the stream cannot be recorded now.
    VersionUnrecorded = 213, NotRun, 503;
    /// No server is expected to have room in time for the latency goal.
    GoalOutOfReach = 214, NotRun, 503;
    /// The request waited, and no server had room in time for the latency goal.
    WaitExpired = 215, NotRun, 503;
    /// The service is overloaded, and more urgent requests use what it can serve.
    RankDeferred = 216, NotRun, 503;
    /// Only servers of a software version that may not serve now are available.
    VersionWithheld = 220, NotRun, 503;
    /// An order to roll out a software version is not valid.
    OrderInvalid = 221, NotRun, 400;

    /// The backend server was lost while it ran non-idempotent work.
    ServerLost = 300, Unknown, 502;
    /// Another host claimed the key and is gone without a completion record.
    ClaimantGone = 301, Unknown, 409;
    /// The deadline passed while the request ran.
    DeadlinePassed = 302, Unknown, 504;
    /// It is unknown whether the claim reached the log.
    ClaimUnresolved = 303, Unknown, 503;
    /// The request ran, but its answer is no longer stored.
    AnswerExpired = 304, Unknown, 410;
    /// Every attempt was lost after it started, and the retry budget is used up.
    AttemptsLost = 305, Unknown, 502;
    /// The caller disconnected while the request ran.
    CallerLost = 306, Unknown, 499;
    /// The reply of the backend server is not a valid answer.
    BadServerAnswer = 307, Unknown, 502;
    /// The request is still running on another host.
    StillRunning = 308, Unknown, 409;
    /// The host exited while the request ran.
    HostStopped = 309, Unknown, 502;
    /// The software version that began the stream could not be recorded, and no event was relayed.
    StreamUnrecorded = 310, Unknown, 502;

    /// The settings file cannot be read.
    SettingsUnreadable = 400, NotRun, 400;
    /// The settings file is not valid JSON.
    SettingsNotJson = 401, NotRun, 400;
    /// A setting is not known.
    SettingUnknown = 402, NotRun, 400;
    /// A required setting is missing.
    SettingMissing = 403, NotRun, 400;
    /// A setting has the wrong type.
    SettingWrongType = 404, NotRun, 400;
    /// A setting is out of its range.
    SettingOutOfRange = 405, NotRun, 400;
    /// Two addresses that must differ are equal.
    SettingsEqualAddresses = 406, NotRun, 400;

    /// The change's base revision is not the current one.
    ConfigConflict = 500, NotRun, 409;
    /// The outcome of the change is not known yet; ask again with its change id.
    ConfigPending = 501, Unknown, 202;
    /// A resource breaks a rule.
    ConfigInvalid = 502, NotRun, 400;
    /// No resource has the given name.
    ResourceUnknown = 503, NotRun, 404;
    /// A resource with the given name exists already.
    ResourceExists = 504, NotRun, 409;
    /// The operator token is missing or wrong.
    OperatorUnauthorized = 505, NotRun, 401;
    /// The operator token does not allow the call.
    OperatorForbidden = 506, NotRun, 403;
    /// The log cannot be reached.
    LogUnavailable = 507, NotRun, 503;
    /// The change id was used before with another change.
    ChangeIdReused = 508, NotRun, 409;

    /// A record or message has a version that this program does not read.
    RecordVersion = 600, NotRun, 400;
    /// A record or message is truncated or malformed.
    RecordMalformed = 601, NotRun, 400;
    /// A record or message is larger than the limit.
    RecordTooLarge = 602, NotRun, 400;
    /// A message comes from an earlier incarnation of its sender.
    StaleIncarnation = 603, NotRun, 409;
    /// A checkpoint does not match its digest.
    DigestMismatch = 604, NotRun, 400;

    /// The program reached an unexpected state.
    Internal = 900, Unknown, 500;
}

impl ResultCode {
    /// Returns the number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with the given number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| code.number() == number)
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.number(), self)
    }
}
