//! The pomelostack program.

mod commands;

use std::process::ExitCode;

use argh::FromArgs;
use commands::TopLevel;

/// Exit code of a command line that cannot be understood.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    match arguments.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("pomelostack: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the command line; help ends the program with success, a fault with a code of its own.
fn parse_arguments() -> Result<TopLevel, ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    TopLevel::from_args(&["pomelostack"], &arguments).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(USAGE_EXIT_CODE)
        }
    })
}
