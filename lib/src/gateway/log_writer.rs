//! Writes log lines to standard output without ever blocking whoever logs.
//!
//! Lines go into a bounded buffer that a thread writes out a few times a second; lines that find no
//! room are dropped, counted, and the count is written when there is room again.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use simplelog::LevelFilter;
use simplelog::WriteLogger;

use crate::logging::line_config;

/// Bytes that wait for being written, at most: some seconds of lines at full load.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Time for which lines are collected before they are written together.
const WRITE_PERIOD: Duration = Duration::from_millis(250);

/// Result of starting the log.
pub type Result<T> = std::io::Result<T>;

#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
    dropped: u64,
}

#[derive(Debug, Default)]
struct SharedBuffer {
    buffer: Mutex<LineBuffer>,
    filled: Condvar,
}

impl SharedBuffer {
    fn lock(&self) -> MutexGuard<'_, LineBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The end of the buffer that lines go into.
#[derive(Clone, Debug)]
pub struct LogWriter {
    shared: Arc<SharedBuffer>,
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        let mut buffer = self.shared.lock();
        if buffer.bytes.len() + bytes.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += u64::from(bytes.ends_with(b"\n"));
        } else {
            buffer.bytes.extend_from_slice(bytes);
        }
        self.shared.filled.notify_one();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

impl LogWriter {
    /// Starts the writing thread.
    pub fn start() -> Result<Self> {
        let writer = Self { shared: Arc::default() };
        let shared = writer.shared.clone();
        std::thread::Builder::new().name("log-writer".to_owned()).spawn(move || {
            loop {
                let empty = |buffer: &mut LineBuffer| buffer.bytes.is_empty();
                let waited = shared.filled.wait_while(shared.lock(), empty);
                drop(waited.unwrap_or_else(PoisonError::into_inner));
                std::thread::sleep(WRITE_PERIOD);
                write_out(&shared);
            }
        })?;
        Ok(writer)
    }

    /// Writes out what is buffered; for the end of the process.
    pub fn drain(&self) {
        write_out(&self.shared);
    }

    /// Makes this the process's log, one event a line with key=value fields.
    pub fn install(&self) -> std::result::Result<(), log::SetLoggerError> {
        WriteLogger::init(LevelFilter::Info, line_config(), self.clone())
    }
}

fn write_out(shared: &SharedBuffer) {
    let (bytes, dropped) = {
        let mut buffer = shared.lock();
        (std::mem::take(&mut buffer.bytes), std::mem::take(&mut buffer.dropped))
    };
    let mut output = std::io::stdout().lock();
    // A log that cannot be written cannot say so either; the lines are lost.
    let _ = output.write_all(&bytes);
    if dropped > 0 {
        let _ = writeln!(output, "WARN event=log_lines_dropped count={dropped}");
    }
    let _ = output.flush();
}
