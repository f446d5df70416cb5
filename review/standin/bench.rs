//! The platform, the servers and the hosts of one test, and its record.

use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Attempt;
use crate::clock::wall_ms;
use crate::fleet::HostProcess;
use crate::fleet::LoopbackNet;
use crate::replica::ReplicaProcess;
use crate::replica::ReplicaSpec;
use crate::replica::RunLog;
use crate::store::CloudCall;
use crate::store::Platform;

/// Last number of the loopback address of the platform and the servers.
const PLATFORM_ADDRESS: u8 = 2;

/// Service of plain calls, and the slots of servers, as in the users' site files.
const APPLICATION: &str = "desk";
const APPLICATION_SLOTS: u64 = 6;
const ENGINE_SLOTS: u64 = 64;

/// Whether the rule held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It held.
    Held,
    /// It was broken.
    Broken,
}

/// A server of the test: what it is, and its process if one runs.
pub struct Server {
    /// What it is.
    pub spec: ReplicaSpec,
    process: Option<ReplicaProcess>,
}

/// The parts of one test. Dropping it ends all processes.
pub struct TestBench {
    /// The platform.
    pub platform: Platform,
    /// Hosts.
    pub hosts: Vec<HostProcess>,
    /// Servers.
    pub servers: Vec<Server>,
    /// What the servers ran.
    pub runs: RunLog,
    net: LoopbackNet,
    folder: PathBuf,
    lines: Vec<String>,
    begun_at: Instant,
}

impl TestBench {
    /// Starts the platform.
    pub fn start() -> io::Result<Self> {
        let net = LoopbackNet::find()?;
        let folder = env::temp_dir().join(format!("pomelostack-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let platform = Platform::start(net.address(PLATFORM_ADDRESS))?;
        let (hosts, servers, lines) = (Vec::new(), Vec::new(), Vec::new());
        let (runs, begun_at) = (RunLog::default(), Instant::now());
        Ok(Self { platform, hosts, servers, runs, net, folder, lines, begun_at })
    }

    /// Starts a server of a service.
    pub fn add_server(
        &mut self,
        service: &str,
        version: &str,
        gap_ms: u64,
        silence_ms: u64,
    ) -> io::Result<()> {
        let spec = ReplicaSpec {
            id: format!("i-{}", self.servers.len()),
            service: service.to_owned(),
            zone: "north".to_owned(),
            version: version.to_owned(),
            address: self.net.free_port(PLATFORM_ADDRESS)?,
            store: self.platform.address,
            slots: if service == APPLICATION { APPLICATION_SLOTS } else { ENGINE_SLOTS },
            gap_ms,
            silence_ms,
        };
        let process = Some(ReplicaProcess::start(&spec, &self.runs)?);
        self.servers.push(Server { spec, process });
        Ok(())
    }

    /// Kills the process of a server.
    pub fn kill_server(&mut self, index: usize) {
        if let Some(mut process) = self.servers[index].process.take() {
            process.kill();
        }
    }

    /// Starts a server again, under its id and at its address, with another version of its software.
    pub fn restart_server(&mut self, index: usize, version: &str) -> io::Result<()> {
        let server = &mut self.servers[index];
        server.spec.version = version.to_owned();
        server.process = Some(ReplicaProcess::start(&server.spec, &self.runs)?);
        Ok(())
    }

    /// Sets the time between two events of a server's streams.
    pub fn set_gap(&mut self, index: usize, gap_ms: u64) -> io::Result<()> {
        self.servers[index].process.as_mut().map_or(Ok(()), |process| process.set_gap(gap_ms))
    }

    /// Lets a server send one in `one_in` of its answers to plain calls a second time, late.
    pub fn set_copies(&mut self, index: usize, one_in: u64) -> io::Result<()> {
        self.servers[index].process.as_mut().map_or(Ok(()), |process| process.set_copies(one_in))
    }

    /// Starts hosts and waits until they are ready.
    pub fn start_hosts(&mut self, count: u8) -> io::Result<()> {
        for number in 0..count {
            let host = HostProcess::start(self.net, number, self.platform.address, &self.folder)?;
            self.hosts.push(host);
        }
        self.hosts.iter().try_for_each(HostProcess::wait_ready)
    }

    /// Returns the addresses of the hosts.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.front).collect()
    }

    /// Adds a line to the record.
    pub fn note(&mut self, line: &str) {
        println!("{line}");
        self.lines.push(format!("{} {line}", wall_ms()));
    }

    /// Adds what callers sent and received to the record.
    pub fn note_attempts(&mut self, attempts: &[Attempt]) {
        for attempt in attempts {
            let Attempt { request_id, host, sent_ms, ended_ms, after, events, end } = attempt;
            let mut pieces: Vec<String> = Vec::new();
            for event in events {
                let source = format!("{}@{}", event.version, event.server);
                if pieces.last().is_none_or(|last| !last.ends_with(&source)) {
                    pieces.push(format!("{}:{source}", event.number));
                }
            }
            self.lines.push(format!(
                "{sent_ms} call {request_id} host={host} after={after} end={end:?} \
                 ended_ms={ended_ms} events={} from=[{}]",
                events.len(),
                pieces.join(" "),
            ));
        }
    }

    /// Waits until a time after the start.
    pub fn wait_until(&self, time: Duration) {
        thread::sleep(time.saturating_sub(self.begun_at.elapsed()));
    }

    /// Ends all processes and writes the record. Keeps the logs of the hosts if the rule was broken and
    /// `KEEP_LOGS` names a folder.
    pub fn finish(mut self, folder: &Path, verdict: Verdict) -> io::Result<()> {
        for CloudCall { path, holder, fence, body } in self.platform.cloud_calls() {
            self.lines.push(format!("cloud {path} holder={holder} fence={fence} {body}"));
        }
        self.hosts.clear();
        self.servers.clear();
        self.note(&format!("verdict: {verdict:?}"));
        let runs = self.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let header = "# times are milliseconds since 1970; lines of servers: time, event, request, \
                      server, start of its process, version, detail";
        let record = [vec![header.to_owned()], self.lines.clone(), runs.clone()].concat();
        fs::write(folder.join("record.txt"), record.join("\n") + "\n")?;
        if let Some(kept) = env::var_os("KEEP_LOGS") {
            for entry in fs::read_dir(&self.folder)?.flatten() {
                fs::copy(entry.path(), Path::new(&kept).join(entry.file_name()))?;
            }
        }
        Ok(())
    }
}

impl Drop for TestBench {
    fn drop(&mut self) {
        self.hosts.clear();
        self.servers.clear();
        // Nothing depends on the folder of a test that is over.
        drop(fs::remove_dir_all(&self.folder));
    }
}
