//! Tests the administration API over gRPC: authorization, changes, reads, watches and errors.

use pomelostack_lib::admin_service::MAX_WATCHERS;
use pomelostack_lib::admin_status::read_status;
use pomelostack_lib::config_snapshot::FollowerOptions;
use pomelostack_lib::log_service::LogStream;
use pomelostack_lib::protos::admin as api;
use pomelostack_lib::protos::admin::ChangeResult;
use pomelostack_lib::protos::admin::admin_client::AdminClient;
use pomelostack_lib::protos::admin::resource::Spec;
use pomelostack_lib::resource_error::FieldPath;
use pomelostack_lib::resource_json::parse_json;
use pomelostack_lib::result_code::ResultCode;
use rstest::rstest;
use std::time::Duration;
use testutils::admin_fixture::AdminFixture;
use testutils::admin_fixture::KNOWN_REQUEST;
use testutils::admin_fixture::READ_TOKEN;
use testutils::admin_fixture::WRITE_TOKEN;
use testutils::config_samples::document_json;
use testutils::config_samples::follower_options;
use testutils::config_samples::service_json;
use testutils::config_samples::team_json;
use testutils::log_fake::LogOutage;
use tonic::Code;
use tonic::Request;
use tonic::Status;
use tonic::transport::Channel;

const CHANGE_ID: &str = "000102030405060708090a0b0c0d0e0f";

/// Blocking client that sends a token.
struct TestCaller<'a> {
    fixture: &'a AdminFixture,
    client: AdminClient<Channel>,
    token: &'static str,
}

/// Makes a call and blocks until its reply.
macro_rules! call {
    ($caller:expr, $method:ident, $message:expr) => {{
        let request = $caller.request($message);
        let fixture = $caller.fixture;
        let reply = fixture.runtime.block_on($caller.client.$method(request));
        reply.map(tonic::Response::into_inner)
    }};
}

impl<'a> TestCaller<'a> {
    fn connect(fixture: &'a AdminFixture, token: &'static str) -> Self {
        let url = format!("http://{}", fixture.address());
        let client = fixture.runtime.block_on(AdminClient::connect(url)).expect("connects");
        Self { fixture, client, token }
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if !self.token.is_empty() {
            let value = format!("Bearer {}", self.token).parse().expect("ASCII");
            request.metadata_mut().insert("authorization", value);
        }
        request
    }

    fn create(&mut self, name: &str, base: Option<u64>) -> Result<api::ChangeReply, Status> {
        call!(self, create_resource, write_service(name, 200, base))
    }
}

fn header(base_revision: Option<u64>) -> Option<api::ChangeHeader> {
    Some(api::ChangeHeader { base_revision, ..Default::default() })
}

fn write_service(name: &str, millis: u64, base: Option<u64>) -> api::WriteResourceRequest {
    let spec = parse_json(&FieldPath::root(), &service_json(name, millis)).expect("valid");
    let resource = Some(api::Resource { spec: Some(Spec::Service(spec)) });
    api::WriteResourceRequest { resource, header: header(base) }
}

fn configuration(services: &[String], teams: &[String]) -> Option<api::ConfigurationSpec> {
    let document = document_json(services, teams);
    Some(parse_json(&FieldPath::root(), &document).expect("valid"))
}

fn assert_rejected<T: std::fmt::Debug>(
    reply: Result<T, Status>,
    grpc: Code,
    code: ResultCode,
    path: Option<&str>,
) {
    let status = reply.expect_err("the call is rejected");
    assert_eq!((status.code(), read_status(&status)), (grpc, (Some(code), path)));
}

