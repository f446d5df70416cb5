//! The subcommands, one file each.

pub mod admin;
mod check;
mod dev;
mod entry;
mod gateway;
mod report;

use std::process::ExitCode;

use argh::FromArgs;

/// Serving system for model servers and applications on reclaimable hosts.
#[derive(FromArgs)]
pub struct TopLevel {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Admin(admin::AdminCommand),
    Check(check::CheckCommand),
    Dev(dev::DevCommand),
    Entry(entry::EntryCommand),
    Gateway(gateway::GatewayCommand),
    Report(report::ReportCommand),
}

impl TopLevel {
    /// Runs the selected subcommand.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        match self.command {
            Command::Admin(command) => command.run(),
            Command::Check(command) => command.run(),
            Command::Dev(command) => command.run(),
            Command::Entry(command) => command.run(),
            Command::Gateway(command) => command.run(),
            Command::Report(command) => command.run().map(|()| ExitCode::SUCCESS),
        }
    }
}
