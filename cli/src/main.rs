//! The pomelostack program.

mod commands;

use argh::FromArgs;

/// Serving system on reclaimable hosts.
#[derive(FromArgs)]
struct ProgramArgs {
    #[argh(subcommand)]
    command: ProgramCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ProgramCommand {
    Report(commands::report::ReportCommand),
}

fn main() -> anyhow::Result<()> {
    let args: ProgramArgs = argh::from_env();
    match args.command {
        ProgramCommand::Report(command) => command.run(),
    }
}
