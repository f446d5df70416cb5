//! Settings of one entry host, read from a JSON file.
//!
//! The file holds what is specific to the process: its addresses, availability zone, platform
//! endpoints and limits. Settings of services and teams are in the published configuration instead.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

use crate::admin_access::OperatorToken;
use crate::ids::HostId;
use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::result_code::ResultCode;
use crate::settings_json::ObjectReader;

/// An error in a settings file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{code}: {path}: {problem}")]
pub struct SettingsError {
    /// Result code.
    pub code: ResultCode,
    /// JSON path of the setting; `$` is the whole file.
    pub path: String,
    /// What is wrong, and which values are allowed.
    pub problem: String,
}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Verbosity of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// Also one line per request.
    Info,
    /// Also the steps of each request.
    Debug,
}

/// Addresses that the process listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// HTTP API for callers.
    pub http: SocketAddr,
    /// Peer link to other entry hosts.
    pub peer: SocketAddr,
    /// Administration API for operators.
    pub admin: SocketAddr,
}

/// Endpoints of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Append-only log.
    pub log: SocketAddr,
    /// Cloud API.
    pub cloud: SocketAddr,
    /// Host list.
    pub host_list: SocketAddr,
    /// Retention time of log records.
    pub log_retention: Duration,
}

/// Limits and timeouts of the HTTP listener for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontDoorSettings {
    /// Longest time for the header section of a request to arrive.
    pub header_timeout: Duration,
    /// Longest time for the body of a request to arrive.
    pub body_timeout: Duration,
    /// Largest header section of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Largest number of open connections.
    pub max_connections: usize,
    /// Longest time that one chunk of a response may wait for a slow caller to read it.
    pub write_timeout: Duration,
}

/// Timeouts and poll intervals of calls to other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSettings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time for one call to a platform service.
    pub platform_timeout: Duration,
    /// Interval at which the host list and each server's load report are polled.
    pub poll_interval: Duration,
    /// Interval at which an idle log stream is polled.
    pub log_poll_interval: Duration,
}

/// Limits of the tables that are kept in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemorySettings {
    /// Largest total size of stored answers, in bytes.
    pub answer_bytes: usize,
    /// Largest number of stored answers.
    pub answers: usize,
    /// Largest number of idempotency keys.
    pub claims: usize,
}

/// Level and destination of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// File to append to; standard error if `None`.
    pub file: Option<PathBuf>,
}

/// All settings of one entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of the host.
    pub host: HostId,
    /// Region of the host.
    pub region: RegionName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Peer addresses of the entry hosts that are contacted first (gossip seeds).
    pub peers: Vec<SocketAddr>,
    /// Shared secret by which entry hosts authenticate to each other.
    pub peer_token: String,
    /// Endpoints of the platform.
    pub platform: PlatformSettings,
    /// Tokens of the operators who may use the administration API.
    pub operators: Vec<OperatorToken>,
    /// HTTP listener for callers.
    pub front_door: FrontDoorSettings,
    /// Calls to other processes.
    pub calls: CallSettings,
    /// In-memory tables.
    pub memory: MemorySettings,
    /// Logging.
    pub log: LogSettings,
    /// Address of the statsd collector; no metrics are sent if `None`.
    pub statsd: Option<SocketAddr>,
    /// Longest time that a planned shutdown waits for running requests (draining).
    pub drain_timeout: Duration,
}

impl EntrySettings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError {
            code: ResultCode::SettingsUnreadable,
            path: "$".into(),
            problem: format!("cannot read {}: {error}", path.display()),
        })?;
        Self::try_from(text.as_str())
    }

    /// Fails if two of the listen addresses and platform endpoints are equal.
    fn check_addresses(&self) -> Result<()> {
        let addresses = [
            ("$.listen.http", self.listen.http),
            ("$.listen.peer", self.listen.peer),
            ("$.listen.admin", self.listen.admin),
            ("$.platform.log", self.platform.log),
            ("$.platform.cloud", self.platform.cloud),
            ("$.platform.host_list", self.platform.host_list),
        ];
        for (index, (path, address)) in addresses.iter().enumerate() {
            let duplicate = addresses[..index].iter().find(|(_, other)| other == address);
            if let Some((other_path, _)) = duplicate {
                return Err(SettingsError {
                    code: ResultCode::SettingsEqualAddresses,
                    path: (*path).into(),
                    problem: format!("{address} is also {other_path}; addresses must differ"),
                });
            }
        }
        Ok(())
    }
}

