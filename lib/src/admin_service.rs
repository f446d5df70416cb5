//! Calls of the administration API on one entry host.
//!
//! Every entry host can serve every call. Calls that publish a change block on the log, so they run
//! on the runtime's blocking threads.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio_stream::Stream;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::admin_access::OperatorAccess;
use crate::admin_access::OperatorRole;
use crate::admin_changes::build_change;
use crate::admin_changes::change_id_or_random;
use crate::admin_changes::parse_change_id;
use crate::admin_changes::parse_configuration;
use crate::admin_changes::parse_host;
use crate::admin_changes::parse_key;
use crate::admin_changes::parse_resource;
use crate::admin_changes::resource_kind;
use crate::admin_changes::resource_message;
use crate::admin_sources::AdminSources;
use crate::admin_status::change_reply;
use crate::admin_status::error_status;
use crate::admin_status::outcome_reply;
use crate::config_diff::diff_states;
use crate::config_fold::ChangeOutcome;
use crate::config_fold::KnownChange;
use crate::config_follower::ConfigFollower;
use crate::config_publish::PublishOutcome;
use crate::config_record::ChangeAuthor;
use crate::config_record::ResourceBody;
use crate::config_record::ResourceOperation;
use crate::config_snapshot::ConfigSnapshot;
use crate::ids::RequestId;
use crate::protos::admin as api;
use crate::protos::admin::admin_server::Admin;
use crate::resource_key::ResourceKind;
use crate::result_code::ResultCode;

/// Maximum concurrent revision watches.
pub const MAX_WATCHERS: usize = 64;

/// Interval at which a watch checks whether its caller has disconnected.
const WATCH_POLL_INTERVAL: Duration = Duration::from_secs(1);

type Reply<T> = Result<Response<T>, Status>;

/// Serves the calls of the administration API.
pub struct AdminService {
    follower: Arc<ConfigFollower>,
    access: OperatorAccess,
    sources: AdminSources,
    watchers: Arc<Semaphore>,
}

impl AdminService {
    /// Builds the service.
    pub fn new(
        follower: Arc<ConfigFollower>,
        access: OperatorAccess,
        sources: AdminSources,
    ) -> Self {
        let watchers = Arc::new(Semaphore::new(MAX_WATCHERS));
        Self { follower, access, sources, watchers }
    }

    /// Checks the caller's token and returns the author and the message.
    fn authorize<T>(
        &self,
        request: Request<T>,
        needed: OperatorRole,
    ) -> Result<(ChangeAuthor, T), Status> {
        let author = self.access.authorize(request.metadata(), needed)?;
        Ok((author, request.into_inner()))
    }

    /// Publishes a change with one operation and waits for its outcome.
    async fn publish(
        &self,
        author: ChangeAuthor,
        header: api::ChangeHeader,
        operation: ResourceOperation,
    ) -> Reply<api::ChangeReply> {
        let is_first = header.first_attempt || header.change_id.is_empty();
        let change = build_change(author, &header, operation)?;
        let id = change.id;
        let operator = change.author.operator.clone();
        let token = change.author.token_id.clone();
        let follower = Arc::clone(&self.follower);
        let publish = move || match is_first {
            true => follower.publish(&change),
            false => follower.retry_publish(&change),
        };
        let outcome = tokio::task::spawn_blocking(publish).await.unwrap_or_else(|error| {
            log::error!("publishing task failed change={id} reason=\"{error}\"");
            PublishOutcome::Pending
        });
        log::info!("admin write change={id} operator={operator} token={token} outcome={outcome:?}");
        outcome_reply(id, outcome).map(Response::new)
    }

    async fn write_resource(
        &self,
        request: Request<api::WriteResourceRequest>,
        operation: fn(ResourceBody) -> ResourceOperation,
    ) -> Reply<api::ChangeReply> {
        let (author, message) = self.authorize(request, OperatorRole::Write)?;
        let body = parse_resource(message.resource)?;
        self.publish(author, message.header.unwrap_or_default(), operation(body)).await
    }

    async fn write_drain(
        &self,
        request: Request<api::DrainHostRequest>,
        drain: bool,
    ) -> Reply<api::ChangeReply> {
        let (author, message) = self.authorize(request, OperatorRole::Write)?;
        let host = parse_host(&message.host)?;
        let mut header = message.header.unwrap_or_default();
        let snapshot = self.follower.current();
        header.base_revision = header.base_revision.or(snapshot.revision.map(|offset| offset.0));
        if snapshot.state.drained.contains(&host) == drain
            && let Some(reply) = self.unchanged(&header, &snapshot)?
        {
            return Ok(Response::new(reply));
        }
        let operation = match drain {
            true => ResourceOperation::Drain(host),
            false => ResourceOperation::Undrain(host),
        };
        self.publish(author, header, operation).await
    }

