//! `pomelostack gateway`: runs one gateway host of the platform's deployment until SIGTERM.

use std::process::ExitCode;

use argh::FromArgs;

/// Run one gateway host with the settings that the platform provides.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayCommand {}

impl GatewayCommand {
    /// Runs until SIGTERM.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        pomelostack_platform::run()?;
        Ok(ExitCode::SUCCESS)
    }
}