impl TryFrom<&str> for EntrySettings {
    type Error = SettingsError;

    fn try_from(text: &str) -> Result<Self> {
        let mut root = ObjectReader::parse(text)?;
        let settings = Self {
            host: root.name("host")?,
            region: root.name("region")?,
            zone: root.name("zone")?,
            listen: read_listen(root.object("listen")?)?,
            peers: root.addresses("peers")?,
            peer_token: root.secret("peer_token")?,
            platform: read_platform(root.object("platform")?)?,
            operators: root
                .objects("operators")?
                .into_iter()
                .map(read_operator)
                .collect::<Result<_>>()?,
            front_door: read_front_door(root.optional_object("front_door")?)?,
            calls: read_calls(root.optional_object("calls")?)?,
            memory: read_memory(root.optional_object("memory")?)?,
            log: read_log(root.optional_object("log")?)?,
            statsd: root.optional_address("statsd")?,
            drain_timeout: root.millis_or("drain_timeout_ms", 30_000, 0..=600_000)?,
        };
        root.finish()?;
        settings.check_addresses()?;
        Ok(settings)
    }
}

fn read_listen(mut reader: ObjectReader) -> Result<ListenSettings> {
    let listen = ListenSettings {
        http: reader.address("http")?,
        peer: reader.address("peer")?,
        admin: reader.address("admin")?,
    };
    reader.finish()?;
    Ok(listen)
}

fn read_platform(mut reader: ObjectReader) -> Result<PlatformSettings> {
    let platform = PlatformSettings {
        log: reader.address("log")?,
        cloud: reader.address("cloud")?,
        host_list: reader.address("host_list")?,
        log_retention: reader.millis_or("log_retention_ms", 3_600_000, 1_000..=31_536_000_000)?,
    };
    reader.finish()?;
    Ok(platform)
}

fn read_operator(mut reader: ObjectReader) -> Result<OperatorToken> {
    let operator = OperatorToken {
        operator: reader.operator_name("name")?,
        role: reader.operator_role("role")?,
        hash: reader.token_hash("token_hash")?,
    };
    reader.finish()?;
    Ok(operator)
}

fn read_front_door(mut reader: ObjectReader) -> Result<FrontDoorSettings> {
    let front_door = FrontDoorSettings {
        header_timeout: reader.millis_or("header_timeout_ms", 5_000, 10..=60_000)?,
        body_timeout: reader.millis_or("body_timeout_ms", 10_000, 10..=600_000)?,
        max_header_bytes: reader.size_or("max_header_bytes", 16_384, 8_192..=1_048_576)?,
        max_body_bytes: reader.size_or("max_body_bytes", 4_194_304, 1_024..=67_108_864)?,
        max_connections: reader.size_or("max_connections", 1_024, 1..=65_536)?,
        write_timeout: reader.millis_or("write_timeout_ms", 10_000, 100..=600_000)?,
    };
    reader.finish()?;
    Ok(front_door)
}

fn read_calls(mut reader: ObjectReader) -> Result<CallSettings> {
    let calls = CallSettings {
        connect_timeout: reader.millis_or("connect_timeout_ms", 500, 10..=30_000)?,
        platform_timeout: reader.millis_or("platform_timeout_ms", 2_000, 10..=60_000)?,
        poll_interval: reader.millis_or("poll_interval_ms", 500, 10..=60_000)?,
        log_poll_interval: reader.millis_or("log_poll_interval_ms", 200, 5..=10_000)?,
    };
    reader.finish()?;
    Ok(calls)
}

fn read_memory(mut reader: ObjectReader) -> Result<MemorySettings> {
    let memory = MemorySettings {
        answer_bytes: reader.size_or("answer_bytes", 16_777_216, 65_536..=4_294_967_296)?,
        answers: reader.size_or("answers", 20_000, 16..=10_000_000)?,
        claims: reader.size_or("claims", 200_000, 16..=10_000_000)?,
    };
    reader.finish()?;
    Ok(memory)
}

fn read_log(mut reader: ObjectReader) -> Result<LogSettings> {
    let log = LogSettings {
        level: reader.log_level_or("level", LogLevel::Info)?,
        file: reader.optional_string("file")?.map(PathBuf::from),
    };
    reader.finish()?;
    Ok(log)
}
