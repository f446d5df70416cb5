//! In-memory backend servers that follow a script for each attempt, for tests of the session
//! driver.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use pomelostack_lib::app_server::AppRequest;
use pomelostack_lib::app_server::AppResponse;
use pomelostack_lib::app_server::AppServer;
use pomelostack_lib::attempt_stop::AttemptStop;
use pomelostack_lib::engine::CacheEvent;
use pomelostack_lib::engine::EngineOrder;
use pomelostack_lib::engine::FinishReason;
use pomelostack_lib::engine::GenerateEnd;
use pomelostack_lib::engine::GenerateEvent;
use pomelostack_lib::engine::GenerateRequest;
use pomelostack_lib::engine::KvExport;
use pomelostack_lib::engine::LoadReport;
use pomelostack_lib::engine::ModelEngine;
use pomelostack_lib::engine::Result;
use pomelostack_lib::engine::ServerError;
use pomelostack_lib::engine::StreamFlow;
use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::ids::AttemptNumber;
use pomelostack_lib::ids::FencingToken;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::session_ports::ProbeResult;
use pomelostack_lib::session_ports::ServerConnector;

/// Behavior of a server in one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptScript {
    /// It sends the whole answer.
    Whole,
    /// It sends this many tokens, then the connection is lost.
    LostAfter(u32),
    /// It sends this many tokens, blocks until [`ScriptedServers::release`] and sends the rest.
    HoldAfter(u32),
    /// It sends this many tokens, then the client reports a timeout.
    TimeOutAfter(u32),
    /// The connection cannot be opened.
    NotConnected,
    /// The server refuses the request without running it.
    Refused,
    /// The end event has a wrong offset; an application call gets a malformed response.
    WrongEnd,
}

/// An attempt that a server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutedAttempt {
    /// Address of the server.
    pub address: SocketAddr,
    /// Attempt number.
    pub attempt: AttemptNumber,
    /// Token offset from which it resumed.
    pub resume_from: u32,
}

#[derive(Debug, Default)]
struct ScriptState {
    scripts: BTreeMap<SocketAddr, VecDeque<AttemptScript>>,
    journal: Vec<ExecutedAttempt>,
    retired: Vec<SocketAddr>,
    dead: Vec<SocketAddr>,
    released: bool,
    allows_kv_export: bool,
    imports: Vec<(SocketAddr, AttemptNumber)>,
}

/// Servers of a test. An attempt without a script gets the whole answer.
#[derive(Clone, Debug, Default)]
pub struct ScriptedServers {
    state: Arc<Mutex<ScriptState>>,
    changed: Arc<Condvar>,
}

/// Returns the token at an offset of every scripted answer.
pub fn scripted_token(offset: u32) -> String {
    format!("t{offset} ")
}

impl ScriptedServers {
    /// Queues the script of one more attempt at a server.
    pub fn script(&self, address: SocketAddr, script: AttemptScript) {
        self.state.lock().unwrap().scripts.entry(address).or_default().push_back(script);
    }

    /// Makes a server refuse probes.
    pub fn set_dead(&self, address: SocketAddr) {
        self.state.lock().unwrap().dead.push(address);
    }

    /// Allows servers to export KV cache; by default they refuse.
    pub fn allow_kv_export(&self) {
        self.state.lock().unwrap().allows_kv_export = true;
    }

    /// Returns the server and attempt of each KV cache import, in order.
    pub fn imports(&self) -> Vec<(SocketAddr, AttemptNumber)> {
        self.state.lock().unwrap().imports.clone()
    }

    /// Returns the attempts that ran, in order.
    pub fn journal(&self) -> Vec<ExecutedAttempt> {
        self.state.lock().unwrap().journal.clone()
    }

    /// Returns the addresses whose connections were retired, in order.
    pub fn retired(&self) -> Vec<SocketAddr> {
        self.state.lock().unwrap().retired.clone()
    }

    /// Unblocks the attempts that [`AttemptScript::HoldAfter`] blocks.
    pub fn release(&self) {
        self.state.lock().unwrap().released = true;
        self.changed.notify_all();
    }

    fn wait_for_release(&self) {
        let state = self.state.lock().unwrap();
        drop(self.changed.wait_while(state, |state| !state.released).unwrap());
    }

    fn next_script(&self, address: SocketAddr) -> AttemptScript {
        let mut state = self.state.lock().unwrap();
        let script = state.scripts.get_mut(&address).and_then(VecDeque::pop_front);
        script.unwrap_or(AttemptScript::Whole)
    }

    fn record(&self, address: SocketAddr, attempt: AttemptNumber, resume_from: u32) {
        self.state.lock().unwrap().journal.push(ExecutedAttempt { address, attempt, resume_from });
    }
}

impl ServerConnector for ScriptedServers {
    fn engine(&self, address: SocketAddr) -> Arc<dyn ModelEngine> {
        Arc::new(ScriptedServer { address, servers: self.clone() })
    }

