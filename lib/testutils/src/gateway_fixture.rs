//! A gateway process in front of the deployment stand-in, and a caller of it.

use std::fs;
use std::io::Read as _;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use crate::bounded_wait::wait_for;
use crate::deployment_standin::DeploymentStandin;
use crate::deployment_standin::FRONT_PORT;
use crate::deployment_standin::ROUTE_HOST;
use crate::deployment_standin::TEAM_KEY;
use crate::gateway_process::GatewayProcess;
use crate::gateway_process::read_level;
use crate::gateway_process::read_metrics;

/// Port of the readiness check.
const READY_PORT: u16 = 7_701;
/// Field with the deadline of a request in milliseconds, and the deadline of one that states no other.
const DEADLINE_FIELD: &str = "Request-Deadline";
const CALL_DEADLINE_MS: &str = "8000";

/// Prompt and output tokens of a request with a prompt.
const PROMPT_TOKENS: &str = "900,20";

/// A gateway process and its platform. Each fixture uses its own loopback address.
pub struct GatewayFixture {
    /// The platform.
    pub standin: Arc<DeploymentStandin>,
    /// Address of the host.
    pub ip: String,
    /// The host.
    pub process: GatewayProcess,
    program: PathBuf,
}

/// Response that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// Status.
    pub status: u16,
    /// Signature of the replica that answered.
    pub signature: Option<String>,
    /// Time after which the caller may come back, in seconds.
    pub retry_after: Option<String>,
    /// The body, or `None` if it was truncated.
    pub body: Option<String>,
}

impl GatewayFixture {
    /// Starts a host against a platform of its own.
    pub fn start(program: &str, number: u8) -> Self {
        let standin = DeploymentStandin::start().expect("the stand-in starts");
        Self::start_host(program, Arc::new(standin), number)
    }

    /// Starts a host against a running platform.
    pub fn start_host(program: &str, standin: Arc<DeploymentStandin>, number: u8) -> Self {
        let ip = format!("127.0.77.{number}");
        let host = format!("h{number:02}");
        let program = PathBuf::from(program);
        let process =
            GatewayProcess::start(&program, &standin, &host, &ip).expect("the program starts");
        Self { standin, ip, process, program }
    }

    /// Starts a host in an availability zone against a running platform.
    pub fn start_in_zone(
        program: &str,
        standin: Arc<DeploymentStandin>,
        number: u8,
        zone: &str,
    ) -> Self {
        let ip = format!("127.0.77.{number}");
        let mut settings = standin.settings(&format!("h{number:02}"), &ip);
        settings["zone"] = zone.into();
        settings["zones"][zone] = "r".into();
        let program = PathBuf::from(program);
        let process = GatewayProcess::start_logged(&program, &settings, &ip);
        Self { standin, ip, process: process.expect("the program starts"), program }
    }

    /// Starts a gateway with a configuration and waits until it serves.
    pub fn ready(program: &str, number: u8) -> Self {
        let fixture = Self::start(program, number);
        fixture.standin.publish_config(3);
        fixture.serving()
    }

    /// Waits until the host serves requests.
    pub fn serving(self) -> Self {
        let fixture = self;
        wait_for(|| fixture.readiness() == Some(200));
        // The host may read the directory slightly later than the configuration.
        wait_for(|| fixture.call("GET", "/look/warm", "warm", Some(TEAM_KEY)).status == 200);
        fixture
    }

    /// Returns the program.
    pub fn program(&self) -> &Path {
        &self.program
    }

    fn agent() -> ureq::Agent {
        ureq::Agent::config_builder().http_status_as_error(false).build().into()
    }

    /// Returns the status of the readiness check, or `None` without a response.
    pub fn readiness(&self) -> Option<u16> {
        let reply = Self::agent().get(format!("http://{}:{READY_PORT}/ready", self.ip)).call();
        reply.ok().map(|reply| reply.status().as_u16())
    }

    /// Returns the metrics, or an empty text without a response.
    pub fn metrics(&self) -> String {
        read_metrics(&self.ip)
    }

    /// Returns a level among the metrics.
    pub fn level(&self, name: &str) -> Option<u64> {
        read_level(&self.ip, name)
    }

    /// Returns the peak resident memory of the host in KiB, or `None` if the process is gone.
    pub fn peak_memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().strip_suffix(" kB")?.parse().ok()
    }

    /// Sends a request and returns the response.
    pub fn call(&self, method: &str, path: &str, id: &str, key: Option<&str>) -> CallerResponse {
        self.call_with(method, path, id, key, &[])
    }

    /// Sends a request for a stream with a prompt, given as it is sent, and returns the response.
    pub fn call_prompt(&self, path: &str, id: &str, prompt: &str) -> CallerResponse {
        let fields = [("Token-Counts", PROMPT_TOKENS), ("Prompt-Prefix", prompt)];
        self.call_with("POST", path, id, Some(TEAM_KEY), &fields)
    }

    /// Resumes a stream after one of its events, as a caller does that lost its answer. `origin` is
    /// the attempt that brought the first event.
    pub fn resume_stream(&self, path: &str, id: &str, origin: &str, after: u64) -> CallerResponse {
        let after = after.to_string();
        let fields = [("Resumes", origin), ("Last-Event-Id", after.as_str())];
        self.call_with("POST", path, id, Some(TEAM_KEY), &fields)
    }

    /// Sends a request with additional header fields and returns the response.
    pub fn call_with(
        &self,
        method: &str,
        path: &str,
        id: &str,
        key: Option<&str>,
        fields: &[(&str, &str)],
    ) -> CallerResponse {
        self.try_call(method, path, id, key, fields).expect("the host answers")
    }

    /// Sends a request as [`Self::call_with`] does. Returns nothing if its connection ends without an answer.
    pub fn try_call(
        &self,
        method: &str,
        path: &str,
        id: &str,
        key: Option<&str>,
        fields: &[(&str, &str)],
    ) -> Option<CallerResponse> {
        let mut request = hyper::http::Request::builder()
            .method(method)
            .uri(format!("http://{}:{FRONT_PORT}{path}", self.ip))
            .header("Host", ROUTE_HOST)
            .header("Request-Id", id)
            .header("Tenant-Id", "forged");
        if !fields.iter().any(|(name, _)| *name == DEADLINE_FIELD) {
            request = request.header(DEADLINE_FIELD, CALL_DEADLINE_MS);
        }
        for (name, value) in fields {
            request = request.header(*name, *value);
        }
        if let Some(key) = key {
            request = request.header("Authorization", format!("Token {key}"));
        }
        let request = request.body(()).expect("the request is valid");
        let reply = Self::agent().run(request).ok()?;
        let field = |name: &str| {
            reply.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let (signature, retry_after) = (field("replica-signature"), field("retry-after"));
        let status = reply.status().as_u16();
        let mut text = String::new();
        let read = reply.into_body().into_reader().read_to_string(&mut text);
        Some(CallerResponse { status, signature, retry_after, body: read.is_ok().then_some(text) })
    }

    /// Returns how often the replicas ran a request.
    pub fn runs_of(&self, id: &str) -> usize {
        self.standin.runs().iter().filter(|run| run.request_id == id).count()
    }
}
