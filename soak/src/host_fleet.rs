//! The gateway hosts of a run, as processes.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use anyhow::Context as _;
use rustix::process::Signal;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::StoreLink;
use testutils::gateway_process::GatewayProcess;

/// Processes that may end by themselves before a run is given up.
const MAX_SELF_ENDED: usize = 10;

struct FleetHost {
    name: String,
    ip: String,
    link: StoreLink,
    platform: SocketAddr,
    process: Option<GatewayProcess>,
    is_terminating: bool,
    /// Number of starts, which callers read.
    incarnation: Arc<AtomicU32>,
    /// Largest resident memory of any of its processes, in KiB.
    peak_memory: u64,
}

/// All hosts. Dropping the fleet kills their processes.
pub struct HostFleet {
    program: PathBuf,
    standin: Arc<DeploymentStandin>,
    logs: PathBuf,
    hosts: Vec<FleetHost>,
    /// Number of hosts that start first.
    founders: usize,
    /// Hosts whose processes ended by themselves, with the exit status.
    self_ended: Vec<String>,
}

impl HostFleet {
    /// Starts `count` hosts at the addresses `127.SUBNET.0.N` and prepares `added` more; their logs go into
    /// a folder.
    pub fn start(
        program: &Path,
        standin: Arc<DeploymentStandin>,
        logs: &Path,
        subnet: u8,
        count: usize,
        added: usize,
    ) -> anyhow::Result<Self> {
        let mut fleet = Self {
            program: program.to_owned(),
            standin,
            logs: logs.to_owned(),
            hosts: Vec::with_capacity(count + added),
            founders: count,
            self_ended: Vec::new(),
        };
        for number in 0..count + added {
            let (link, platform) = fleet.standin.open_link().context("cannot open a link")?;
            fleet.hosts.push(FleetHost {
                name: format!("host-{number}"),
                ip: format!("127.{subnet}.0.{}", number + 1),
                link,
                platform,
                process: None,
                is_terminating: false,
                incarnation: Arc::default(),
                peak_memory: 0,
            });
            if number < count {
                fleet.start_host(number)?;
            }
        }
        Ok(fleet)
    }

    /// Returns the number of hosts, those to be added included.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether there are no hosts.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the address of a host.
    pub fn ip(&self, host: usize) -> &str {
        &self.hosts[host].ip
    }

    /// Returns the host's own address of the store.
    pub fn link(&self, host: usize) -> StoreLink {
        self.hosts[host].link
    }

    /// Returns the counter of a host's starts.
    pub fn incarnation(&self, host: usize) -> Arc<AtomicU32> {
        self.hosts[host].incarnation.clone()
    }

    /// Starts a host that is down.
    pub fn start_host(&mut self, number: usize) -> anyhow::Result<()> {
        let host = &mut self.hosts[number];
        if host.process.is_some() {
            return Ok(());
        }
        let starts = host.incarnation.fetch_add(1, Ordering::SeqCst);
        let mut settings = self.standin.settings_at(&host.name, &host.ip, host.platform);
        settings["bootstrap"] = (starts == 0 && number < self.founders).into();
        let path = self.logs.join(format!("{}-{starts}.log", host.name));
        let log =
            File::create(&path).with_context(|| format!("cannot write {}", path.display()))?;
        let process =
            GatewayProcess::start_with(&self.program, &settings, &host.ip, Stdio::from(log));
        host.process = Some(process.context("cannot start a host")?);
        host.is_terminating = false;
        Ok(())
    }

    /// Kills a host's process.
    pub fn kill(&mut self, number: usize) {
        self.hosts[number].process = None;
    }

    /// Sends a signal to a host's process; returns whether it has one.
    pub fn signal(&mut self, number: usize, signal: Signal) -> anyhow::Result<bool> {
        let host = &mut self.hosts[number];
        let Some(process) = &host.process else { return Ok(false) };
        process.signal(signal).context("cannot signal a host")?;
        host.is_terminating |= signal == Signal::TERM;
        Ok(true)
    }

    /// Reads the largest resident memory of each process so far.
    pub fn read_memory(&mut self) {
        for host in &mut self.hosts {
            let Some(process) = &host.process else { continue };
            // A process that has just ended has no memory.
            let peak = peak_memory(process.id()).unwrap_or(0);
            host.peak_memory = host.peak_memory.max(peak);
        }
    }

    /// Returns the largest resident memory of a host's processes in KiB.
    pub fn peak_memory(&self, host: usize) -> u64 {
        self.hosts[host].peak_memory
    }

    /// Returns the hosts whose processes ended by themselves.
    pub fn self_ended(&self) -> &[String] {
        &self.self_ended
    }

    /// Starts the hosts again that have exited, after SIGTERM or by themselves; returns their numbers.
    pub fn restart_exited(&mut self) -> anyhow::Result<Vec<usize>> {
        let mut exited = Vec::new();
        for number in 0..self.hosts.len() {
            let host = &mut self.hosts[number];
            let Some(process) = &mut host.process else { continue };
            if process.has_exited()? {
                if !host.is_terminating {
                    let starts = host.incarnation.load(Ordering::SeqCst);
                    self.self_ended.push(format!("{} start {starts}", host.name));
                    anyhow::ensure!(
                        self.self_ended.len() <= MAX_SELF_ENDED,
                        "hosts end by themselves: {:?}",
                        self.self_ended
                    );
                }
                host.process = None;
                self.start_host(number)?;
                exited.push(number);
            }
        }
        Ok(exited)
    }
}

/// Returns the largest resident memory of a process so far, in KiB.
fn peak_memory(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}
