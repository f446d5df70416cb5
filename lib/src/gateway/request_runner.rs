//! Handles one caller's request: admission, placement, attempts, and the reply.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::request;

use crate::gateway::accepted_request::AcceptedRequest;
use crate::gateway::accepted_request::DRAINING_RETRY_AFTER;
use crate::gateway::accepted_request::InFlightGuard;
use crate::gateway::accepted_request::NO_SERVER_RETRY_AFTER;
use crate::gateway::accepted_request::QUEUE_FULL_RETRY_AFTER;
use crate::gateway::accepted_request::REQUEST_BYTES;
use crate::gateway::accepted_request::RefusalReason;
use crate::gateway::accepted_request::RequestEnd;
use crate::gateway::accepted_request::log_request_end;
use crate::gateway::accepted_request::place_by_rank;
use crate::gateway::accepted_request::refund_quota;
use crate::gateway::accepted_request::refuse_absent;
use crate::gateway::accepted_request::request_kind_label;
use crate::gateway::accepted_request::wait_class;
use crate::gateway::attempt_plan::AttemptFailure;
use crate::gateway::attempt_plan::AttemptPlan;
use crate::gateway::attempt_plan::AttemptStep;
use crate::gateway::attempt_plan::GiveUpReason;
use crate::gateway::attempt_race::AttemptRace;
use crate::gateway::attempt_race::RaceEvent;
use crate::gateway::body_reader::BodyError;
use crate::gateway::body_reader::read_body;
use crate::gateway::buffer_budget::BufferError;
use crate::gateway::caller_request::CallerHead;
use crate::gateway::caller_request::EventNumber;
use crate::gateway::caller_request::PartList;
use crate::gateway::caller_request::PromptShape;
use crate::gateway::caller_request::StreamOrigin;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::platform_api::WireProtocol;
use crate::gateway::quota::quota_limiter::QuotaClaim;
use crate::gateway::quota::quota_limiter::QuotaDecision;
use crate::gateway::quota::quota_limiter::QuotaRequest;
use crate::gateway::reply_body::GatewayReply;
use crate::gateway::reply_body::full_body;
use crate::gateway::request_rank::RequestRank;
use crate::gateway::retry_limiter::RetryPurpose;
use crate::gateway::server_attempt::AttemptOutcome;
use crate::gateway::serving_config::KeyCheck;
use crate::gateway::serving_config::RouteRule;
use crate::gateway::serving_config::ServingConfig;
use crate::gateway::serving_config::TeamQuota;
use crate::gateway::serving_config::TeamRule;
use crate::gateway::stream_binding::StreamBinding;
use crate::gateway::stream_binding::bind_request;
use crate::gateway::stream_relay::StreamRelay;
use crate::gateway::waiting::line_driver::WaitTurn;
use crate::gateway::waiting::line_driver::WaitingPlace;
use crate::gateway::waiting::rank_shares::RankDecision;
use crate::gateway::waiting::retry_time::stated_retry_after;
use crate::gateway::waiting::route_times::CallerVisit;
use crate::gateway::waiting::waiting_line::WaitBounds;
use crate::gateway::waiting::waiting_line::WaitCause;
use crate::gateway::waiting::waiting_line::WaitRefusal;
use crate::gateway::waiting::waiting_line::WaitRequest;
use crate::ids::ServerKey;
use crate::ids::ServiceName;
use crate::result_code::ResultCode;
use crate::text_label::TextLabel;
use crate::timestamp::Timestamp;
use crate::work_parts::WorkPart;
use crate::work_parts::WorkParts;

/// Timeout of a request whose caller states none.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Retry delay stated to callers that the quota refuses while its use cannot be predicted.
const QUOTA_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Minimum time between two questions of a waiting request for quota.
const MIN_QUOTA_PAUSE: Duration = Duration::from_millis(10);

/// Retry delay stated to callers while the host has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time without a response to a repeatable request after which it is hedged, as a multiple of the
/// route's latency goal.
const SILENCE_LIMIT_PER_GOAL: u32 = 3;

