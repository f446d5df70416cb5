//! `pomelostack report`: reports on the running system.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context as _;
use argh::FromArgs;
use pomelostack_lib::burn_page::render_page;
use pomelostack_lib::burn_report::BurnReport;

/// Timeout for fetching a report.
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// report on the running system
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub struct ReportCommand {
    #[argh(subcommand)]
    topic: ReportTopic,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum ReportTopic {
    Burn(BurnCommand),
}

/// service-level burn over all entry hosts
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "burn")]
struct BurnCommand {
    /// address of any entry host, http://ip:port
    #[argh(option, default = "String::from(\"http://127.0.0.1:8080\")")]
    from: String,
    /// operators' token
    #[argh(option)]
    token: Option<String>,
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
    /// write a self-contained HTML page with plots to this file
    #[argh(option)]
    html: Option<PathBuf>,
}

impl ReportCommand {
    /// Fetches the report and prints or writes it.
    pub fn run(&self) -> anyhow::Result<()> {
        match &self.topic {
            ReportTopic::Burn(command) => command.run(),
        }
    }
}

impl BurnCommand {
    fn run(&self) -> anyhow::Result<()> {
        let report = self.fetch()?;
        if let Some(path) = &self.html {
            fs::write(path, render_page(&report)?)
                .with_context(|| format!("cannot write {}", path.display()))?;
        }
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            print!("{}", report.table());
        }
        Ok(())
    }

    fn fetch(&self) -> anyhow::Result<BurnReport> {
        let url = format!("{}/burn", self.from.trim_end_matches('/'));
        let agent: ureq::Agent =
            ureq::Agent::config_builder().timeout_global(Some(REPLY_TIMEOUT)).build().into();
        let mut request = agent.get(&url);
        if let Some(token) = &self.token {
            request = request.header("Authorization", format!("Bearer {token}"));
        }
        let mut response = request.call().with_context(|| format!("cannot get {url}"))?;
        let report = response.body_mut().read_json();
        report.with_context(|| format!("{url} did not return a burn report"))
    }
}
