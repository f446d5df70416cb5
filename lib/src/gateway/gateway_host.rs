//! The whole host: binds its sockets, runs its tasks and restarts those that end.

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

use crate::gateway::caller_door;
use crate::gateway::duty_runner::DutyDesk;
use crate::gateway::edges::CloudDuties;
use crate::gateway::edges::ControlStore;
use crate::gateway::edges::WireDialect;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::peer_gossip;
use crate::gateway::request_runner::RequestRunner;
use crate::gateway::shutdown_plan::ShutdownPlan;
use crate::gateway::shutdown_plan::ShutdownStep;
use crate::gateway::store_follower;

/// Time between two looks at whether a leaving host may end.
const LEAVE_PERIOD: Duration = Duration::from_millis(50);

/// Time between two looks at the settings, which may change without a signal; it is half of the three
/// seconds in which hosts follow other changes.
const SETTINGS_PERIOD: Duration = Duration::from_millis(1_500);

/// Pause before a task that ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// The platform as the host reaches it.
pub struct PlatformEdges<W, S, C> {
    /// How callers and servers speak.
    pub wire: W,
    /// Store.
    pub store: S,
    /// Duties.
    pub cloud: C,
    /// Reads the settings again.
    pub reload: Box<dyn Fn() -> anyhow::Result<GatewaySettings>>,
}

/// Runs a host until it is told to stop.
pub fn run_host<W, S, C>(
    settings: GatewaySettings,
    edges: PlatformEdges<W, S, C>,
) -> anyhow::Result<()>
where
    W: WireDialect + 'static,
    S: ControlStore + 'static,
    C: CloudDuties + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the event loop")?;
    LocalSet::new().block_on(&runtime, serve(settings, edges))
}

async fn serve<W, S, C>(
    settings: GatewaySettings,
    edges: PlatformEdges<W, S, C>,
) -> anyhow::Result<()>
where
    W: WireDialect + 'static,
    S: ControlStore + 'static,
    C: CloudDuties + 'static,
{
    let mut terminate = signal(SignalKind::terminate()).context("cannot handle SIGTERM")?;
    let mut hangup = signal(SignalKind::hangup()).context("cannot handle SIGHUP")?;
    let front = bind_tcp(settings.front).await?;
    let ready = bind_tcp(settings.ready).await?;
    let metrics = bind_tcp(settings.metrics).await?;
    let socket = UdpSocket::bind(settings.summaries).await;
    let socket = Rc::new(socket.with_context(|| format!("cannot bind {}", settings.summaries))?);
    log::info!("event=host_started host={} zone={}", settings.host, settings.zone);
    let state = Rc::new(GatewayState::new(settings, GatewayMetrics::new()?));
    let (wire, store, cloud) = (Rc::new(edges.wire), Rc::new(edges.store), Rc::new(edges.cloud));
    let (close, closing) = watch::channel(false);

    let runner = RequestRunner::new(state.clone(), wire);
    spawn_local(caller_door::serve_callers(front, state.clone(), runner, closing));
    spawn_local(caller_door::serve_readiness(ready, state.clone()));
    spawn_local(caller_door::serve_metrics(metrics, state.clone()));
    follow_store(&state, &store);
    exchange_summaries(&state, &store, socket);
    perform_duties(&state, store, cloud);

    let mut watch = SettingsWatch { read: edges.reload, rejected: None };
    let mut period = tokio::time::interval(SETTINGS_PERIOD);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => watch.look(&state),
            _ = period.tick() => watch.look(&state),
        }
    }
    leave(&state, close).await;
    Ok(())
}

/// Keeps configuration and directory up to date.
fn follow_store<S: ControlStore + 'static>(state: &Rc<GatewayState>, store: &Rc<S>) {
    keep_running("config", {
        let (state, store) = (state.clone(), store.clone());
        move || store_follower::follow_config(state.clone(), store.clone())
    });
    keep_running("directory", {
        let (state, store) = (state.clone(), store.clone());
        move || store_follower::follow_directory(state.clone(), store.clone())
    });
}

/// Exchanges cards, spending and summaries with the other hosts.
fn exchange_summaries<S: ControlStore + 'static>(
    state: &Rc<GatewayState>,
    store: &Rc<S>,
    socket: Rc<UdpSocket>,
) {
    keep_running("cards", {
        let (state, store) = (state.clone(), store.clone());
        move || peer_gossip::exchange_cards(state.clone(), store.clone())
    });
    keep_running("spending", {
        let (state, store) = (state.clone(), store.clone());
        move || peer_gossip::record_spending(state.clone(), store.clone())
    });
    keep_running("send_summaries", {
        let (state, socket) = (state.clone(), socket.clone());
        move || peer_gossip::send_summaries(state.clone(), socket.clone())
    });
    keep_running("receive_summaries", {
        let state = state.clone();
        move || peer_gossip::receive_summaries(state.clone(), socket.clone())
    });
}

/// Shares the duties with the other hosts.
fn perform_duties<S, C>(state: &Rc<GatewayState>, store: Rc<S>, cloud: Rc<C>)
where
    S: ControlStore + 'static,
    C: CloudDuties + 'static,
{
    let desk = Rc::new(DutyDesk::new(state.clone(), store, cloud));
    keep_running("perform_duties", {
        let desk = desk.clone();
        move || desk.clone().perform()
    });
    spawn_local(desk.renew());
}

async fn bind_tcp(address: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot bind {address}"))
}

/// Runs a task, and starts it again whenever it ends or panics.
fn keep_running<F>(name: &'static str, task: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        loop {
            let ended = spawn_local(task()).await;
            let detail = ended.err().map_or("ended".to_owned(), |error| error.to_string());
            log::error!("event=task_restarted task={name} detail=\"{detail}\"");
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    });
}

/// Follows the settings.
struct SettingsWatch {
    read: Box<dyn Fn() -> anyhow::Result<GatewaySettings>>,
    /// Why they could not be used at the last look.
    rejected: Option<String>,
}

impl SettingsWatch {
    /// Puts the settings in force if they changed. Those in force hold on as long as the new ones
    /// cannot be used: a file that is being written is read at the next look.
    fn look(&mut self, state: &GatewayState) {
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

async fn leave(state: &GatewayState, close: watch::Sender<bool>) {
    let grace = state.settings.borrow().grace;
    let plan = ShutdownPlan::new(state.now(), grace);
    state.leave.set(Some(plan));
    log::info!("event=host_leaving running={} grace_ms={}", state.running.get(), grace.as_millis());
    loop {
        match plan.step(state.now(), state.running.get()) {
            ShutdownStep::Serve => {}
            ShutdownStep::Drain => {
                close.send_replace(true);
            }
            ShutdownStep::Exit => break,
        }
        tokio::time::sleep(LEAVE_PERIOD).await;
    }
    log::info!("event=host_stopped running={}", state.running.get());
}