#[test]
fn resource_lifecycle() {
    let fixture = AdminFixture::start();
    let mut caller = TestCaller::connect(&fixture, WRITE_TOKEN);
    let created = caller.create("lookup", None).unwrap();
    assert_eq!((created.result(), created.revision), (ChangeResult::Accepted, Some(0)));
    let changed = call!(caller, change_resource, write_service("lookup", 300, Some(0))).unwrap();
    assert_eq!(changed.revision, Some(1));
    let get = api::GetResourceRequest { kind: api::Kind::Service.into(), name: "lookup".into() };
    let found = call!(caller, get_resource, get.clone()).unwrap();
    let Some(Spec::Service(spec)) = found.resource.unwrap().spec else { panic!("no service") };
    assert_eq!(spec.latency_target.unwrap().first_token_ms, 300);
    let delete = api::DeleteResourceRequest {
        kind: api::Kind::Service.into(),
        name: "lookup".into(),
        header: header(Some(1)),
    };
    call!(caller, delete_resource, delete).unwrap();
    let gone = call!(caller, get_resource, get);
    assert_rejected(gone, Code::NotFound, ResultCode::ResourceUnknown, Some("name"));
}

#[rstest]
#[case::missing("", Code::Unauthenticated, ResultCode::OperatorUnauthorized)]
#[case::wrong("other", Code::Unauthenticated, ResultCode::OperatorUnauthorized)]
#[case::reader(READ_TOKEN, Code::PermissionDenied, ResultCode::OperatorForbidden)]
fn unauthorized_token(#[case] token: &'static str, #[case] grpc: Code, #[case] code: ResultCode) {
    let fixture = AdminFixture::start();
    let mut caller = TestCaller::connect(&fixture, token);
    assert_rejected(caller.create("lookup", None), grpc, code, None);
    let drain = api::DrainHostRequest { host: "h".into(), header: None };
    assert_rejected(call!(caller, drain_host, drain), grpc, code, None);
    assert!(fixture.log.records(LogStream::Config).is_empty());
    let list = call!(caller, list_resources, api::ListResourcesRequest::default());
    assert_eq!(list.is_ok(), token == READ_TOKEN);
}

#[test]
fn rejected_writes() {
    let fixture = AdminFixture::start();
    let mut caller = TestCaller::connect(&fixture, WRITE_TOKEN);
    caller.create("lookup", None).unwrap();
    let again = caller.create("lookup", Some(0));
    let path = Some("operations[0].body.name");
    assert_rejected(again, Code::AlreadyExists, ResultCode::ResourceExists, path);
    let stale = call!(caller, change_resource, write_service("lookup", 300, None));
    let path = Some("header.base_revision");
    assert_rejected(stale, Code::Aborted, ResultCode::ConfigConflict, path);
    let invalid = call!(caller, change_resource, write_service("lookup", 0, Some(0)));
    let path = Some("latency_target.first_token_ms");
    assert_rejected(invalid, Code::InvalidArgument, ResultCode::ConfigInvalid, path);
    let empty = call!(caller, create_resource, api::WriteResourceRequest::default());
    assert_rejected(empty, Code::InvalidArgument, ResultCode::MissingField, Some("resource"));
    let mut bad_id = write_service("b", 1, Some(0));
    bad_id.header = Some(api::ChangeHeader { change_id: "xyz".into(), ..Default::default() });
    let bad_id = call!(caller, create_resource, bad_id);
    let path = Some("header.change_id");
    assert_rejected(bad_id, Code::InvalidArgument, ResultCode::BadValue, path);
}

#[test]
fn repeated_change() {
    let fixture = AdminFixture::start();
    let mut caller = TestCaller::connect(&fixture, WRITE_TOKEN);
    let mut message = write_service("lookup", 200, None);
    message.header = Some(api::ChangeHeader { change_id: CHANGE_ID.into(), ..Default::default() });
    let first = call!(caller, create_resource, message.clone()).unwrap();
    let second = call!(caller, create_resource, message).unwrap();
    assert_eq!(first, second);
    let mut other = write_service("lookup", 300, None);
    other.header = Some(api::ChangeHeader { change_id: CHANGE_ID.into(), ..Default::default() });
    let path = Some("header.change_id");
    let reused = call!(caller, create_resource, other);
    assert_rejected(reused, Code::FailedPrecondition, ResultCode::ChangeIdReused, path);
    let known = api::GetChangeRequest { change_id: CHANGE_ID.into() };
    assert_eq!(call!(caller, get_change, known).unwrap(), first);
    let unknown = api::GetChangeRequest { change_id: "0".repeat(32) };
    assert_eq!(call!(caller, get_change, unknown).unwrap().result(), ChangeResult::Pending);
}