/// Minimum time without a response after which a repeatable request is hedged.
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(250);

/// A repeatable request is hedged after `1 / TIME_LEFT_DIVISOR` of the time left, so that time
/// remains for the hedged attempt.
const TIME_LEFT_DIVISOR: u32 = 3;

/// A request that asks for its team's quota.
struct QuotaAsk<'a> {
    head: &'a CallerHead,
    route: &'a RouteRule,
    team: &'a TeamRule,
    quota: TeamQuota,
    claim: QuotaClaim,
    visit: CallerVisit,
    arrived_at: Timestamp,
    deadline: Timestamp,
    body_bytes: usize,
}

impl QuotaAsk<'_> {
    /// Returns the units that the request costs.
    fn units(&self) -> u64 {
        match self.team.counts_tokens {
            true => self.head.token_cost(self.team.default_cost),
            false => 1,
        }
    }

    fn rank(&self) -> RequestRank {
        RequestRank::of(Some(self.team), self.route)
    }

    /// Describes the request to those that wait for the quota.
    fn wait_request(&self, state: &GatewayState) -> WaitRequest {
        let goal = self.route.latency_goal;
        let answer_time = state.waiting.times.borrow().expected_answer(&self.route.name, goal);
        WaitRequest {
            cause: WaitCause::Quota(self.team.name.clone()),
            team: Some(self.team.name.clone()),
            rank: self.rank(),
            class: wait_class(self.head, self.visit),
            arrived_at: self.arrived_at,
            bounds: WaitBounds::new(self.arrived_at, self.deadline, goal, answer_time),
            room_in: None,
            bytes: self.body_bytes + REQUEST_BYTES,
        }
    }

    /// Returns the refusal of the request; there will be room after `expected`.
    fn refusal(&self, now: Timestamp, expected: Duration) -> RefusalReason {
        let time_left = self.deadline.since(now);
        let retry_after = stated_retry_after(expected, time_left, &self.head.request_id);
        RefusalReason::with_retry_after(ResultCode::TeamOverShare, retry_after)
    }
}

/// A request waits for quota up to `1 / QUOTA_WAIT_DIVISOR` of its latency goal. With longer waits the
/// requests with long goals took the units that those with short goals cannot wait for.
const QUOTA_WAIT_DIVISOR: u32 = 8;

/// Whether an attempt was sent.
enum StartOutcome {
    /// It was.
    Started,
    /// Its server was removed after it had been selected.
    ServerGone,
}

/// Handles requests of callers.
pub struct RequestRunner<W> {
    state: Rc<GatewayState>,
    wire: Rc<W>,
}

impl<W> Clone for RequestRunner<W> {
    fn clone(&self) -> Self {
        Self { state: self.state.clone(), wire: self.wire.clone() }
    }
}

