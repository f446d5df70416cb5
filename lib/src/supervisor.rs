//! Supervises the long-lived threads of a process.
//!
//! A child that panics, returns before it is told to stop, or stops reporting progress is restarted
//! with exponential backoff. A child that keeps failing is escalated, and the process leaves
//! gracefully. [`RestartPolicy`] decides; [`ChildSupervisor`] runs the threads.

use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use thiserror::Error;

use crate::timestamp::ProcessClock;
use crate::timestamp::Timestamp;

/// Delay before the first restart.
const FIRST_RESTART_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before a restart.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);
/// Failures within [`FAILURE_WINDOW`] after which a child is escalated.
const MAX_FAILURES: usize = 8;
/// Time after which a failure no longer counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(60);
/// Interval between checks of the children.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A thread could not be started.
#[derive(Debug, Error)]
#[error("cannot start thread {name}: {source}")]
pub struct SupervisorError {
    name: String,
    source: std::io::Error,
}

/// Result of starting threads.
pub type Result<T> = std::result::Result<T, SupervisorError>;

/// How a child failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChildFailure {
    /// The child panicked.
    Panicked,
    /// The child returned although it was not told to stop.
    Ended,
    /// The child reported no progress within its stall limit.
    Stalled,
}

/// What to do about a failed child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureResponse {
    /// Restart the child at the given time.
    RestartAt(Timestamp),
    /// Do not restart the child: the process must leave.
    Escalate,
}

/// Decides whether and when to restart one child.
#[derive(Clone, Debug, Default)]
pub struct RestartPolicy {
    failures: Vec<Timestamp>,
}

impl RestartPolicy {
    /// Records a failure and returns how to respond to it.
    pub fn on_failure(&mut self, now: Timestamp) -> FailureResponse {
        self.failures.retain(|&failed| now.since(failed) < FAILURE_WINDOW);
        self.failures.push(now);
        if self.failures.len() >= MAX_FAILURES {
            return FailureResponse::Escalate;
        }
        let doublings = u32::try_from(self.failures.len() - 1).unwrap_or(u32::MAX);
        let delay = FIRST_RESTART_DELAY.saturating_mul(2u32.saturating_pow(doublings));
        FailureResponse::RestartAt(now + delay.min(MAX_RESTART_DELAY))
    }
}

/// Shared state through which a child and its supervisor communicate.
#[derive(Clone, Debug)]
pub struct ChildContext {
    stop: Arc<AtomicBool>,
    superseded: Arc<AtomicBool>,
    progress_micros: Arc<AtomicU64>,
    restarts: Arc<AtomicU64>,
    clock: ProcessClock,
}

impl ChildContext {
    /// Returns the number of restarts of all children of this supervisor so far.
    pub fn restarts(&self) -> u64 {
        self.restarts.load(Ordering::Relaxed)
    }

    /// Returns whether the child must end, because the process stops or because the supervisor
    /// counts this run as failed.
    pub fn must_stop(&self) -> bool {
        self.stop.load(Ordering::Relaxed) || self.superseded.load(Ordering::Relaxed)
    }

    /// Reports progress, so that the child does not count as stalled.
    pub fn report_progress(&self) {
        self.progress_micros.store(self.clock.now().0, Ordering::Relaxed);
    }
}

/// Work of a child: runs until [`ChildContext::must_stop`] returns true; called again after a
/// failure.
pub type ChildWork = Arc<dyn Fn(&ChildContext) + Send + Sync>;

/// Specification of a child.
#[derive(Clone)]
pub struct ChildSpec {
    /// Name of its thread.
    pub name: &'static str,
    /// Time without progress after which the child counts as stalled; with `None` it never does.
    pub stall_limit: Option<Duration>,
    /// Work that the child does.
    pub work: ChildWork,
}

/// Event that a supervisor reports to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SupervisorEvent {
    /// A child failed and will be restarted.
    Restarting(&'static str, ChildFailure),
    /// A child keeps failing and will not be restarted.
    Escalated(&'static str, ChildFailure),
}

struct RunningChild {
    context: ChildContext,
    panicked: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

enum ChildSlot {
    Running(RunningChild),
    WaitingUntil(Timestamp),
    GivenUp,
}

/// Runs children and restarts those that fail.
pub struct ChildSupervisor {
    stop: Arc<AtomicBool>,
    watcher: Mutex<Option<JoinHandle<()>>>,
    restarts: Arc<AtomicU64>,
}

impl ChildSupervisor {
    /// Starts all children and the thread that monitors them.
    pub fn start(
        specs: Vec<ChildSpec>,
        clock: ProcessClock,
        events: mpsc::Sender<SupervisorEvent>,
    ) -> Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let restarts = Arc::new(AtomicU64::new(0));
        let mut watch = ChildWatch {
            clock,
            stop: stop.clone(),
            restarts: restarts.clone(),
            events,
            policies: BTreeMap::new(),
            slots: Vec::new(),
        };
        for spec in specs {
            let child = watch.spawn(&spec)?;
            watch.slots.push((spec, ChildSlot::Running(child)));
        }
        let watcher = spawn_thread("supervisor", move || watch.run())?;
        Ok(Self { stop, watcher: Mutex::new(Some(watcher)), restarts })
    }

    /// Returns the number of restarts so far.
    pub fn restarts(&self) -> u64 {
        self.restarts.load(Ordering::Relaxed)
    }

    /// Asks all children to stop and waits for those that are not stalled.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
        let watcher = self.watcher.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(watcher) = watcher
            && watcher.join().is_err()
        {
            log::error!("event=supervisor_panicked");
        }
    }
}

