//! A gateway host that runs as a process against the deployment stand-in, and the request headers
//! of its callers.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;

use crate::deployment_standin::DeploymentStandin;
use crate::deployment_standin::FRONT_PORT;
use crate::deployment_standin::ROUTE_HOST;
use crate::deployment_standin::TEAM_KEY;

/// Deadline of a caller's request in milliseconds; longer than any test takes.
const REQUEST_DEADLINE_MS: &str = "60000";

/// Port on which a gateway serves its metrics.
const METRICS_PORT: u16 = 9_464;

/// A gateway process. Dropping it kills the process and removes its settings file and its log; the
/// log of a test that fails is kept.
pub struct GatewayProcess {
    child: Child,
    settings: PathBuf,
    log: Option<PathBuf>,
}

impl GatewayProcess {
    /// Starts the program as a gateway host with its own IP address.
    pub fn start(
        program: &Path,
        standin: &DeploymentStandin,
        host: &str,
        ip: &str,
    ) -> std::io::Result<Self> {
        Self::start_logged(program, &standin.settings(host, ip), ip)
    }

    /// Starts the program with these settings and keeps its log until it is dropped.
    pub fn start_logged(program: &Path, settings: &Value, ip: &str) -> std::io::Result<Self> {
        let log = std::env::temp_dir().join(format!("gateway-{}-{ip}.log", std::process::id()));
        let output = File::options().create(true).append(true).open(&log)?;
        let mut process = Self::start_with(program, settings, ip, output.into())?;
        process.log = Some(log);
        Ok(process)
    }

    /// Starts the program with these settings and writes its log to `output`.
    pub fn start_with(
        program: &Path,
        settings: &Value,
        ip: &str,
        output: Stdio,
    ) -> std::io::Result<Self> {
        let name = format!("gateway-{}-{ip}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, settings.to_string())?;
        let child = Command::new(program)
            .arg("gateway")
            .env("POMELOSTACK_CONFIG", &path)
            .stdout(output)
            .spawn()?;
        Ok(Self { child, settings: path, log: None })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> std::io::Result<()> {
        let id = i32::try_from(self.id()).map_err(std::io::Error::other)?;
        let id = Pid::from_raw(id).ok_or(std::io::ErrorKind::InvalidInput)?;
        Ok(kill_process(id, signal)?)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the path of the settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> std::io::Result<bool> {
        self.child.try_wait().map(|status| status.is_some())
    }

    /// Waits for the process to exit and returns whether its exit status was success.
    pub fn wait_for_exit(&mut self) -> std::io::Result<bool> {
        self.child.wait().map(|status| status.success())
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        match &self.log {
            Some(log) if std::thread::panicking() => eprintln!("log of a host: {}", log.display()),
            Some(log) => drop(fs::remove_file(log)),
            None => {}
        }
    }
}

/// Returns the metrics of the gateway at an address, or an empty text without a response.
pub fn read_metrics(ip: &str) -> String {
    let reply = ureq::get(format!("http://{ip}:{METRICS_PORT}/metrics")).call().ok();
    reply.and_then(|reply| reply.into_body().read_to_string().ok()).unwrap_or_default()
}

/// Returns a level among the metrics of the gateway at an address.
pub fn read_level(ip: &str, name: &str) -> Option<u64> {
    let prefix = format!("pomelostack_level{{level=\"{name}\"}} ");
    read_metrics(ip).lines().find_map(|line| line.strip_prefix(&prefix)?.parse().ok())
}

/// Returns the request headers that a caller of the only team sends.
pub fn request_headers(request_id: &str) -> [(&'static str, String); 4] {
    [
        ("Host", ROUTE_HOST.to_owned()),
        ("Request-Id", request_id.to_owned()),
        ("Request-Deadline", REQUEST_DEADLINE_MS.to_owned()),
        ("Authorization", format!("Token {TEAM_KEY}")),
    ]
}

/// Returns a curl command that sends a streaming request to a gateway.
pub fn curl_command(gateway: IpAddr) -> String {
    let headers = request_headers("dev-1").map(|(name, value)| format!(" -H '{name}: {value}'"));
    format!("curl -N -X POST http://{gateway}:{FRONT_PORT}/brief/1{}", headers.concat())
}