impl<W: WireProtocol + 'static> RequestRunner<W> {
    /// Builds a runner.
    pub fn new(state: Rc<GatewayState>, wire: Rc<W>) -> Self {
        Self { state, wire }
    }

    /// Handles a request and returns the reply.
    pub async fn run(&self, request: Request<Incoming>) -> GatewayReply {
        let guard = InFlightGuard::new(&self.state);
        let arrived_at = self.state.now();
        let (parts, body) = request.into_parts();
        let head = match self.wire.read_head(&parts) {
            Ok(head) => head,
            Err(error) => {
                let reason = RefusalReason::new(ResultCode::BadValue);
                log::info!(
                    "event=request_refused code={} detail=\"{error}\"",
                    reason.code.number()
                );
                return self.refuse(None, "unknown", arrived_at, reason);
            }
        };
        match self.accept(head, parts, body, arrived_at).await {
            Ok(accepted) => self.run_attempts(Rc::new(accepted), guard).await,
            Err((head, reason)) => self.refuse(Some(&head), "unrouted", arrived_at, reason),
        }
    }

    /// Admits a request: checks its route, key, body, crash fingerprint and its team's quota.
    async fn accept(
        &self,
        head: CallerHead,
        parts: request::Parts,
        body: Incoming,
        arrived_at: Timestamp,
    ) -> Result<AcceptedRequest, (CallerHead, RefusalReason)> {
        let config = self.state.config.borrow().current().cloned();
        let Some(config) = config.filter(|_| self.state.spending_known.get()) else {
            let reason =
                RefusalReason::with_retry_after(ResultCode::NotReady, NOT_READY_RETRY_AFTER);
            return Err((head, reason));
        };
        let (route, team, service) = match check_route(&config, &head, &parts) {
            Ok(checked) => checked,
            Err(reason) => return Err((head, reason)),
        };
        let wait = head.timeout.unwrap_or(DEFAULT_REQUEST_TIMEOUT);
        let deadline = arrived_at + wait.min(route.time_limit);
        if let Some(reason) = self.check_draining(&route, deadline) {
            return Err((head, reason));
        }
        let body = match self.read_body(&config, body).await {
            Ok(body) => body,
            Err(reason) => return Err((head, reason)),
        };
        let caller = team.as_ref().map_or("", |team| team.name.as_str());
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let whole = WorkPart::of_request(&[caller.as_bytes(), path.as_bytes(), &body]);
        let shared = head.prompt.as_ref().map_or(&[][..], PromptShape::shared_parts);
        // Several services may run the same software, or only one of them may crash.
        let prompt = shared.iter().flat_map(|part| {
            let id = part.id.to_be_bytes();
            [WorkPart::of_prompt(service.as_str(), &id), WorkPart::of_any_service(&id)]
        });
        let work = WorkParts::new(whole, prompt);
        if self.meets_verdict(&head, &work) {
            return Err((head, RefusalReason::new(ResultCode::CrashRefused)));
        }
        let team_name = team.as_ref().map(|team| &team.name);
        let binding = match route.kind.is_resumable_stream() {
            true => match bind_request(&self.state, &head, team_name, &service, wait).await {
                Ok(binding) => Some(binding),
                Err(reason) => return Err((head, reason)),
            },
            false => None,
        };
        let bound = binding.as_ref().and_then(StreamBinding::version);
        let is_taken_up = bound.is_some();
        let absent = bound.and_then(|version| refuse_absent(&self.state, &service, &version));
        if let Some(reason) = absent {
            return Err((head, reason));
        }
        // A slow body, or a read of the store, may have taken until late in the grace period.
        if let Some(reason) = self.check_draining(&route, deadline) {
            return Err((head, reason));
        }
        let claim = if is_taken_up { QuotaClaim::TakenUp } else { QuotaClaim::New };
        let visit =
            self.state.waiting.times.borrow_mut().on_stated_time(arrived_at, &route.name, wait);
        if let Some(team) = &team
            && let Some(quota) = team.quota
        {
            let (head, route, body_bytes) = (&head, &route, body.len());
            let ask = QuotaAsk {
                head,
                route,
                team,
                quota,
                claim,
                visit,
                arrived_at,
                deadline,
                body_bytes,
            };
            if let Err(reason) = self.pass_quota(ask).await {
                return Err((head.clone(), reason));
            }
        }
        let config_version = config.version;
        let priority_level = config.priority_level(RequestRank::of(team.as_deref(), &route));
        Ok(AcceptedRequest {
            whole,
            work,
            head,
            parts,
            body,
            route,
            service,
            team,
            arrived_at,
            deadline,
            priority_level,
            config_version,
            binding,
            visit,
            started_at: Cell::new(None),
            end: RequestEnd::new(&self.state),
        })
    }

    /// Returns whether a request has parts that crash servers, and logs why it is refused.
    fn meets_verdict(&self, head: &CallerHead, work: &WorkParts) -> bool {
        let now = self.state.now();
        let mut crashes = self.state.crashes.borrow_mut();
        let Some(record) = crashes.refuse(now, work) else { return false };
        self.state.metrics.events.with_label_values(&["crash_refused"]).inc();
        log::info!(
            "event=crash_refused request={} parts={} verdict={} crashes={} age_ms={}",
            head.request_id,
            PartList(head.prompt.as_ref()),
            record.verdict.parts,
            record.verdict.crashes,
            now.since(record.learned_at).as_millis(),
        );
        true
    }

    /// Refuses requests that a draining host could not finish by their deadline. By then the load
    /// balancer sends new connections to other hosts, if there are any.
    fn check_draining(&self, route: &RouteRule, deadline: Timestamp) -> Option<RefusalReason> {
        let plan = self.state.shutdown.get()?;
        let now = self.state.now();
        let left = plan.time_left(now)?;
        let fits = !route.kind.is_stream() && deadline.since(now) <= left;
        (!fits).then_some(RefusalReason::with_retry_after(
            ResultCode::HostLeaving,
            DRAINING_RETRY_AFTER,
        ))
    }

    async fn read_body(
        &self,
        config: &ServingConfig,
        body: Incoming,
    ) -> Result<Bytes, RefusalReason> {
        let lease = self.state.caller_buffers.lease(config.limits.body_bytes);
        let read = read_body(body, lease, usize::MAX);
        match tokio::time::timeout(config.limits.header_timeout, read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(BodyError::Buffer(BufferError::TooLong { .. }))) => {
                Err(RefusalReason::new(ResultCode::BodyTooLarge))
            }
            Ok(Err(error @ BodyError::Buffer(BufferError::Exhausted { .. }))) => {
                self.state.metrics.events.with_label_values(&["body_refused"]).inc();
                log::info!("event=body_refused detail=\"{error}\"");
                Err(RefusalReason::with_retry_after(ResultCode::QueueFull, QUEUE_FULL_RETRY_AFTER))
            }
            Ok(Err(error)) => {
                log::info!("event=body_broken detail=\"{error}\"");
                Err(RefusalReason::new(ResultCode::BadValue))
            }
            Err(_) => Err(RefusalReason::new(ResultCode::CallerTooSlow)),
        }
    }

    /// Admits a request to its team's quota; it may wait until units are free again.
    async fn pass_quota(&self, ask: QuotaAsk<'_>) -> Result<(), RefusalReason> {
        let mut request = ask.wait_request(&self.state);
        let bounds = request.bounds;
        let mut has_asked = false;
        let mut expected = None;
        if !self.state.waiting.must_wait(&request) {
            let QuotaDecision::Exceeded { retry_after, .. } = self.check_quota(&ask, has_asked)
            else {
                return Ok(());
            };
            let now = self.state.now();
            // What a refused stream needs is kept for its return.
            let is_short = retry_after <= ask.route.latency_goal / QUOTA_WAIT_DIVISOR;
            if ask.claim == QuotaClaim::TakenUp || !is_short || !bounds.allows(now, retry_after) {
                return Err(ask.refusal(now, retry_after));
            }
            (has_asked, expected) = (true, Some(retry_after));
            request.room_in = expected;
        }
        let cause = request.cause.clone();
        let refuse = |expected: Option<Duration>| {
            let now = self.state.now();
            let expected = expected.or(self.state.waiting.time_until_room(now, &cause));
            ask.refusal(now, expected.unwrap_or(QUOTA_RETRY_AFTER))
        };
        let mut place = match WaitingPlace::enter(&self.state, request) {
            Ok(place) => place,
            Err(_) => return Err(refuse(expected)),
        };
        loop {
            let now = self.state.now();
            let retry_at = expected.map(|time| now + time.max(MIN_QUOTA_PAUSE));
            let turn = place.next_turn(retry_at).await;
            if let WaitTurn::Refused(reason) = turn {
                place.refuse(reason);
                return Err(match reason {
                    WaitRefusal::Closed => RefusalReason::with_retry_after(
                        ResultCode::HostLeaving,
                        DRAINING_RETRY_AFTER,
                    ),
                    _ => refuse(None),
                });
            }
            let QuotaDecision::Exceeded { retry_after, .. } = self.check_quota(&ask, has_asked)
            else {
                self.log_wait("quota", &ask.head.request_id, &place);
                place.start();
                return Ok(());
            };
            (has_asked, expected) = (true, Some(retry_after));
            if turn == WaitTurn::FinalTry || !bounds.allows(self.state.now(), retry_after) {
                place.refuse(WaitRefusal::Expired);
                return Err(refuse(expected));
            }
            place.on_tried(false);
        }
    }

    fn log_wait(&self, cause: &str, request_id: &str, place: &WaitingPlace) {
        log::info!(
            "event=wait_ended request={request_id} cause={cause} waited_ms={}",
            place.waited().as_millis()
        );
    }

    /// Asks for a request's units.
    fn check_quota(&self, ask: &QuotaAsk<'_>, has_asked: bool) -> QuotaDecision {
        let (team, units, claim) = (ask.team, ask.units(), ask.claim);
        let now = self.state.now();
        let quota = self.current_quota(ask);
        let request = QuotaRequest { units, claim, rank: ask.rank(), has_asked };
        let reachability = self.state.peers.borrow().reachability(now);
        self.state.update_peer_spending();
        let decision =
            self.state.quotas.borrow_mut().admit(now, &team.name, quota, request, reachability);
        if self.state.quotas.borrow().must_publish() {
            self.state.summary_hint.notify_one();
        }
        if self.state.quotas.borrow().must_record() {
            self.state.record_hint.notify_one();
        }
        match decision {
            QuotaDecision::Admitted => self.state.waiting.on_quota_admitted(now, &team.name),
            QuotaDecision::Exceeded { .. } if has_asked => {}
            QuotaDecision::Exceeded { retry_after, usage } => {
                log::info!(
                    "event=quota_exceeded request={} team={} units={units} rank={} \
                     peers={reachability:?} spent={:.0} spent_by_peers={:.0} share={:.0} \
                     quota={:.0} retry_after_ms={}",
                    ask.head.request_id,
                    team.name,
                    ask.route.priority,
                    usage.own,
                    usage.peers,
                    usage.share,
                    usage.total,
                    retry_after.as_millis(),
                );
            }
        }
        decision
    }

    /// Returns the quota in force, which may have changed while the request waited.
    fn current_quota(&self, ask: &QuotaAsk<'_>) -> TeamQuota {
        let config = self.state.config.borrow();
        let rule = config.current().and_then(|config| config.teams.get(&ask.team.name));
        rule.and_then(|rule| rule.quota).unwrap_or(ask.quota)
    }

    /// Makes attempts until one succeeds or the request is given up on.
    async fn run_attempts(
        &self,
        request: Rc<AcceptedRequest>,
        guard: InFlightGuard,
    ) -> GatewayReply {
        let deadline = request.deadline;
        let kind = request.route.kind;
        let mut plan = AttemptPlan::new(kind, deadline, request.route.max_servers);
        self.state.retries.borrow_mut().on_request(request.arrived_at, &request.service);
        self.state.levels.borrow_mut().on_request(request.arrived_at, &request.service);
        self.state.rollouts.borrow_mut().on_request(request.arrived_at, &request.service);
        let decision = request.admit_rank(&self.state);
        let mut error_response: Option<Response<Bytes>> = None;
        let mut race = AttemptRace::new(self.state.clone(), self.wire.clone(), request.clone());
        let resume_after = request.head.resume_after;
        loop {
            let now = self.state.now();
            if now >= deadline {
                let give_up = plan.on_timeout(!race.is_empty());
                return self.relay_or_end(&request, &plan, give_up, error_response);
            }
            if race.is_empty() {
                match self.find_server(&request, &mut plan, &mut race, decision).await {
                    Ok(StartOutcome::Started) => {}
                    Ok(StartOutcome::ServerGone) => continue,
                    Err(reason) if plan.sent() == 0 => {
                        return self.refuse_accepted(&request, reason);
                    }
                    Err(_) => {
                        return self.relay_or_end(&request, &plan, plan.give_up(), error_response);
                    }
                }
            }
            let now = self.state.now();
            let (key, outcome) = match race.next(self.silence_limit(now, &request, deadline)).await
            {
                RaceEvent::Ended(key, outcome) => (key, outcome),
                RaceEvent::Silent => {
                    race.hedge(&mut plan, None, resume_after);
                    continue;
                }
                RaceEvent::Moved(given_up) => {
                    given_up.into_iter().for_each(|key| plan.on_moved(key));
                    continue;
                }
                RaceEvent::TrialEnded => {
                    plan.on_trial_ended();
                    continue;
                }
            };
            let failure = match outcome {
                AttemptOutcome::Buffered(response) => return self.deliver(&request, key, response),
                AttemptOutcome::Stream(stream) => {
                    let state = self.state.clone();
                    let relay =
                        StreamRelay::start(state, race, request.clone(), plan, *stream, guard);
                    return relay.await.unwrap_or_else(|code| {
                        self.error_reply(Some(&request.head), RefusalReason::new(code))
                    });
                }
                AttemptOutcome::TimedOut => {
                    let give_up = plan.on_timeout(true);
                    return self.relay_or_end(&request, &plan, give_up, error_response);
                }
                AttemptOutcome::Failed(failure, response) => {
                    error_response = response.or(error_response);
                    failure
                }
            };
            let give_up = match plan.on_failure(self.state.now(), key, failure) {
                AttemptStep::AwaitOther => {
                    if failure.is_not_run() && race.is_silent() {
                        race.hedge(&mut plan, None, resume_after);
                    }
                    continue;
                }
                AttemptStep::TryAnother { is_retry } if self.may_retry(&request, is_retry) => {
                    continue;
                }
                AttemptStep::Return if race.start_return(&mut plan, resume_after) => continue,
                AttemptStep::TryAnother { .. }
                | AttemptStep::Return
                | AttemptStep::RelayFailure => plan.give_up(),
                AttemptStep::End(give_up) => give_up,
            };
            return self.relay_or_end(&request, &plan, give_up, error_response);
        }
    }

    /// Sends an attempt to a server. A request that has not run may wait until one has room.
    async fn find_server(
        &self,
        request: &AcceptedRequest,
        plan: &mut AttemptPlan,
        race: &mut AttemptRace<W>,
        decision: RankDecision,
    ) -> Result<StartOutcome, RefusalReason> {
        let is_behind = plan.tried().is_empty()
            && !self.state.waiting.is_idle()
            && self.state.waiting.must_wait(&request.wait_request(&self.state));
        if is_behind && decision == RankDecision::Deferred {
            return Err(request.defer_refusal(&self.state));
        }
        let reason = match is_behind {
            true => RefusalReason::until_room(ResultCode::QueueFull, QUEUE_FULL_RETRY_AFTER),
            false => match self.start_attempt(request, decision, plan, race) {
                Err(reason) if plan.sent() == 0 && request.may_wait(reason) => reason,
                started => return started,
            },
        };
        let wait = request.wait_after(&self.state, reason);
        let mut place = match WaitingPlace::enter(&self.state, wait) {
            Ok(place) => place,
            Err(refusal) => {
                // No request is refused while there is room, even if others are in front of it.
                if is_behind && let Ok(started) = self.start_attempt(request, decision, plan, race)
                {
                    return Ok(started);
                }
                return Err(request.wait_refusal(&self.state, refusal, reason));
            }
        };
        if is_behind {
            // Those in front may find the room that this request would have found.
            self.state.waiting.on_room(&request.service);
        }
        loop {
            let turn = place.next_turn(None).await;
            let refusal = match turn {
                WaitTurn::Refused(refusal) => refusal,
                WaitTurn::Try | WaitTurn::FinalTry => {
                    match self.start_attempt(request, decision, plan, race) {
                        Ok(outcome) => {
                            self.log_wait("server", &request.head.request_id, &place);
                            place.start();
                            return Ok(outcome);
                        }
                        Err(latest) if !request.may_wait(latest) => {
                            place.refuse(WaitRefusal::Expired);
                            return Err(latest);
                        }
                        Err(_) if turn == WaitTurn::Try => {
                            place.on_tried(request.is_confined() || !plan.tried().is_empty());
                            continue;
                        }
                        Err(_) => WaitRefusal::Expired,
                    }
                }
            };
            place.refuse(refusal);
            return Err(request.wait_refusal(&self.state, refusal, reason));
        }
    }

    /// Selects a server and sends it an attempt. A request whose rank gives way is sent only to a server
    /// with spare room.
    fn start_attempt(
        &self,
        request: &AcceptedRequest,
        decision: RankDecision,
        plan: &mut AttemptPlan,
        race: &mut AttemptRace<W>,
    ) -> Result<StartOutcome, RefusalReason> {
        let now = self.state.now();
        let placed = place_by_rank(&self.state, now, request, decision, plan.tried())?;
        if race.start(placed, plan.deadline(), request.head.resume_after) {
            return Ok(StartOutcome::Started);
        }
        plan.on_failure(now, placed.key, AttemptFailure::Unsent);
        Ok(StartOutcome::ServerGone)
    }

    /// Returns the time after which another server is tried beside a silent attempt; `None` for work
    /// that is not repeatable or may use one server only.
    fn silence_limit(
        &self,
        now: Timestamp,
        request: &AcceptedRequest,
        deadline: Timestamp,
    ) -> Option<Duration> {
        if !request.route.kind.is_repeatable() || request.route.max_servers < 2 {
            return None;
        }
        let goal = request.route.latency_goal;
        // At least the latency goal: a server that may still respond in time is not hedged.
        let by_time_left = (deadline.since(now) / TIME_LEFT_DIVISOR).max(goal);
        Some((goal * SILENCE_LIMIT_PER_GOAL).max(MIN_SILENCE_LIMIT).min(by_time_left))
    }

    fn may_retry(&self, request: &AcceptedRequest, is_retry: bool) -> bool {
        let now = self.state.now();
        (!is_retry || self.state.try_retry(now, &request.service, RetryPurpose::Failure))
            && !self.state.crashes.borrow().is_refused(&request.work)
    }

    /// Relays the server's own error response if there is one, or else ends the request.
    fn relay_or_end(
        &self,
        request: &AcceptedRequest,
        plan: &AttemptPlan,
        give_up: GiveUpReason,
        error_response: Option<Response<Bytes>>,
    ) -> GatewayReply {
        match error_response {
            Some(response) => {
                let status = response.status().as_u16();
                log_request_end(
                    &self.state,
                    request,
                    ResultCode::Complete,
                    &format!("status={status}"),
                );
                response.map(full_body)
            }
            None => self.end(request, plan, give_up),
        }
    }

    fn deliver(
        &self,
        request: &AcceptedRequest,
        key: ServerKey,
        response: Response<Bytes>,
    ) -> GatewayReply {
        let directory = self.state.directory.borrow();
        let server = directory.get(key).map_or("gone", |server| server.entry.id.as_str());
        let detail = format!("server={server} status={}", response.status().as_u16());
        let elapsed = self.state.now().since(request.arrived_at).as_secs_f64();
        let kind = [request_kind_label(request.route.kind)];
        self.state.metrics.first_byte_latency.with_label_values(&kind).observe(elapsed);
        request.on_answer_begun(&self.state);
        log_request_end(&self.state, request, ResultCode::Complete, &detail);
        response.map(full_body)
    }

    fn end(
        &self,
        request: &AcceptedRequest,
        plan: &AttemptPlan,
        give_up: GiveUpReason,
    ) -> GatewayReply {
        let reason = match give_up {
            GiveUpReason::NotRun if self.meets_verdict(&request.head, &request.work) => {
                refund_quota(&self.state, request);
                RefusalReason::new(ResultCode::CrashRefused)
            }
            GiveUpReason::NotRun => {
                refund_quota(&self.state, request);
                RefusalReason::with_retry_after(
                    ResultCode::RetriesExhausted,
                    QUEUE_FULL_RETRY_AFTER,
                )
            }
            GiveUpReason::Unknown if plan.sent() > 1 => {
                RefusalReason::new(ResultCode::AttemptsLost)
            }
            GiveUpReason::Unknown => RefusalReason::new(ResultCode::ServerLost),
            GiveUpReason::TimedOut => RefusalReason::new(ResultCode::DeadlinePassed),
        };
        self.refuse_with_log(request, reason, &format!("attempts={}", plan.sent()))
    }

    fn refuse_accepted(&self, request: &AcceptedRequest, reason: RefusalReason) -> GatewayReply {
        if matches!(
            reason.code,
            ResultCode::QueueFull | ResultCode::GoalOutOfReach | ResultCode::WaitExpired
        ) {
            request.on_goal_missed(&self.state);
        }
        refund_quota(&self.state, request);
        self.refuse_with_log(request, reason, "attempts=0")
    }

    fn refuse_with_log(
        &self,
        request: &AcceptedRequest,
        reason: RefusalReason,
        detail: &str,
    ) -> GatewayReply {
        log_request_end(&self.state, request, reason.code, detail);
        self.error_reply(Some(&request.head), reason)
    }

    /// Builds the reply to a request that was refused before it was accepted.
    fn refuse(
        &self,
        head: Option<&CallerHead>,
        kind: &str,
        arrived_at: Timestamp,
        reason: RefusalReason,
    ) -> GatewayReply {
        let code = reason.code.number();
        self.state.metrics.requests.with_label_values(&[kind, &code.to_string()]).inc();
        if let Some(head) = head {
            log::info!(
                "event=request_ended request={} host={} code={code} elapsed_ms={} config={} \
                 origin={} after={}",
                head.request_id,
                head.host,
                self.state.now().since(arrived_at).as_millis(),
                self.state.config.borrow().current().map_or(0, |config| config.version),
                head.origin,
                EventNumber(head.resume_after),
            );
        }
        self.error_reply(head, reason)
    }

    /// Builds the reply to a request whose handling panicked.
    pub fn panic_reply(&self) -> GatewayReply {
        self.error_reply(None, RefusalReason::new(ResultCode::Internal))
    }

    fn error_reply(&self, head: Option<&CallerHead>, reason: RefusalReason) -> GatewayReply {
        let request_id = head.map(|head| head.request_id.as_str());
        let (status, headers) =
            self.wire.gateway_response(request_id, reason.code, reason.retry_after);
        let body = format!("{{\"error\":{{\"code\":{}}}}}\n", reason.code.number());
        let mut reply = Response::new(full_body(Bytes::from(body)));
        *reply.status_mut() = status;
        *reply.headers_mut() = headers;
        reply
    }
}

