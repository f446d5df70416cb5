//! Writes log lines to standard output without blocking the threads that log.
//!
//! Lines go into a bounded buffer that a background thread writes out a few times a second. When
//! the buffer is full, lines are dropped and counted; the count is logged with the next write.

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

/// Maximum size of the buffer in bytes: some seconds of lines at full load.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Time for which lines are batched before they are written.
const WRITE_PERIOD: Duration = Duration::from_millis(250);

/// Result of log output.
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

/// The writing end of the buffer.
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
    /// Starts the background thread.
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

    /// Writes out the buffered lines at once; used at process exit.
    pub fn drain(&self) {
        write_out(&self.shared);
    }

    /// Installs this as the process's logger, with one event of key=value fields per line.
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
    // A failed write cannot be logged either; the lines are lost.
    let _ = output.write_all(&bytes);
    if dropped > 0 {
        let _ = writeln!(output, "WARN event=log_lines_dropped count={dropped}");
    }
    let _ = output.flush();
}