    /// Returns the reply for a change that would have no effect, or `None` if the change id is
    /// known: that change has its own outcome.
    fn unchanged(
        &self,
        header: &api::ChangeHeader,
        snapshot: &ConfigSnapshot,
    ) -> Result<Option<api::ChangeReply>, Status> {
        let id = change_id_or_random(header)?;
        let is_known = self.follower.known_change(id).is_some();
        let reply = change_reply(id, api::ChangeResult::Unchanged, snapshot.revision);
        Ok((!is_known).then_some(reply))
    }
}

fn revision_message(snapshot: &ConfigSnapshot) -> api::Revision {
    api::Revision {
        revision: snapshot.revision.map(|offset| offset.0),
        digest: blake3::Hash::from_bytes(snapshot.digest.0).to_hex().to_string(),
    }
}

fn history_entry(change: KnownChange) -> api::HistoryEntry {
    let detail = change.detail.unwrap_or_default();
    let (code, path, message) = match change.outcome {
        ChangeOutcome::Accepted => (ResultCode::Complete, String::new(), String::new()),
        ChangeOutcome::Conflict(_) => (ResultCode::ConfigConflict, String::new(), String::new()),
        ChangeOutcome::Rejected(error) => (error.code, error.path, error.message),
    };
    api::HistoryEntry {
        offset: change.offset.0,
        change_id: change.id.to_string(),
        operator: detail.author.operator,
        token_id: detail.author.token_id,
        wall_ms: detail.wall_ms,
        result_code: u32::from(code.number()),
        path,
        message,
        summary: detail.summary,
    }
}

/// Sends the current revision, then each later one, until the caller disconnects or the follower
/// stops.
fn watch_revisions(
    follower: &ConfigFollower,
    sender: &mpsc::Sender<Result<api::Revision, Status>>,
) {
    let mut snapshot = follower.current();
    while sender.blocking_send(Ok(revision_message(&snapshot))).is_ok() {
        let sent = snapshot.revision;
        while snapshot.revision == sent {
            if sender.is_closed() || !follower.is_running() {
                return;
            }
            snapshot = follower.wait_for_change(sent, WATCH_POLL_INTERVAL);
        }
    }
}

#[tonic::async_trait]
impl Admin for AdminService {
    type WatchRevisionsStream =
        Pin<Box<dyn Stream<Item = Result<api::Revision, Status>> + Send + 'static>>;

    async fn create_resource(
        &self,
        request: Request<api::WriteResourceRequest>,
    ) -> Reply<api::ChangeReply> {
        self.write_resource(request, ResourceOperation::Create).await
    }

    async fn change_resource(
        &self,
        request: Request<api::WriteResourceRequest>,
    ) -> Reply<api::ChangeReply> {
        self.write_resource(request, ResourceOperation::Change).await
    }

    async fn delete_resource(
        &self,
        request: Request<api::DeleteResourceRequest>,
    ) -> Reply<api::ChangeReply> {
        let (author, message) = self.authorize(request, OperatorRole::Write)?;
        let key = parse_key(message.kind(), &message.name)?;
        let operation = ResourceOperation::Delete(key);
        self.publish(author, message.header.unwrap_or_default(), operation).await
    }

    async fn get_resource(
        &self,
        request: Request<api::GetResourceRequest>,
    ) -> Reply<api::GetResourceReply> {
        let (_, message) = self.authorize(request, OperatorRole::Read)?;
        let key = parse_key(message.kind(), &message.name)?;
        let snapshot = self.follower.current();
        let resource = resource_message(&snapshot.state, &key).ok_or_else(|| {
            error_status(ResultCode::ResourceUnknown, "name", format!("no {key}"))
        })?;
        let revision = snapshot.revision.map(|offset| offset.0);
        Ok(Response::new(api::GetResourceReply { resource: Some(resource), revision }))
    }

    async fn list_resources(
        &self,
        request: Request<api::ListResourcesRequest>,
    ) -> Reply<api::ListResourcesReply> {
        let (_, message) = self.authorize(request, OperatorRole::Read)?;
        let snapshot = self.follower.current();
        let mut configuration = api::ConfigurationSpec::from(&*snapshot.state);
        if let Some(kind) = resource_kind(message.kind()) {
            let whole = std::mem::take(&mut configuration);
            match kind {
                ResourceKind::Service => configuration.services = whole.services,
                ResourceKind::Team => configuration.teams = whole.teams,
                ResourceKind::Class => configuration.classes = whole.classes,
                ResourceKind::Policy => configuration.policy = whole.policy,
            }
        }
        Ok(Response::new(api::ListResourcesReply {
            configuration: Some(configuration),
            revision: snapshot.revision.map(|offset| offset.0),
            drained: snapshot.state.drained.iter().map(ToString::to_string).collect(),
        }))
    }