type CheckedRoute = (Rc<RouteRule>, Option<Rc<TeamRule>>, ServiceName);

/// Resolves the route, team and service of a request. A hash of the request ID selects the service.
fn check_route(
    config: &ServingConfig,
    head: &CallerHead,
    parts: &request::Parts,
) -> Result<CheckedRoute, RefusalReason> {
    let route = config
        .route(&head.host, parts.uri.path())
        .ok_or(RefusalReason::new(ResultCode::UnknownRoute))?;
    let team = match config.check_key(route, head.key.as_deref()) {
        KeyCheck::Team(team) => Some(team),
        KeyCheck::Anonymous => None,
        KeyCheck::Unknown => return Err(RefusalReason::new(ResultCode::Unauthorized)),
    };
    // A stream that is taken up goes where its first attempt went.
    let hash = match &head.origin {
        StreamOrigin::Named(origin) => blake3::hash(origin.as_str().as_bytes()),
        StreamOrigin::Unnamed | StreamOrigin::Ambiguous => {
            blake3::hash(TextLabel::of(head.request_id.as_bytes()).as_str().as_bytes())
        }
    };
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    let service = route
        .service_for(u64::from_le_bytes(first))
        .ok_or(RefusalReason::with_retry_after(ResultCode::NoServer, NO_SERVER_RETRY_AFTER))?;
    Ok((route.clone(), team, service.clone()))
}
