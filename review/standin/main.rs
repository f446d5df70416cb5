//! Stand-ins and tests of the review. `standin TEST FOLDER` runs a test and writes its record into the
//! folder; it exits with 1 if the rule was broken, 0 if it held, and 2 if the test could not run.
//! `TROUBLE=0` in the environment leaves out the disruption.

mod bench;
mod caller;
mod clock;
mod fleet;
mod http;
mod refusal_copy;
mod replica;
mod same_id;
mod store;
mod store_drill;
mod two_runs;

use std::env;
use std::io;
use std::io::ErrorKind;
use std::path::Path;
use std::process::ExitCode;

use crate::bench::Verdict;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "replica") {
        return match replica::run(&arguments[1..]) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    match run_test(&arguments) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the test could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run_test(arguments: &[String]) -> io::Result<Verdict> {
    let [test, folder] = arguments else { return Err(ErrorKind::InvalidInput.into()) };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    match test.as_str() {
        "refusal-copy" => refusal_copy::run(folder, has_trouble),
        "same-id" => same_id::run(folder, has_trouble),
        "store-drill" => store_drill::run(folder, has_trouble),
        "two-runs" => two_runs::run(folder, has_trouble),
        _ => Err(ErrorKind::InvalidInput.into()),
    }
}
