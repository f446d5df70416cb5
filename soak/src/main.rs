//! Runs soaks by hand, several at a time: `cargo run --release -p pomelostack-soak -- --runs 50`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use anyhow::Context as _;
use argh::FromArgs;
use pomelostack_soak::rollout_soak::RolloutSettings;
use pomelostack_soak::rollout_soak::run_rollouts;
use pomelostack_soak::soak_run::SoakReport;
use pomelostack_soak::soak_run::SoakSettings;
use pomelostack_soak::soak_run::log_folder;
use pomelostack_soak::soak_run::run_soak;

/// Violations of one run that are printed.
const MAX_PRINTED: usize = 3;

/// Run gateway hosts as processes under seeded faults and judge what callers saw.
#[derive(FromArgs)]
struct SoakCommand {
    /// gateway program (default target/release/pomelostack)
    #[argh(option, default = "PathBuf::from(\"target/release/pomelostack\")")]
    program: PathBuf,

    /// folder for the hosts' logs (default target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    logs: PathBuf,

    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// runs, one a seed (default 1)
    #[argh(option, default = "1")]
    runs: u64,

    /// runs at a time (default 1)
    #[argh(option, default = "1")]
    jobs: u8,

    /// second byte of the loopback addresses of the first job (default 81)
    #[argh(option, default = "81")]
    subnet: u8,

    /// hosts of a run (default 5)
    #[argh(option, default = "5")]
    hosts: usize,

    /// callers with long requests for each host (default 12)
    #[argh(option, default = "12")]
    callers: usize,

    /// length of a run in seconds (default 39)
    #[argh(option, default = "39")]
    seconds: u64,

    /// roll out a good and a bad version in each run instead
    #[argh(switch)]
    rollouts: bool,
}

fn main() -> ExitCode {
    let command: SoakCommand = argh::from_env();
    let next = AtomicU64::new(0);
    let broken = AtomicU64::new(0);
    thread::scope(|scope| {
        for job in 0..command.jobs {
            let (command, next, broken) = (&command, &next, &broken);
            scope.spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= command.runs {
                        return;
                    }
                    let seed = command.seed + number;
                    if command.rollouts {
                        let is_kept = roll_out_seed(command, seed, command.subnet + job);
                        broken.fetch_add(u64::from(!is_kept), Ordering::SeqCst);
                        continue;
                    }
                    let settings = SoakSettings {
                        program: command.program.clone(),
                        logs: log_folder(&command.logs, seed),
                        seed,
                        hosts: command.hosts,
                        callers: command.callers,
                        length: Duration::from_secs(command.seconds),
                        subnet: command.subnet + job,
                    };
                    broken.fetch_add(u64::from(!run_seed(&settings)), Ordering::SeqCst);
                }
            });
        }
    });
    let broken = broken.into_inner();
    println!("runs {} broken {broken}", command.runs);
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Rolls out versions with the faults of one seed and prints the outcome. Returns whether all rules were
/// kept.
fn roll_out_seed(command: &SoakCommand, seed: u64, subnet: u8) -> bool {
    let settings = RolloutSettings {
        program: command.program.clone(),
        logs: log_folder(&command.logs, seed),
        seed,
        hosts: command.hosts,
        subnet,
        has_faults: true,
    };
    match run_rollouts(&settings) {
        Ok(report) => {
            println!("seed {seed}: {report:?}");
            report.violations.is_empty()
        }
        Err(error) => {
            println!("seed {seed} failed: {error:#}");
            false
        }
    }
}

/// Runs one seed and prints its outcome. Returns whether all rules were kept.
fn run_seed(settings: &SoakSettings) -> bool {
    match run_soak(settings) {
        Ok(report) => {
            print_report(settings.seed, &report);
            if let Err(error) = write_report(&settings.logs, &report) {
                println!("seed {}: {error:#}", settings.seed);
            }
            report.violations.is_empty()
        }
        Err(error) => {
            println!("seed {} failed: {error:#}", settings.seed);
            false
        }
    }
}

fn print_report(seed: u64, report: &SoakReport) {
    let mut text = format!(
        "seed {seed}: {} answers, {:?}, excused {:?}, {} KiB, {} versions, {} crashes, {} limited, {} faults, {} violations\n",
        report.answers,
        report.outcomes,
        report.excuses,
        report.peak_memory_kib,
        report.versions,
        report.crashes,
        report.limited,
        report.faults.len(),
        report.violations.len()
    );
    for line in report.violations.iter().take(MAX_PRINTED) {
        text.push_str(&format!("  {line}\n"));
    }
    print!("{text}");
}

/// Writes all faults and violations beside the logs of the hosts.
fn write_report(logs: &Path, report: &SoakReport) -> anyhow::Result<()> {
    let path = logs.join("report.txt");
    let lines: Vec<&str> =
        report.faults.iter().chain(&report.violations).map(String::as_str).collect();
    fs::write(&path, lines.join("\n") + "\n")
        .with_context(|| format!("cannot write {}", path.display()))
}
