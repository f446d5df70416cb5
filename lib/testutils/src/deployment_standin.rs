//! Stand-in for the platform that the gateway is deployed on: its store, its cloud API, and model
//! replicas that also serve non-streaming calls. It serves the platform's HTTP API on loopback
//! sockets.

use serde_json::Value;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::deployment_server::Role;
use crate::deployment_server::serve;
use crate::deployment_state::ReplicaState;
use crate::deployment_state::SharedState;
use crate::deployment_state::WrittenRecord;
use crate::deployment_state::lock;
use crate::deployment_state::write;
use crate::store_core::PARTITIONS;

pub use crate::deployment_server::event_text;
pub use crate::deployment_server::versioned_event_text;
pub use crate::deployment_state::BrittleRoom;
pub use crate::deployment_state::CopiedKind;
pub use crate::deployment_state::LimitAnswer;
pub use crate::deployment_state::LimitRecord;
pub use crate::deployment_state::ReplicaCrash;
pub use crate::deployment_state::ReplicaMode;
pub use crate::deployment_state::ReplicaRun;
pub use crate::deployment_state::RewriteScope;
pub use crate::deployment_state::StandinCopy;
pub use crate::deployment_state::StoreLink;
pub use crate::deployment_state::StoreMode;
pub use crate::deployment_state::StreamEnd;
pub use crate::deployment_state::TurnedAway;
pub use crate::deployment_state::UnframedEnd;
pub use crate::deployment_state::UsageReport;
pub use crate::deployment_state::WriteOutcome;
pub use crate::endless_response::EndlessKind;
pub use crate::host_cut::CutKind;

/// Service that the replicas run unless others are named.
pub const SERVICE: &str = "chat";
/// Key of the only team.
pub const TEAM_KEY: &str = "k1";
/// Host name of every route.
pub const ROUTE_HOST: &str = "wind.example";
/// Port on which a gateway serves callers.
pub const FRONT_PORT: u16 = 7_700;
/// Number of events in a complete stream, unless the path ends in `/events-` and a number.
pub const STREAM_EVENTS: u64 = 12;
/// Software version of a replica until it is released anew.
pub const FIRST_VERSION: &str = "v1";
/// Topic with the operators' documents.
const OPERATOR_TOPIC: &str = "keyed.op";
/// Key of the configuration document.
const CONFIG_KEY: &str = "config";
/// Topic with the states of roll-outs, which the system writes.
const STATUS_TOPIC: &str = "keyed.status";
/// Prefix of the keys of orders and states of roll-outs.
const ROLLOUT_PREFIX: &str = "rollout/";
/// State of a replica that accepts requests.
pub(crate) const READY: &str = "ready";
/// Topic with the entries of the replicas.
pub(crate) const SERVER_TOPIC: &str = "keyed.servers";

/// A running stand-in. Its threads run until the process exits.
pub struct DeploymentStandin {
    state: SharedState,
    /// Address of the store and the cloud API.
    pub platform: SocketAddr,
    /// Addresses of the replicas.
    pub replicas: Vec<SocketAddr>,
}

impl DeploymentStandin {
    /// Starts the store, the cloud API and two replicas, and registers the replicas in the
    /// directory.
    pub fn start() -> std::io::Result<Self> {
        Self::start_with(&[SERVICE, SERVICE])
    }

    /// Starts the store, the cloud API and one replica for each of the named services, and
    /// registers the replicas in the directory.
    pub fn start_with(services: &[&str]) -> std::io::Result<Self> {
        let state = SharedState::default();
        lock(&state).replicas = services
            .iter()
            .enumerate()
            .map(|(index, service)| ReplicaState {
                id: format!("i-{index}"),
                service: (*service).to_owned(),
                mode: ReplicaMode::Answer,
                state: READY,
                sequence: 0,
                silent_until: None,
                turned_away: Vec::new(),
                crash: Arc::default(),
                limit: None,
                room: None,
                running: 0,
                version: FIRST_VERSION.to_owned(),
                refused: BTreeSet::new(),
            })
            .collect();
        let platform = serve(state.clone(), Role::Platform(None))?;
        let replicas = (0..services.len()).map(|index| serve(state.clone(), Role::Replica(index)));
        let replicas = replicas.collect::<std::io::Result<_>>()?;
        let standin = Self { state, platform, replicas };
        for index in 0..standin.replicas.len() {
            standin.register_replica(index, READY);
        }
        Ok(standin)
    }