#[test]
fn log_outage() {
    let options =
        FollowerOptions { publish_timeout: Duration::from_millis(20), ..follower_options() };
    let fixture = AdminFixture::start_with(options);
    let mut caller = TestCaller::connect(&fixture, WRITE_TOKEN);
    fixture.log.set_outage(LogOutage::Refusing);
    let rejected = caller.create("lookup", None);
    assert_rejected(rejected, Code::Unavailable, ResultCode::LogUnavailable, None);
    fixture.log.set_outage(LogOutage::Unreachable);
    let pending = caller.create("lookup", None).unwrap();
    assert_eq!((pending.result(), pending.revision), (ChangeResult::Pending, None));
    fixture.log.set_outage(LogOutage::Refusing);
    let mut again = write_service("lookup", 200, None);
    let change_id = pending.change_id;
    again.header = Some(api::ChangeHeader { change_id, ..Default::default() });
    let still = call!(caller, create_resource, again.clone()).unwrap();
    assert_eq!(still.result(), ChangeResult::Pending);
    fixture.log.set_outage(LogOutage::None);
    let accepted = call!(caller, create_resource, again).unwrap();
    assert_eq!(accepted.result(), ChangeResult::Accepted);
}

#[test]
fn whole_configuration() {
    let fixture = AdminFixture::start();
    let mut caller = TestCaller::connect(&fixture, WRITE_TOKEN);
    caller.create("old", None).unwrap();
    let services = [service_json("lookup", 200)];
    let wanted = configuration(&services, &[team_json("races", 2)]);
    let dry = api::DryRunRequest { configuration: wanted.clone() };
    let diffs = call!(caller, dry_run, dry.clone()).unwrap().diffs;
    let names: Vec<_> = diffs.iter().map(|diff| (diff.diff(), diff.name.as_str())).collect();
    let expected = [
        (api::DiffKind::Created, "lookup"),
        (api::DiffKind::Deleted, "old"),
        (api::DiffKind::Created, "races"),
    ];
    assert_eq!(names, expected);
    let publish = |base| api::PublishConfigurationRequest {
        configuration: wanted.clone(),
        header: header(base),
        restore: false,
    };
    let stale = call!(caller, publish_configuration, publish(None));
    let path = Some("header.base_revision");
    assert_rejected(stale, Code::Aborted, ResultCode::ConfigConflict, path);
    let done = call!(caller, publish_configuration, publish(Some(0))).unwrap();
    assert_eq!(done.result(), ChangeResult::Accepted);
    let same = call!(caller, publish_configuration, publish(Some(0))).unwrap();
    assert_eq!((same.result(), same.revision), (ChangeResult::Unchanged, done.revision));
    assert!(call!(caller, dry_run, dry).unwrap().diffs.is_empty());
    let changed = configuration(&[service_json("lookup", 250)], &[team_json("races", 2)]);
    let dry = api::DryRunRequest { configuration: changed };
    let fields = call!(caller, dry_run, dry).unwrap().diffs.remove(0).fields;
    let field = api::FieldDiff {
        path: "latency_target.first_token_ms".into(),
        before: "200".into(),
        after: "250".into(),
    };
    assert_eq!(fields, [field]);
}

#[test]
fn drained_hosts() {
    let fixture = AdminFixture::start();
    let mut caller = TestCaller::connect(&fixture, WRITE_TOKEN);
    let drain = api::DrainHostRequest { host: "server-1-host".into(), header: None };
    let first = call!(caller, drain_host, drain.clone()).unwrap();
    assert_eq!(first.result(), ChangeResult::Accepted);
    let second = call!(caller, drain_host, drain.clone()).unwrap();
    assert_eq!(second.result(), ChangeResult::Unchanged);
    let members = call!(caller, get_fleet_state, api::GetFleetStateRequest {}).unwrap().members;
    let drained: Vec<_> = members.iter().map(|member| member.drained).collect();
    assert_eq!(drained, [true, false]);
    call!(caller, undrain_host, drain).unwrap();
    let list = call!(caller, list_resources, api::ListResourcesRequest::default()).unwrap();
    assert!(list.drained.is_empty());
    let bad = api::DrainHostRequest { host: "a b".into(), header: None };
    let bad = call!(caller, drain_host, bad);
    assert_rejected(bad, Code::InvalidArgument, ResultCode::ConfigInvalid, Some("host"));
}

