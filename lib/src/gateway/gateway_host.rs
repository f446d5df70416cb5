//! The gateway process: binds its sockets, runs its tasks and restarts those that end or panic.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context as _;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::gateway::duty_runner::DutyRunner;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::http_listeners;
use crate::gateway::peer_gossip;
use crate::gateway::platform_api::ControlStore;
use crate::gateway::platform_api::FencedCloud;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::reach::forward_listener::ForwardListener;
use crate::gateway::reach::trial_runner;
use crate::gateway::request_runner::RequestRunner;
use crate::gateway::rollout::rollout_keeper;
use crate::gateway::shutdown_plan::DrainLoad;
use crate::gateway::shutdown_plan::ShutdownPlan;
use crate::gateway::shutdown_plan::ShutdownStep;
use crate::gateway::store_follower;
use crate::gateway::verdict_keeper;
use crate::gateway::version_keeper;

/// Interval of the checks whether a draining host may exit.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Interval of the checks for changed settings, since they may change without a signal. It is half of
/// the three seconds within which hosts apply other changes.
const SETTINGS_PERIOD: Duration = Duration::from_millis(1_500);

/// Delay before a task that ended is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// The host's clients of its platform.
pub struct PlatformClients<W, S, C> {
    /// HTTP protocol of callers and servers.
    pub wire: W,
    /// Client of the store.
    pub store: S,
    /// Client for the cloud calls of the duties.
    pub cloud: C,
    /// Reads the current settings.
    pub reload: Box<dyn Fn() -> anyhow::Result<GatewaySettings>>,
}

/// Runs a host until it receives SIGTERM and has drained.
pub fn run_host<W, S, C>(
    settings: GatewaySettings,
    clients: PlatformClients<W, S, C>,
) -> anyhow::Result<()>
where
    W: WireProtocol + 'static,
    S: ControlStore + 'static,
    C: FencedCloud + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the event loop")?;
    LocalSet::new().block_on(&runtime, serve(settings, clients))
}

async fn serve<W, S, C>(
    settings: GatewaySettings,
    clients: PlatformClients<W, S, C>,
) -> anyhow::Result<()>
where
    W: WireProtocol + 'static,
    S: ControlStore + 'static,
    C: FencedCloud + 'static,
{
    let mut terminate = signal(SignalKind::terminate()).context("cannot handle SIGTERM")?;
    let mut hangup = signal(SignalKind::hangup()).context("cannot handle SIGHUP")?;
    let front = bind_tcp(settings.front).await?;
    let ready = bind_tcp(settings.ready).await?;
    let metrics = bind_tcp(settings.metrics).await?;
    let forward = bind_tcp(settings.summaries).await?;
    let socket = UdpSocket::bind(settings.summaries).await;
    let socket = Rc::new(socket.with_context(|| format!("cannot bind {}", settings.summaries))?);
    log::info!("event=host_started host={} zone={}", settings.host, settings.zone);
    let state = Rc::new(GatewayState::new(settings, GatewayMetrics::new()?));
    let (wire, store, cloud) =
        (Rc::new(clients.wire), Rc::new(clients.store), Rc::new(clients.cloud));
    let (close, closing) = watch::channel(false);

    let runner = RequestRunner::new(state.clone(), wire.clone());
    spawn_local(http_listeners::serve_callers(front, state.clone(), runner, closing));
    spawn_local(Rc::new(ForwardListener::new(state.clone(), wire)).serve(forward));
    supervise("trials", {
        let state = state.clone();
        move || trial_runner::run_trials(state.clone())
    });
    spawn_local(http_listeners::serve_readiness(ready, state.clone()));
    spawn_local(http_listeners::serve_metrics(metrics, state.clone()));
    follow_store(&state, &store);
    exchange_summaries(&state, &store, socket);
    keep_versions(&state, &store);
    perform_duties(&state, store, cloud);

    let mut watch = SettingsWatch { read: clients.reload, rejected: None };
    let mut period = tokio::time::interval(SETTINGS_PERIOD);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => watch.reload(&state),
            _ = period.tick() => watch.reload(&state),
        }
    }
    drain(&state, close).await;
    Ok(())
}

/// Starts the tasks that follow the configuration and the directory.
fn follow_store<S: ControlStore + 'static>(state: &Rc<GatewayState>, store: &Rc<S>) {
    supervise("config", {
        let (state, store) = (state.clone(), store.clone());
        move || store_follower::follow_config(state.clone(), store.clone())
    });
    supervise("rollouts", {
        let (state, store) = (state.clone(), store.clone());
        move || rollout_keeper::follow_rollouts(state.clone(), store.clone())
    });
    supervise("directory", {
        let (state, store) = (state.clone(), store.clone());
        move || store_follower::follow_directory(state.clone(), store.clone())
    });
}

