//! `pomelostack check`: validates a settings file without starting a host.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use pomelostack_lib::settings::EntrySettings;

/// Validate the settings file of an entry host. Exit code 1 means that it cannot be used.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// settings file (JSON)
    #[argh(positional)]
    file: PathBuf,
}

impl CheckCommand {
    /// Checks the file and prints one line.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        match EntrySettings::load(&self.file) {
            Ok(settings) => {
                println!("ok: host {} in {}", settings.host, settings.zone);
                Ok(ExitCode::SUCCESS)
            }
            Err(error) => {
                eprintln!("{}: {error}", self.file.display());
                Ok(ExitCode::FAILURE)
            }
        }
    }
}
