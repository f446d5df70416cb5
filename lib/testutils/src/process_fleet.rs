//! The platform's stand-ins and the entry hosts as separate processes, for tests that kill them.

use std::io::BufRead as _;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::bounded_wait::wait_for;
use crate::dev_cluster::DevPlan;
use crate::dev_cluster::MODEL_SERVICE;
use crate::dev_cluster::OPERATOR_WRITE_TOKEN;
use crate::dev_cluster::TEAMS;
use crate::front_door_client::FrontDoorClient;

/// Timeout of a call for a journal.
const JOURNAL_TIMEOUT: Duration = Duration::from_secs(5);

/// A process that is killed when it is dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// One run in a backend server's journal, as `/journal` serves it.
#[derive(Clone, Debug, Deserialize)]
pub struct RunRecord {
    /// Idempotency key.
    pub key: Option<String>,
    /// Request id.
    pub request: String,
    /// Start of the run in milliseconds since the Unix epoch.
    pub begin_ms: u64,
    /// End of the run in milliseconds since the Unix epoch; `None` while it is in progress.
    pub end_ms: Option<u64>,
}

/// A platform process and the processes of its entry hosts.
pub struct ProcessFleet {
    plan: DevPlan,
    folder: PathBuf,
    entries: Vec<Option<KillOnDrop>>,
    model_servers: Vec<SocketAddr>,
    app_servers: Vec<SocketAddr>,
    _platform: KillOnDrop,
}

impl ProcessFleet {
    /// Starts the platform and all entry hosts, publishes the configuration and waits until every
    /// entry host serves requests.
    pub fn start(program: &str, hosts: u16) -> Self {
        Self::start_with(program, hosts, &[])
    }

    /// Like [`Self::start`], with additional `dev` arguments for the platform.
    pub fn start_with(program: &str, hosts: u16, platform: &[&str]) -> Self {
        let plan = DevPlan::for_test(hosts);
        let folder = std::env::temp_dir().join(format!("fleet-{}", plan.http.ip()));
        let path = folder.to_str().expect("the folder path is valid UTF-8").to_owned();
        let http = plan.http.to_string();
        let count = hosts.to_string();
        let written = Command::new(program)
            .args(["dev", "--http", &http, "--hosts", &count, "--write-settings", &path])
            .stdout(Stdio::null())
            .status();
        assert!(written.expect("the program starts").success());
        let arguments = [&["dev", "--http", &http, "--platform-only"], platform].concat();
        let (platform, lines) = spawn_until_ready(program, &arguments);
        let servers = |kind| lines.iter().filter_map(move |line| address_of(line, kind)).collect();
        let mut fleet = Self {
            plan,
            folder,
            entries: Vec::new(),
            model_servers: servers("model server"),
            app_servers: servers("app server"),
            _platform: platform,
        };
        for index in 0..hosts {
            let child = fleet.spawn_entry(program, index);
            fleet.entries.push(Some(child));
        }
        fleet.publish(program);
        fleet
    }

    /// Starts an entry host again.
    pub fn restart(&mut self, program: &str, index: u16) {
        let child = self.spawn_entry(program, index);
        self.entries[usize::from(index)] = Some(child);
    }

    fn spawn_entry(&self, program: &str, index: u16) -> KillOnDrop {
        let file = self.folder.join(format!("entry-{}.json", index + 1));
        let path = file.to_str().expect("the file path is valid UTF-8");
        spawn_until_ready(program, &["entry", "--settings", path]).0
    }

    fn publish(&self, program: &str) {
        let admin = self.plan.admin_address(0).to_string();
        let file = self.folder.join("configuration.json");
        let applied = Command::new(program)
            .args(["admin", "--address", &admin, "--token", OPERATOR_WRITE_TOKEN, "apply"])
            .arg(&file)
            .output()
            .expect("the program starts");
        assert!(applied.status.success(), "{applied:?}");
        for index in 0..self.plan.hosts {
            let caller = self.caller(index);
            wait_for(|| caller.get("/services/lookup/ready").status == 200);
            wait_for(|| caller.complete(MODEL_SERVICE, "ready", 1).status == 200);
        }
    }