    /// Opens another address of the platform, whose mode can be set apart from the others.
    pub fn open_link(&self) -> std::io::Result<(StoreLink, SocketAddr)> {
        let link = {
            let modes = &mut lock(&self.state).link_modes;
            modes.push(StoreMode::Answer);
            StoreLink(modes.len() - 1)
        };
        Ok((link, serve(self.state.clone(), Role::Platform(Some(link)))?))
    }

    /// Cuts hosts off from the replicas of a service, or of all; without a kind they are connected again.
    pub fn cut_hosts(
        &self,
        ips: &[&str],
        service: Option<&str>,
        kind: Option<CutKind>,
    ) -> std::io::Result<()> {
        let parsed = ips.iter().map(|ip| ip.parse::<Ipv4Addr>().map_err(std::io::Error::other));
        let hosts = parsed.collect::<std::io::Result<Vec<Ipv4Addr>>>()?;
        let state = &mut lock(&self.state);
        for index in 0..state.replicas.len() {
            if service.is_none_or(|service| state.replicas[index].service == service) {
                state.sockets.entry(index).or_default().set_cut(&hosts, kind)?;
            }
        }
        Ok(())
    }

    /// Makes a replica say in all its answers that it is brittle, and turn away what finds no room.
    pub fn set_brittle(&self, index: usize, room: BrittleRoom) {
        lock(&self.state).replicas[index].room = Some(room);
        self.renew_entry(index);
    }

    /// Makes a replica name a limit in its answers from now on, or none.
    pub fn set_limit(&self, index: usize, limit: Option<&str>) {
        lock(&self.state).set_limit(index, limit.map(str::to_owned));
    }

    /// Sets how the store handles calls over a link.
    pub fn set_link_mode(&self, link: StoreLink, mode: StoreMode) {
        lock(&self.state).link_modes[link.0] = mode;
    }

    /// Writes a replica's entry into the directory, `ready` or `draining`.
    pub fn register_replica(&self, index: usize, state: &'static str) {
        lock(&self.state).replicas[index].state = state;
        self.renew_entry(index);
    }

    /// Writes a replica's entry again with the next sequence number, as it does periodically.
    pub fn renew_entry(&self, index: usize) {
        let (id, entry) = {
            let replica = &mut lock(&self.state).replicas[index];
            replica.sequence += 1;
            (replica.id.clone(), replica.entry(self.replicas[index]))
        };
        self.put(SERVER_TOPIC, &id, &entry);
    }

    /// Removes a replica's entry and starts the replica again under another id.
    pub fn replace_replica(&self, index: usize, id: &str) {
        self.expire_replica(index);
        {
            let replica = &mut lock(&self.state).replicas[index];
            (replica.id, replica.state, replica.sequence) = (id.to_owned(), READY, 0);
            replica.limit = None;
        }
        self.renew_entry(index);
    }

    /// Removes a replica's entry and starts the replica again under another id with software of a
    /// version. Requests that it runs go on, as at a replica that is leaving.
    pub fn release_replica(&self, index: usize, id: &str, version: &str) {
        lock(&self.state).replicas[index].version = version.to_owned();
        self.replace_replica(index, id);
    }

    /// Returns the software version of a replica.
    pub fn version(&self, index: usize) -> String {
        lock(&self.state).replicas[index].version.clone()
    }

    /// Returns the id and the service of a replica.
    pub fn replica(&self, index: usize) -> (String, String) {
        let replica = &lock(&self.state).replicas[index];
        (replica.id.clone(), replica.service.clone())
    }

    /// Publishes a configuration with one route for each kind: streaming, unsafe and safe.
    pub fn publish_config(&self, version: u64) {
        self.publish_document(&Self::config_document(version));
    }

