//! The pomelostack program.

mod commands;

use std::process::ExitCode;

use argh::FromArgs;

use crate::commands::admin::AdminCommand;

/// Exit code of a command line that cannot be understood.
const USAGE_EXIT_CODE: u8 = 2;

/// Serves models and applications on reclaimable hosts.
#[derive(FromArgs)]
struct TopCommand {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Admin(AdminCommand),
}

fn main() -> anyhow::Result<ExitCode> {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let command = match TopCommand::from_args(&["pomelostack"], args.get(1..).unwrap_or_default()) {
        Ok(top) => top.command,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return Ok(ExitCode::SUCCESS);
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return Ok(ExitCode::from(USAGE_EXIT_CODE));
        }
    };
    match command {
        Command::Admin(command) => command.run(),
    }
}
