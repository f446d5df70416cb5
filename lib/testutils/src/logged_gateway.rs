//! A gateway process whose log is kept, in front of a deployment stand-in of its own.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Value;

use crate::bounded_wait::wait_for;
use crate::deployment_standin::DeploymentStandin;
use crate::gateway_process::GatewayProcess;
use crate::raw_caller::RawCaller;

/// A gateway process, its platform and its log. Each uses its own loopback address.
pub struct LoggedGateway {
    /// The platform.
    pub standin: DeploymentStandin,
    /// Address of the host.
    pub ip: String,
    /// The host.
    pub process: GatewayProcess,
    log: PathBuf,
}

impl LoggedGateway {
    /// Starts a host with this grace period and waits until it serves a configuration, which `edit`
    /// may change first.
    pub fn start(
        program: &str,
        number: u8,
        grace_s: u64,
        edit: impl FnOnce(&mut Value),
    ) -> std::io::Result<Self> {
        let standin = DeploymentStandin::start()?;
        let ip = format!("127.0.77.{number}");
        let mut settings = standin.settings(&format!("h{number:02}"), &ip);
        settings["bounds"]["grace-s"] = grace_s.into();
        let name = format!("gateway-{}-{ip}.log", std::process::id());
        let log = std::env::temp_dir().join(name);
        let output = File::create(&log)?;
        let process =
            GatewayProcess::start_with(Path::new(program), &settings, &ip, output.into())?;
        let mut document = DeploymentStandin::config_document(1);
        edit(&mut document);
        standin.publish_document(&document);
        let gateway = Self { standin, ip, process, log };
        wait_for(|| gateway.is_serving());
        Ok(gateway)
    }

    fn is_serving(&self) -> bool {
        let answer = RawCaller::connect(&self.ip).and_then(|mut caller| {
            caller.request("GET", "/look/warm", "warm")?;
            caller.response()
        });
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the log lines about the end of a request.
    pub fn ends_of(&self, request_id: &str) -> Vec<String> {
        self.lines(&format!("event=request_ended request={request_id} "))
    }

    /// Returns the log lines that contain a text.
    pub fn lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Returns how often the replicas ran a request.
    pub fn runs_of(&self, request_id: &str) -> usize {
        self.standin.runs().iter().filter(|run| run.request_id == request_id).count()
    }
}

impl Drop for LoggedGateway {
    fn drop(&mut self) {
        // Only a file in the temporary directory is left over.
        let _ = fs::remove_file(&self.log);
    }
}