    /// Returns a configuration document with one route for each kind.
    pub fn config_document(version: u64) -> Value {
        let route = |name: &str, prefix: &str, kind: &str, resumable: bool, attempts: u32| {
            json!({
                "name": name, "host": ROUTE_HOST, "path-prefix": prefix, "kind": kind,
                "timeout-ms": 10_000, "latency-goal-ms": 1_000, "priority": 0,
                "service": SERVICE, "attempts": attempts, "resumable": resumable,
            })
        };
        json!({
            "version": version,
            "routes": [
                route("brief", "/brief/", "streaming", true, 2),
                route("book", "/book/", "unsafe", false, 2),
                route("look", "/look/", "safe", false, 2),
            ],
            "services": [{"name": SERVICE, "max-conns": 500}],
            "limits": {"max-header-bytes": 16_384, "max-body-bytes": 1_048_576,
                       "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000},
            "tenants": [{"name": "club", "api-keys": [TEAM_KEY]}],
        })
    }

    /// Publishes a configuration document.
    pub fn publish_document(&self, document: &Value) {
        self.put(OPERATOR_TOPIC, CONFIG_KEY, document);
    }

    /// Publishes a configuration document unless the store is unavailable to the operator.
    pub fn try_publish(&self, document: &Value) -> WriteOutcome {
        let state = &mut lock(&self.state);
        let outcome = match state.mode {
            StoreMode::Answer | StoreMode::Slow(_) => WriteOutcome::Acknowledged,
            StoreMode::DropResponses => WriteOutcome::Unanswered,
            StoreMode::Refuse | StoreMode::Reset | StoreMode::Silent => {
                return WriteOutcome::Refused;
            }
        };
        let (key, value) = (CONFIG_KEY.to_owned(), document.to_string());
        write(state, WrittenRecord { topic: OPERATOR_TOPIC, key, value });
        outcome
    }

    /// Orders to roll out a version of a service. Its servers are released apart.
    pub fn order_rollout(&self, service: &str, to: &str, duration: Duration) {
        let order = json!({"service": service, "to": to, "duration-s": duration.as_secs_f64()});
        self.put(OPERATOR_TOPIC, &format!("{ROLLOUT_PREFIX}{service}"), &order);
    }

    /// Returns the state of a service's roll-out and the version that it names, as last written.
    pub fn rollout_state(&self, service: &str) -> Option<(String, String)> {
        let state = lock(&self.state);
        let value = state.store.newest(STATUS_TOPIC, &format!("{ROLLOUT_PREFIX}{service}"))?;
        let status: Value = serde_json::from_slice(value).ok()?;
        let field = |name: &str| status[name].as_str().map(str::to_owned);
        Some((field("state")?, field("to")?))
    }

    /// Returns whether the store answers the operator and the replicas.
    pub fn is_store_up(&self) -> bool {
        matches!(lock(&self.state).mode, StoreMode::Answer | StoreMode::Slow(_))
    }

    /// Drops the history of what the operator and the replicas wrote; the newest record of each key
    /// stays listed.
    pub fn drop_history(&self) {
        let store = &mut lock(&self.state).store;
        store.drop_history(OPERATOR_TOPIC);
        store.drop_history(SERVER_TOPIC);
    }

    /// Drops the history of one topic.
    pub fn drop_topic_history(&self, topic: &str) {
        lock(&self.state).store.drop_history(topic);
    }

    /// Copies the store's records and group.
    pub fn copy_store(&self) -> StandinCopy {
        let state = &lock(&self.state);
        StandinCopy { store: state.store.copy(), written: state.written.len() }
    }

    /// Lets the store come back from a copy. What the operator and the replicas wrote since is
    /// missing until [`Self::rewrite_lost`]. Open connections to the store are reset.
    pub fn restore_store(&self, copy: StandinCopy) {
        let state = &mut lock(&self.state);
        state.store.restore(copy.store);
        let kept = copy.written.min(state.written.len());
        state.lost = state.written.split_off(kept);
        state.restored_at = state.written.len();
    }

    /// Writes again what the operator and the replicas lost at the last restore, but for keys that
    /// were written since.
    pub fn rewrite_lost(&self, scope: RewriteScope) {
        let state = &mut lock(&self.state);
        let lost = std::mem::take(&mut state.lost);
        let rewritten: Vec<WrittenRecord> = lost
            .iter()
            .enumerate()
            .filter(|(index, record)| {
                let is_superseded =
                    lost[index + 1..].iter().any(|later| later.names_same_key(record));
                scope == RewriteScope::AllRecords || !is_superseded
            })
            .map(|(_, record)| record.clone())
            .filter(|record| !state.since_restore().any(|newer| newer.names_same_key(record)))
            .collect();
        rewritten.into_iter().for_each(|record| write(state, record));
    }

    /// Silences the open connections to the store: they stay open and carry nothing, and new ones
    /// work.
    pub fn silence_connections(&self) {
        let state = &mut lock(&self.state);
        state.silent_below = state.next_connection;
    }

    /// Sets how a replica handles requests.
    pub fn set_replica_mode(&self, index: usize, mode: ReplicaMode) {
        lock(&self.state).replicas[index].mode = mode;
    }

    /// Makes a replica send nothing for a while and then go on, to all of its callers at once. It
    /// still reads requests and runs them.
    pub fn silence_replica(&self, index: usize, duration: Duration) {
        lock(&self.state).replicas[index].silent_until = Some(Instant::now() + duration);
    }

    /// Makes each replica crash that begins to answer a request with one of these parts anywhere but
    /// at the end of its prompt. A crashed replica is down for a while and comes back with another
    /// id.
    pub fn set_crashing_parts(&self, parts: &[u64], down: Duration) {
        let state = &mut lock(&self.state);
        state.crashing_parts = parts.to_vec();
        state.crash_times.down = down;
    }

    /// Sets how long the address of a replica that crashed accepts connections.
    pub fn set_crash_ending(&self, ending: Duration) {
        lock(&self.state).crash_times.ending = ending;
    }

    /// Returns the crashes of replicas by requests, in order.
    pub fn crashes(&self) -> Vec<ReplicaCrash> {
        lock(&self.state).crashes.clone()
    }

    /// Returns when a replica turned requests away, in order.
    pub fn turned_away(&self, index: usize) -> Vec<Instant> {
        lock(&self.state).replicas[index].turned_away.clone()
    }

    /// Returns the requests that replicas turned away until later, in order.
    pub fn rejections(&self) -> Vec<TurnedAway> {
        lock(&self.state).rejections.clone()
    }

    /// Returns the changes of the limits that replicas name, in order. A new process names none.
    pub fn limit_records(&self) -> Vec<LimitRecord> {
        lock(&self.state).limit_records.clone()
    }

    /// Returns the answers that named a limit, in order.
    pub fn limit_answers(&self) -> Vec<LimitAnswer> {
        lock(&self.state).limit_answers.clone()
    }

    /// Returns the requests that the replicas executed, in order.
    pub fn runs(&self) -> Vec<ReplicaRun> {
        lock(&self.state).runs.clone()
    }

    /// Returns the streams that ended at replicas, in order.
    pub fn stream_ends(&self) -> Vec<StreamEnd> {
        lock(&self.state).stream_ends.clone()
    }

    /// Returns the requests that the replicas executed since the last call, in order.
    pub fn take_runs(&self) -> Vec<ReplicaRun> {
        std::mem::take(&mut lock(&self.state).runs)
    }

    /// Returns the accepted usage reports, in order.
    pub fn usage_reports(&self) -> Vec<UsageReport> {
        lock(&self.state).usage.clone()
    }

    /// Returns the contents of the settings file of a gateway host with its own IP address.
    pub fn settings(&self, node: &str, ip: &str) -> Value {
        self.settings_at(node, ip, self.platform)
    }

    /// Returns the settings of a gateway host that reaches the platform at an address.
    pub fn settings_at(&self, node: &str, ip: &str, platform: SocketAddr) -> Value {
        json!({
            "node": node, "ip": ip, "zone": "north", "region": "r", "zones": {"north": "r"},
            "bootstrap": true, "port-range": [7600, 7615],
            "listen": {"front": format!("{ip}:{FRONT_PORT}"), "ready": format!("{ip}:7701")},
            "bounds": {
                "grace-s": 8, "retry-budget-ratio": 0.2, "budget-window-s": 10,
                "budget-slack": 54, "quota-window-s": 8, "quota-over": 0.1,
                "quota-slack": 140_000, "lease-ms": 600, "usage-window-s": 1,
                "usage-late-s": 10, "expose-share": 0.1, "expose-slack": 50,
                "rollback-ms": 5_000,
            },
            "platform": {
                "address": platform.to_string(), "parts": PARTITIONS, "ttl-min-ms": 600,
            },
            "cloud": {"address": platform.to_string(), "duties": ["usage_report"]},
        })
    }

    /// Sets how the store handles calls.
    pub fn set_store_mode(&self, mode: StoreMode) {
        lock(&self.state).mode = mode;
    }

    /// Removes a replica's entry from the directory, as if it had expired, by writing a tombstone.
    /// The replica keeps running.
    pub fn expire_replica(&self, index: usize) {
        let state = &mut lock(&self.state);
        let key = state.replicas[index].id.clone();
        write(state, WrittenRecord { topic: SERVER_TOPIC, key, value: String::new() });
    }

    fn put(&self, topic: &'static str, key: &str, value: &Value) {
        let (key, value) = (key.to_owned(), value.to_string());
        write(&mut lock(&self.state), WrittenRecord { topic, key, value });
    }
}