    async fn watch_revisions(
        &self,
        request: Request<api::WatchRevisionsRequest>,
    ) -> Reply<Self::WatchRevisionsStream> {
        self.authorize(request, OperatorRole::Read)?;
        let permit = Arc::clone(&self.watchers).try_acquire_owned().map_err(|_| {
            error_status(ResultCode::QueueFull, "", format!("{MAX_WATCHERS} callers watch already"))
        })?;
        let (sender, receiver) = mpsc::channel(1);
        let follower = Arc::clone(&self.follower);
        tokio::task::spawn_blocking(move || {
            watch_revisions(&follower, &sender);
            drop(permit);
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn publish_configuration(
        &self,
        request: Request<api::PublishConfigurationRequest>,
    ) -> Reply<api::ChangeReply> {
        let (author, message) = self.authorize(request, OperatorRole::Write)?;
        let state = parse_configuration(message.configuration)?;
        let header = message.header.unwrap_or_default();
        if message.restore {
            let operation = ResourceOperation::Restore(state.to_json());
            return self.publish(author, header, operation).await;
        }
        let snapshot = self.follower.current();
        if snapshot.revision.is_some()
            && diff_states(&snapshot.state, &state).is_empty()
            && let Some(reply) = self.unchanged(&header, &snapshot)?
        {
            return Ok(Response::new(reply));
        }
        self.publish(author, header, ResourceOperation::PutWhole(state.to_json())).await
    }

    async fn dry_run(&self, request: Request<api::DryRunRequest>) -> Reply<api::DryRunReply> {
        let (_, message) = self.authorize(request, OperatorRole::Read)?;
        let state = parse_configuration(message.configuration)?;
        let snapshot = self.follower.current();
        Ok(Response::new(api::DryRunReply {
            revision: snapshot.revision.map(|offset| offset.0),
            diffs: diff_states(&snapshot.state, &state),
        }))
    }

    async fn get_change(&self, request: Request<api::GetChangeRequest>) -> Reply<api::ChangeReply> {
        let (_, message) = self.authorize(request, OperatorRole::Read)?;
        let id = parse_change_id("change_id", &message.change_id)?;
        let outcome = match self.follower.known_change(id) {
            Some(known) => PublishOutcome::of(known.offset, known.outcome),
            None => PublishOutcome::Pending,
        };
        outcome_reply(id, outcome).map(Response::new)
    }

    async fn list_history(
        &self,
        request: Request<api::ListHistoryRequest>,
    ) -> Reply<api::ListHistoryReply> {
        let (_, message) = self.authorize(request, OperatorRole::Read)?;
        let limit = match usize::try_from(message.limit) {
            Ok(0) | Err(_) => usize::MAX,
            Ok(limit) => limit,
        };
        let entries = self.follower.history(limit).into_iter().map(history_entry).collect();
        Ok(Response::new(api::ListHistoryReply { entries }))
    }

    async fn drain_host(&self, request: Request<api::DrainHostRequest>) -> Reply<api::ChangeReply> {
        self.write_drain(request, true).await
    }

    async fn undrain_host(
        &self,
        request: Request<api::DrainHostRequest>,
    ) -> Reply<api::ChangeReply> {
        self.write_drain(request, false).await
    }

    async fn get_fleet_state(
        &self,
        request: Request<api::GetFleetStateRequest>,
    ) -> Reply<api::FleetState> {
        self.authorize(request, OperatorRole::Read)?;
        let drained = &self.follower.current().state.drained;
        let is_drained = |id: &str| drained.iter().any(|host| host.as_str() == id);
        let mut members = (self.sources.fleet)();
        for member in &mut members {
            member.drained = is_drained(&member.host) || is_drained(&member.id);
        }
        Ok(Response::new(api::FleetState { members }))
    }

    async fn lookup_request(
        &self,
        request: Request<api::LookupRequestRequest>,
    ) -> Reply<api::RequestState> {
        let (_, message) = self.authorize(request, OperatorRole::Read)?;
        let id = RequestId::try_from(message.request_id.as_str())
            .map_err(|error| error_status(ResultCode::BadValue, "request_id", error.to_string()))?;
        let found = (self.sources.requests)(id);
        let unknown =
            || error_status(ResultCode::UnknownRequest, "request_id", format!("no request {id}"));
        found.map(Response::new).ok_or_else(unknown)
    }

    async fn get_burn_report(
        &self,
        request: Request<api::GetBurnReportRequest>,
    ) -> Reply<api::BurnReport> {
        let (_, message) = self.authorize(request, OperatorRole::Read)?;
        let wanted = |service: &str| message.service.is_empty() || message.service == service;
        let windows =
            (self.sources.burn)().into_iter().filter(|window| wanted(&window.service)).collect();
        Ok(Response::new(api::BurnReport { windows }))
    }
}