/// Starts the tasks that exchange addresses, quota spending and summaries with the other hosts.
fn exchange_summaries<S: ControlStore + 'static>(
    state: &Rc<GatewayState>,
    store: &Rc<S>,
    socket: Rc<UdpSocket>,
) {
    supervise("cards", {
        let (state, store) = (state.clone(), store.clone());
        move || peer_gossip::exchange_addresses(state.clone(), store.clone())
    });
    supervise("spending", {
        let (state, store) = (state.clone(), store.clone());
        move || peer_gossip::record_spending(state.clone(), store.clone())
    });
    supervise("verdicts", {
        let (state, store) = (state.clone(), store.clone());
        move || verdict_keeper::keep_verdicts(state.clone(), store.clone())
    });
    supervise("send_summaries", {
        let (state, socket) = (state.clone(), socket.clone());
        move || peer_gossip::send_summaries(state.clone(), socket.clone())
    });
    supervise("receive_summaries", {
        let state = state.clone();
        move || peer_gossip::receive_summaries(state.clone(), socket.clone())
    });
}

/// Starts the tasks that keep the software versions of streams.
fn keep_versions<S: ControlStore + 'static>(state: &Rc<GatewayState>, store: &Rc<S>) {
    supervise("follow_versions", {
        let (state, store) = (state.clone(), store.clone());
        move || version_keeper::follow_versions(state.clone(), store.clone())
    });
    supervise("record_streams", {
        let (state, store) = (state.clone(), store.clone());
        move || version_keeper::record_streams(state.clone(), store.clone())
    });
    supervise("keep_bases", {
        let (state, store) = (state.clone(), store.clone());
        move || version_keeper::keep_bases(state.clone(), store.clone())
    });
}

/// Starts the tasks that compete for the lease on the duties and perform them.
fn perform_duties<S, C>(state: &Rc<GatewayState>, store: Rc<S>, cloud: Rc<C>)
where
    S: ControlStore + 'static,
    C: FencedCloud + 'static,
{
    let runner = Rc::new(DutyRunner::new(state.clone(), store, cloud));
    supervise("perform_duties", {
        let runner = runner.clone();
        move || runner.clone().run()
    });
    supervise("decide_rollouts", {
        let runner = runner.clone();
        move || runner.clone().run_rollouts()
    });
    spawn_local(runner.keep_membership());
}

async fn bind_tcp(address: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot bind {address}"))
}

/// Runs a task and restarts it whenever it ends or panics.
fn supervise<F>(name: &'static str, task: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        loop {
            let ended = spawn_local(task()).await;
            let detail = ended.err().map_or("ended".to_owned(), |error| error.to_string());
            log::error!("event=task_restarted task={name} detail=\"{detail}\"");
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}

/// Reloads the settings when they change.
struct SettingsWatch {
    read: Box<dyn Fn() -> anyhow::Result<GatewaySettings>>,
    /// Why the last read was rejected, if it was. An unchanged reason is not logged again.
    rejected: Option<String>,
}

impl SettingsWatch {
    /// Reads the settings and applies them if they changed. The current settings stay in force while
    /// the new ones are invalid: a file that is half written is read again at the next check.
    fn reload(&mut self, state: &GatewayState) {
        let rejected = match (self.read)() {
            Ok(settings) => {
                if **state.settings.borrow() != settings {
                    log::info!("event=settings_reloaded");
                    state.metrics.events.with_label_values(&["settings_reloaded"]).inc();
                    state.apply_settings(settings);
                }
                None
            }
            Err(error) => Some(format!("{error:#}")),
        };
        if let Some(reason) = &rejected
            && rejected != self.rejected
        {
            log::error!("event=settings_rejected detail=\"{reason}\"");
            state.metrics.events.with_label_values(&["settings_rejected"]).inc();
        }
        self.rejected = rejected;
    }
}

async fn drain(state: &GatewayState, close: watch::Sender<bool>) {
    let grace = state.settings.borrow().grace;
    let plan = ShutdownPlan::new(state.now(), grace);
    state.shutdown.set(Some(plan));
    // Peers take this host's parts of limits as soon as they hear that it is leaving.
    state.refresh_limits();
    state.summary_hint.notify_one();
    // A request that waits has not run, and its caller finds room at another host sooner.
    state.waiting.close();
    log::info!(
        "event=host_leaving running={} grace_ms={}",
        state.in_flight.get(),
        grace.as_millis()
    );
    loop {
        let load =
            DrainLoad { requests: state.in_flight.get(), connections: state.connections.get() };
        match plan.step(state.now(), load) {
            ShutdownStep::Serve => {}
            ShutdownStep::Drain => {
                close.send_replace(true);
            }
            ShutdownStep::Exit => break,
        }
        tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
    }
    state.stopped.set(true);
    log::info!(
        "event=host_stopped running={} connections={}",
        state.in_flight.get(),
        state.connections.get()
    );
}
