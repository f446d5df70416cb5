//! Reads typed values from a JSON settings object. Errors name the JSON path of the setting.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde_json::Map;
use serde_json::Value;

use crate::admin_access::OperatorRole;
use crate::ids::NameError;
use crate::resource::TokenHash;
use crate::result_code::ResultCode;
use crate::settings::LogLevel;
use crate::settings::Result;
use crate::settings::SettingsError;

/// Shortest accepted secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Longest operator name, in characters.
const MAX_OPERATOR_CHARS: usize = 64;
/// Length of a token hash in hexadecimal digits.
const TOKEN_HASH_DIGITS: usize = 64;

/// A JSON object whose fields are removed as they are read, so that the fields left at the end are
/// unknown settings.
pub struct ObjectReader {
    path: String,
    fields: Map<String, Value>,
}

impl ObjectReader {
    /// Parses the content of a file, which must be one JSON object.
    pub fn parse(text: &str) -> Result<Self> {
        let value: Value = serde_json::from_str(text).map_err(|error| SettingsError {
            code: ResultCode::SettingsNotJson,
            path: "$".into(),
            problem: format!("not valid JSON: {error}"),
        })?;
        match value {
            Value::Object(fields) => Ok(Self { path: "$".into(), fields }),
            other => Err(wrong_type("$".into(), "an object", &other)),
        }
    }

    /// Fails if an unread field is left.
    pub fn finish(self) -> Result<()> {
        match self.fields.keys().next() {
            None => Ok(()),
            Some(field) => Err(SettingsError {
                code: ResultCode::SettingUnknown,
                path: format!("{}.{field}", self.path),
                problem: "unknown setting; see the settings page".into(),
            }),
        }
    }

    /// Takes a required object.
    pub fn object(&mut self, field: &str) -> Result<Self> {
        let value = self.required(field, "an object")?;
        self.nested(field, value)
    }

    /// Takes an optional object; a missing one is empty.
    pub fn optional_object(&mut self, field: &str) -> Result<Self> {
        let value = self.fields.remove(field).unwrap_or_else(|| Value::Object(Map::new()));
        self.nested(field, value)
    }

    /// Takes a required, non-empty array of objects.
    pub fn objects(&mut self, field: &str) -> Result<Vec<Self>> {
        let items = match self.required(field, "an array of objects")? {
            Value::Array(items) => items,
            other => return Err(wrong_type(self.path_of(field), "an array of objects", &other)),
        };
        if items.is_empty() {
            return Err(self.out_of_range(field, "must not be empty".into()));
        }
        let indexed = items.into_iter().enumerate();
        indexed.map(|(i, item)| self.nested(&format!("{field}[{i}]"), item)).collect()
    }

    /// Takes a required operator name of 1 to 64 characters.
    pub fn operator_name(&mut self, field: &str) -> Result<String> {
        let text = self.string(field)?;
        if text.is_empty() || text.chars().count() > MAX_OPERATOR_CHARS {
            let problem = format!("must be 1 to {MAX_OPERATOR_CHARS} characters");
            return Err(self.out_of_range(field, problem));
        }
        Ok(text)
    }

    /// Takes a required operator role, `read` or `write`.
    pub fn operator_role(&mut self, field: &str) -> Result<OperatorRole> {
        match self.string(field)?.as_str() {
            "read" => Ok(OperatorRole::Read),
            "write" => Ok(OperatorRole::Write),
            _ => Err(self.out_of_range(field, "must be read or write".into())),
        }
    }

    /// Takes a required name.
    pub fn name<T: TryFrom<String, Error = NameError>>(&mut self, field: &str) -> Result<T> {
        let text = self.string(field)?;
        T::try_from(text).map_err(|error| self.out_of_range(field, error.to_string()))
    }

    /// Takes a required address, `ip:port` with a port other than 0.
    pub fn address(&mut self, field: &str) -> Result<SocketAddr> {
        let value = self.required(field, "a string \"ip:port\"")?;
        self.parse_address(field, &value)
    }