/// State of the thread that monitors the children.
struct ChildWatch {
    clock: ProcessClock,
    stop: Arc<AtomicBool>,
    restarts: Arc<AtomicU64>,
    events: mpsc::Sender<SupervisorEvent>,
    policies: BTreeMap<&'static str, RestartPolicy>,
    slots: Vec<(ChildSpec, ChildSlot)>,
}

impl ChildWatch {
    fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            std::thread::sleep(CHECK_INTERVAL);
            self.check_children();
        }
        for (spec, slot) in self.slots.drain(..) {
            let ChildSlot::Running(child) = slot else { continue };
            if is_stalled(&spec, &child, self.clock.now()) {
                continue;
            }
            if child.thread.join().is_err() {
                log::error!("event=child_panicked child={}", spec.name);
            }
        }
    }

    fn check_children(&mut self) {
        let now = self.clock.now();
        let mut slots = std::mem::take(&mut self.slots);
        for (spec, slot) in &mut slots {
            let failure = match slot {
                ChildSlot::Running(child) => find_failure(spec, child, now),
                ChildSlot::WaitingUntil(due) if *due <= now => {
                    self.restart(spec, slot);
                    None
                }
                ChildSlot::WaitingUntil(_) | ChildSlot::GivenUp => None,
            };
            if let Some(failure) = failure
                && !self.stop.load(Ordering::Relaxed)
            {
                self.on_failure(spec, slot, failure, now);
            }
        }
        self.slots = slots;
    }

    fn on_failure(
        &mut self,
        spec: &ChildSpec,
        slot: &mut ChildSlot,
        failure: ChildFailure,
        now: Timestamp,
    ) {
        log::error!("event=child_failed child={} failure={failure:?}", spec.name);
        if let ChildSlot::Running(child) = slot {
            child.context.superseded.store(true, Ordering::Relaxed);
        }
        let policy = self.policies.entry(spec.name).or_default();
        let event = match policy.on_failure(now) {
            FailureResponse::RestartAt(due) => {
                *slot = ChildSlot::WaitingUntil(due);
                SupervisorEvent::Restarting(spec.name, failure)
            }
            FailureResponse::Escalate => {
                *slot = ChildSlot::GivenUp;
                SupervisorEvent::Escalated(spec.name, failure)
            }
        };
        // Sending fails only without a receiver, and then the process is already stopping.
        let _ = self.events.send(event);
    }

    fn restart(&mut self, spec: &ChildSpec, slot: &mut ChildSlot) {
        self.restarts.fetch_add(1, Ordering::Relaxed);
        match self.spawn(spec) {
            Ok(child) => *slot = ChildSlot::Running(child),
            Err(error) => {
                log::error!("event=child_not_started child={} error=\"{error}\"", spec.name);
                *slot = ChildSlot::WaitingUntil(self.clock.now() + MAX_RESTART_DELAY);
            }
        }
    }

    fn spawn(&self, spec: &ChildSpec) -> Result<RunningChild> {
        let context = ChildContext {
            stop: self.stop.clone(),
            superseded: Arc::new(AtomicBool::new(false)),
            progress_micros: Arc::new(AtomicU64::new(self.clock.now().0)),
            restarts: self.restarts.clone(),
            clock: self.clock,
        };
        let work = spec.work.clone();
        let panicked = Arc::new(AtomicBool::new(false));
        let (thread_context, thread_panicked) = (context.clone(), panicked.clone());
        let thread = spawn_thread(spec.name, move || {
            let outcome = catch_unwind(AssertUnwindSafe(|| work(&thread_context)));
            thread_panicked.store(outcome.is_err(), Ordering::Relaxed);
        })?;
        Ok(RunningChild { context, panicked, thread })
    }
}

fn find_failure(spec: &ChildSpec, child: &RunningChild, now: Timestamp) -> Option<ChildFailure> {
    if child.thread.is_finished() {
        let panicked = child.panicked.load(Ordering::Relaxed);
        return Some(if panicked { ChildFailure::Panicked } else { ChildFailure::Ended });
    }
    is_stalled(spec, child, now).then_some(ChildFailure::Stalled)
}

fn is_stalled(spec: &ChildSpec, child: &RunningChild, now: Timestamp) -> bool {
    let last = Timestamp(child.context.progress_micros.load(Ordering::Relaxed));
    spec.stall_limit.is_some_and(|limit| now.since(last) > limit)
}

fn spawn_thread<T: Send + 'static>(
    name: &str,
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<JoinHandle<T>> {
    std::thread::Builder::new()
        .name(name.to_string())
        .spawn(work)
        .map_err(|source| SupervisorError { name: name.to_string(), source })
}