    fn app(&self, address: SocketAddr) -> Arc<dyn AppServer> {
        Arc::new(ScriptedServer { address, servers: self.clone() })
    }

    fn retire(&self, address: SocketAddr) {
        self.state.lock().unwrap().retired.push(address);
    }

    fn probe(&self, address: SocketAddr) -> ProbeResult {
        match self.state.lock().unwrap().dead.contains(&address) {
            true => ProbeResult::Refused,
            false => ProbeResult::Open,
        }
    }
}

struct ScriptedServer {
    address: SocketAddr,
    servers: ScriptedServers,
}

impl ModelEngine for ScriptedServer {
    fn generate(
        &self,
        request: &GenerateRequest,
        gap_limit: Duration,
        _stop: &AttemptStop,
        on_event: &mut dyn FnMut(GenerateEvent) -> StreamFlow,
    ) -> Result<GenerateEnd> {
        let script = self.servers.next_script(self.address);
        let count = match script {
            AttemptScript::NotConnected => {
                return Err(ServerError::NotConnected("scripted".to_owned()));
            }
            AttemptScript::Refused => return Err(ServerError::Refused("scripted".to_owned())),
            AttemptScript::LostAfter(count) | AttemptScript::TimeOutAfter(count) => count,
            AttemptScript::HoldAfter(_) | AttemptScript::Whole | AttemptScript::WrongEnd => {
                u32::MAX
            }
        };
        self.servers.record(self.address, request.attempt, request.resume_from);
        on_event(GenerateEvent::Accepted);
        let stop = request.resume_from.saturating_add(count).min(request.max_tokens);
        for offset in request.resume_from..stop {
            if script == AttemptScript::HoldAfter(offset - request.resume_from) {
                self.servers.wait_for_release();
            }
            let chunk = TokenChunk { offset, text: scripted_token(offset) };
            if on_event(GenerateEvent::Token(chunk)) == StreamFlow::Stop {
                return Err(ServerError::Lost("stopped by the reader".to_owned()));
            }
        }
        end_attempt(&script, request, gap_limit)
    }

    fn cancel(&self, _request: RequestId, _attempt: AttemptNumber) -> Result<()> {
        Ok(())
    }

    fn load_report(&self) -> Result<LoadReport> {
        Ok(LoadReport::default())
    }

    fn cache_events(&self, _from: u64) -> Result<Vec<CacheEvent>> {
        Ok(Vec::new())
    }

    fn export_kv(&self, _request: RequestId, _attempt: AttemptNumber) -> Result<KvExport> {
        match self.servers.state.lock().unwrap().allows_kv_export {
            true => Ok(KvExport { tokens: 1, data: String::new() }),
            false => Err(ServerError::Refused("no KV cache".to_owned())),
        }
    }

    fn import_kv(&self, _request: RequestId, attempt: AttemptNumber, _kv: &KvExport) -> Result<()> {
        self.servers.state.lock().unwrap().imports.push((self.address, attempt));
        Ok(())
    }

    fn order(&self, _order: &EngineOrder, _fence: Option<FencingToken>) -> Result<()> {
        Ok(())
    }
}

fn end_attempt(
    script: &AttemptScript,
    request: &GenerateRequest,
    gap_limit: Duration,
) -> Result<GenerateEnd> {
    let end_offset = match script {
        AttemptScript::LostAfter(_) => return Err(ServerError::Lost("scripted".to_owned())),
        AttemptScript::TimeOutAfter(_) => return Err(ServerError::TimedOut(gap_limit)),
        AttemptScript::WrongEnd => request.max_tokens + 1,
        _ => request.max_tokens,
    };
    let prompt_tokens = 4 + request.resume_from;
    Ok(GenerateEnd {
        finish_reason: FinishReason::Length,
        end_offset,
        prompt_tokens,
        cached_tokens: 0,
        computed_tokens: prompt_tokens,
    })
}

impl AppServer for ScriptedServer {
    fn call(&self, request: &AppRequest, timeout: Duration) -> Result<AppResponse> {
        let script = self.servers.next_script(self.address);
        match script {
            AttemptScript::NotConnected => {
                return Err(ServerError::NotConnected("scripted".to_owned()));
            }
            AttemptScript::Refused => return Err(ServerError::Refused("scripted".to_owned())),
            _ => self.servers.record(self.address, request.attempt, 0),
        }
        if let AttemptScript::HoldAfter(_) = script {
            self.servers.wait_for_release();
        }
        match script {
            AttemptScript::LostAfter(_) => Err(ServerError::Lost("scripted".to_owned())),
            AttemptScript::TimeOutAfter(_) => Err(ServerError::TimedOut(timeout)),
            AttemptScript::WrongEnd => Err(ServerError::Malformed("scripted".to_owned())),
            _ => Ok(AppResponse { status: 200, headers: Vec::new(), body: request.body.clone() }),
        }
    }
}
