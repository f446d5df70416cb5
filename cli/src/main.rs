//! The pomelostack program.

mod commands;

use std::process::ExitCode;

use commands::TopLevel;

fn main() -> ExitCode {
    let arguments: TopLevel = argh::from_env();
    match arguments.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("pomelostack: {error:#}");
            ExitCode::FAILURE
        }
    }
}
