//! `pomelostack entry`: runs one entry host until a stop signal.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::mpsc;
use std::time::Duration;

use anyhow::Context as _;
use argh::FromArgs;
use pomelostack_lib::entry::EntryEvent;
use pomelostack_lib::entry::EntryHost;
use pomelostack_lib::entry_leave::LeaveReason;
use pomelostack_lib::logging::init_logging;
use pomelostack_lib::settings::EntrySettings;

/// Interval at which stop signals and host events are polled.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Run one entry host. SIGTERM or Ctrl-C lets it leave gracefully.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryCommand {
    /// settings file (JSON)
    #[argh(option)]
    settings: PathBuf,
}

impl EntryCommand {
    /// Runs until a stop signal, until the host is reclaimed, or until one of its components keeps
    /// failing.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let settings = match EntrySettings::load(&self.settings) {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("{}: {error}", self.settings.display());
                return Ok(ExitCode::FAILURE);
            }
        };
        init_logging(&settings.log)?;
        let stop = stop_signal()?;
        let host = EntryHost::start(settings)?;
        println!("ready http={}", host.http_address());
        let (reason, code) = match wait_for_stop(&host, &stop) {
            None => (LeaveReason::Planned, ExitCode::SUCCESS),
            Some(EntryEvent::Reclaimed(left)) => {
                (LeaveReason::Reclaimed { left }, ExitCode::SUCCESS)
            }
            Some(EntryEvent::Escalated) => (LeaveReason::Planned, ExitCode::FAILURE),
        };
        host.leave(reason);
        Ok(code)
    }
}

/// Returns a channel that receives a message for each SIGINT, SIGTERM or SIGHUP.
pub fn stop_signal() -> anyhow::Result<mpsc::Receiver<()>> {
    let (sender, receiver) = mpsc::channel();
    let on_signal = move || {
        // The receiver is dropped only when the process is about to exit.
        let _ = sender.send(());
    };
    ctrlc::set_handler(on_signal).context("cannot handle signals")?;
    Ok(receiver)
}

/// Waits for a stop signal or for an event that ends the host; returns `None` for a signal.
fn wait_for_stop(host: &EntryHost, stop: &mpsc::Receiver<()>) -> Option<EntryEvent> {
    loop {
        if stop.try_recv().is_ok() {
            return None;
        }
        if let Some(event) = host.wait_for_event(EVENT_POLL_INTERVAL) {
            return Some(event);
        }
    }
}