    /// Sends a signal to an entry host.
    pub fn signal(&self, index: usize, signal: Signal) {
        let child = self.entries[index].as_ref().expect("the host runs");
        kill_process(Pid::from_child(&child.0), signal).expect("the signal is sent");
    }

    /// Makes the cloud stand-in announce that it reclaims an entry host in `left_ms`.
    pub fn reclaim(&self, index: usize, left_ms: u64) {
        let url = format!("http://{}/faults", self.plan.cloud_address());
        let host = format!("entry-{}", index + 1);
        let fault = json!({ "reclaim_host": { "host": host, "left_ms": left_ms } });
        ureq::post(url).send_json(fault).expect("the fault is accepted");
    }

    /// Waits for an entry host's process to exit and returns whether its exit status was success.
    pub fn wait_for_exit(&mut self, index: usize) -> bool {
        let mut child = self.entries[index].take().expect("the host runs");
        child.0.wait().expect("the process exits").success()
    }

    /// Returns the address of an entry host's front door.
    pub fn http_address(&self, index: u16) -> SocketAddr {
        self.plan.http_address(index)
    }

    /// Returns a client of an entry host's front door that authenticates as the first team.
    pub fn caller(&self, index: u16) -> FrontDoorClient {
        FrontDoorClient::new(self.plan.http_address(index), TEAMS[0].1)
    }

    /// Returns the process id of an entry host.
    pub fn process_id(&self, index: usize) -> u32 {
        self.entries[index].as_ref().expect("the host runs").0.id()
    }

    /// Returns the addresses of the app servers.
    pub fn app_addresses(&self) -> &[SocketAddr] {
        &self.app_servers
    }

    /// Returns the journal entries of all app servers.
    pub fn app_runs(&self) -> Vec<RunRecord> {
        read_journals(&self.app_servers)
    }

    /// Returns the number of model runs in progress.
    pub fn active_model_runs(&self) -> usize {
        self.model_runs().iter().flatten().filter(|run| run.end_ms.is_none()).count()
    }

    /// Returns the journal entries of each model server.
    pub fn model_runs(&self) -> Vec<Vec<RunRecord>> {
        self.model_servers.iter().map(read_journal).collect()
    }

    /// Injects a fault into every app server.
    pub fn inject_app_fault(&self, fault: &Value) {
        self.app_servers.iter().for_each(|address| inject_fault(address, fault));
    }

    /// Injects a fault into a model server.
    pub fn inject_model_fault(&self, index: usize, fault: &Value) {
        inject_fault(&self.model_servers[index], fault);
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        // Errors are ignored: the folder is in the system's temporary directory.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts a process and waits for an output line that starts with "ready".
///
/// Returns the lines before it.
fn spawn_until_ready(program: &str, arguments: &[&str]) -> (KillOnDrop, Vec<String>) {
    let spawned = Command::new(Path::new(program))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn();
    let mut child = KillOnDrop(spawned.expect("the program starts"));
    let output = child.0.stdout.take().expect("the output is a pipe");
    let mut lines = Vec::new();
    for line in BufReader::new(output).lines() {
        let line = line.expect("the output is valid UTF-8");
        if line.starts_with("ready") {
            return (child, lines);
        }
        lines.push(line);
    }
    panic!("{arguments:?} exited before it was ready: {lines:?}");
}

fn inject_fault(address: &SocketAddr, fault: &Value) {
    let url = format!("http://{address}/faults");
    ureq::post(url).send_json(fault).expect("the fault is accepted");
}

fn read_journals(servers: &[SocketAddr]) -> Vec<RunRecord> {
    servers.iter().flat_map(read_journal).collect()
}

fn read_journal(server: &SocketAddr) -> Vec<RunRecord> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(JOURNAL_TIMEOUT)).build().into();
    let url = format!("http://{server}/journal");
    let mut reply = agent.get(&url).call().expect("the journal can be read in time");
    reply.body_mut().read_json().expect("the journal is a JSON list")
}

/// Parses the address from a line that `dev` prints for a server of this kind.
fn address_of(line: &str, kind: &str) -> Option<SocketAddr> {
    let rest = line.strip_prefix(kind)?.trim_start().strip_prefix("http://")?;
    rest.split_whitespace().next()?.parse().ok()
}