#[test]
fn change_history() {
    let fixture = AdminFixture::start();
    let mut caller = TestCaller::connect(&fixture, WRITE_TOKEN);
    caller.create("lookup", None).unwrap();
    caller.create("lookup", Some(0)).unwrap_err();
    let request = api::ListHistoryRequest { limit: 0 };
    let entries = call!(caller, list_history, request).unwrap().entries;
    let codes: Vec<_> = entries.iter().map(|entry| (entry.offset, entry.result_code)).collect();
    assert_eq!(codes, [(1, u32::from(ResultCode::ResourceExists.number())), (0, 0)]);
    assert_eq!(entries[1].operator, "ada");
    assert_eq!(entries[1].summary, ["create service lookup"]);
    assert!(entries[1].wall_ms > 0 && entries[1].token_id.len() == 8);
    let request = api::ListHistoryRequest { limit: 1 };
    assert_eq!(call!(caller, list_history, request).unwrap().entries, entries[..1]);
}

#[test]
fn watched_revisions() {
    let fixture = AdminFixture::start();
    let mut reader = TestCaller::connect(&fixture, READ_TOKEN);
    let mut stream = call!(reader, watch_revisions, api::WatchRevisionsRequest {}).unwrap();
    let mut next = || fixture.runtime.block_on(stream.message()).unwrap().unwrap();
    assert_eq!(next().revision, None);
    let mut caller = TestCaller::connect(&fixture, WRITE_TOKEN);
    caller.create("lookup", None).unwrap();
    let revision = next();
    assert_eq!(revision.revision, Some(0));
    let digest = blake3::Hash::from_bytes(fixture.follower.current().digest.0);
    assert_eq!(revision.digest, digest.to_hex().to_string());
    fixture.follower.stop();
    assert_eq!(fixture.runtime.block_on(stream.message()).unwrap(), None);
}

#[test]
fn watcher_limit() {
    let fixture = AdminFixture::start();
    let mut reader = TestCaller::connect(&fixture, READ_TOKEN);
    let mut streams = Vec::new();
    for _ in 0..MAX_WATCHERS {
        streams.push(call!(reader, watch_revisions, api::WatchRevisionsRequest {}).unwrap());
    }
    let rejected = call!(reader, watch_revisions, api::WatchRevisionsRequest {});
    assert_rejected(rejected, Code::ResourceExhausted, ResultCode::QueueFull, None);
    let list = call!(reader, list_resources, api::ListResourcesRequest::default());
    assert!(list.is_ok());
}

#[test]
fn reads_from_sources() {
    let fixture = AdminFixture::start();
    let mut caller = TestCaller::connect(&fixture, READ_TOKEN);
    let lookup = |id: &str| api::LookupRequestRequest { request_id: id.to_owned() };
    let state = call!(caller, lookup_request, lookup(KNOWN_REQUEST)).unwrap();
    assert_eq!((state.state.as_str(), state.attempts), ("running", 2));
    let unknown = call!(caller, lookup_request, lookup("00000000000000aa-0000000000000002"));
    assert_rejected(unknown, Code::NotFound, ResultCode::UnknownRequest, Some("request_id"));
    let bad = call!(caller, lookup_request, lookup("x"));
    assert_rejected(bad, Code::InvalidArgument, ResultCode::BadValue, Some("request_id"));
    let burn = |service: &str| api::GetBurnReportRequest { service: service.to_owned() };
    assert_eq!(call!(caller, get_burn_report, burn("")).unwrap().windows.len(), 2);
    let windows = call!(caller, get_burn_report, burn("lookup")).unwrap().windows;
    assert_eq!(windows.len(), 1);
}
