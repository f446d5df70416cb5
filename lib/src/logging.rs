//! Sets up logging: one event per line, with key=value fields.
//!
//! A line reads `2026-01-31T12:00:00Z INFO event=request_ended request=… service=… team=… code=…`.
//! Values that contain spaces are quoted.

use std::fs::OpenOptions;
use std::io::Write;

use simplelog::Config;
use simplelog::ConfigBuilder;
use simplelog::LevelFilter;
use simplelog::WriteLogger;
use thiserror::Error;

use crate::settings::LogLevel;
use crate::settings::LogSettings;

/// Why logging cannot be set up.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The log file cannot be opened.
    #[error("cannot open log file: {0}")]
    File(#[from] std::io::Error),
    /// A logger is already set.
    #[error("logging is already set up: {0}")]
    AlreadySet(#[from] log::SetLoggerError),
}

/// Result of setting up logging.
pub type Result<T> = std::result::Result<T, LoggingError>;

/// Starts logging for the whole process.
pub fn init_logging(settings: &LogSettings) -> Result<()> {
    let writer: Box<dyn Write + Send> = match &settings.file {
        Some(path) => Box::new(OpenOptions::new().create(true).append(true).open(path)?),
        None => Box::new(std::io::stderr()),
    };
    WriteLogger::init(level_filter(settings.level), line_config(), writer)?;
    Ok(())
}

/// Returns the line format, and the filter that admits only lines of this project's crates.
pub fn line_config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("pomelostack")
        .add_filter_allow_str("testutils")
        .build()
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
