//! The pomelostack program.

mod commands;

use std::process::ExitCode;

use argh::FromArgs as _;

use crate::commands::TopLevel;

/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let parsed = TopLevel::from_args(&["pomelostack"], arguments.get(1..).unwrap_or_default());
    let top_level = match parsed {
        Ok(top_level) => top_level,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match top_level.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("pomelostack: {error:#}");
            ExitCode::FAILURE
        }
    }
}