    /// Takes an optional address.
    pub fn optional_address(&mut self, field: &str) -> Result<Option<SocketAddr>> {
        match self.fields.remove(field) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => self.parse_address(field, &value).map(Some),
        }
    }

    /// Takes an array of addresses; a missing array is empty.
    pub fn addresses(&mut self, field: &str) -> Result<Vec<SocketAddr>> {
        let items = match self.fields.remove(field) {
            None => return Ok(Vec::new()),
            Some(Value::Array(items)) => items,
            Some(other) => return Err(wrong_type(self.path_of(field), "an array", &other)),
        };
        let indexed = items.iter().enumerate();
        indexed.map(|(i, item)| self.parse_address(&format!("{field}[{i}]"), item)).collect()
    }

    /// Takes a required secret of at least 16 bytes.
    pub fn secret(&mut self, field: &str) -> Result<String> {
        let text = self.string(field)?;
        if text.len() < MIN_SECRET_BYTES {
            let problem = format!("must have at least {MIN_SECRET_BYTES} bytes");
            return Err(self.out_of_range(field, problem));
        }
        Ok(text)
    }

    /// Takes a required token hash in hexadecimal.
    pub fn token_hash(&mut self, field: &str) -> Result<TokenHash> {
        let text = self.string(field)?;
        let problem = format!("must be {TOKEN_HASH_DIGITS} hexadecimal digits (a BLAKE3 hash)");
        match blake3::Hash::from_hex(&text) {
            Ok(hash) => Ok(TokenHash(*hash.as_bytes())),
            Err(_) => Err(self.out_of_range(field, problem)),
        }
    }

    /// Takes an optional duration in milliseconds.
    pub fn millis_or(
        &mut self,
        field: &str,
        default_ms: u64,
        range: RangeInclusive<u64>,
    ) -> Result<Duration> {
        self.number_or(field, default_ms, range).map(Duration::from_millis)
    }

    /// Takes an optional size.
    pub fn size_or(
        &mut self,
        field: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<usize> {
        let number = self.number_or(field, default, range)?;
        usize::try_from(number)
            .map_err(|_| self.out_of_range(field, "too large for this host".into()))
    }

    /// Takes an optional log level.
    pub fn log_level_or(&mut self, field: &str, default: LogLevel) -> Result<LogLevel> {
        let Some(text) = self.optional_string(field)? else { return Ok(default) };
        match text.as_str() {
            "error" => Ok(LogLevel::Error),
            "warn" => Ok(LogLevel::Warn),
            "info" => Ok(LogLevel::Info),
            "debug" => Ok(LogLevel::Debug),
            _ => Err(self.out_of_range(field, "must be error, warn, info or debug".into())),
        }
    }

    /// Takes an optional string; null counts as missing.
    pub fn optional_string(&mut self, field: &str) -> Result<Option<String>> {
        match self.fields.remove(field) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(other) => Err(wrong_type(self.path_of(field), "a string", &other)),
        }
    }

    fn number_or(&mut self, field: &str, default: u64, range: RangeInclusive<u64>) -> Result<u64> {
        let value = match self.fields.remove(field) {
            None => return Ok(default),
            Some(value) => value,
        };
        let allowed = format!("must be from {} to {}", range.start(), range.end());
        if !value.is_number() {
            return Err(wrong_type(self.path_of(field), "an integer", &value));
        }
        match value.as_u64() {
            Some(number) if range.contains(&number) => Ok(number),
            _ => Err(self.out_of_range(field, allowed)),
        }
    }

    fn string(&mut self, field: &str) -> Result<String> {
        match self.required(field, "a string")? {
            Value::String(text) => Ok(text),
            other => Err(wrong_type(self.path_of(field), "a string", &other)),
        }
    }

    fn required(&mut self, field: &str, expected: &str) -> Result<Value> {
        self.fields.remove(field).ok_or_else(|| SettingsError {
            code: ResultCode::SettingMissing,
            path: self.path_of(field),
            problem: format!("missing; must be {expected}"),
        })
    }

    fn nested(&self, field: &str, value: Value) -> Result<Self> {
        let path = self.path_of(field);
        match value {
            Value::Object(fields) => Ok(Self { path, fields }),
            other => Err(wrong_type(path, "an object", &other)),
        }
    }

    fn parse_address(&self, field: &str, value: &Value) -> Result<SocketAddr> {
        let Value::String(text) = value else {
            return Err(wrong_type(self.path_of(field), "a string \"ip:port\"", value));
        };
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Ok(address),
            _ => {
                let problem = "must be \"ip:port\" with an IP address and a port from 1 to 65535";
                Err(self.out_of_range(field, problem.into()))
            }
        }
    }

    fn out_of_range(&self, field: &str, problem: String) -> SettingsError {
        let path = self.path_of(field);
        SettingsError { code: ResultCode::SettingOutOfRange, path, problem }
    }

    fn path_of(&self, field: &str) -> String {
        format!("{}.{field}", self.path)
    }
}

fn wrong_type(path: String, expected: &str, found: &Value) -> SettingsError {
    let kind = match found {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    };
    let problem = format!("must be {expected}, found {kind}");
    SettingsError { code: ResultCode::SettingWrongType, path, problem }
}
