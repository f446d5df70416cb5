//! Calls that publish a change.

use std::path::Path;
use std::process::ExitCode;

use pomelostack_lib::admin_changes::random_change_id;
use pomelostack_lib::protos::admin as api;
use pomelostack_lib::protos::admin::Kind;
use pomelostack_lib::protos::admin::resource::Spec;
use pomelostack_lib::resource_error::FieldPath;
use pomelostack_lib::resource_json::parse_json;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tonic::Code;
use tonic::Response;
use tonic::Status;

use super::ApplyCall;
use super::ChangeCall;
use super::CreateCall;
use super::DeleteCall;
use super::DrainCall;
use super::OutcomeCall;
use super::UndrainCall;
use super::client::AdminCaller;
use super::client::read_file;
use super::exit;
use super::exit::CallError;
use super::exit::Result;
use super::print::print_json;
use super::print::revision_text;

/// JSON form of the result of a change.
#[derive(Serialize)]
struct ChangeReport<'a> {
    result: &'static str,
    revision: Option<u64>,
    change_id: &'a str,
}

pub async fn outcome(caller: &mut AdminCaller, call: OutcomeCall, json: bool) -> Result<ExitCode> {
    let request = caller.request(api::GetChangeRequest { change_id: call.change_id });
    let reply = caller.client.get_change(request).await?.into_inner();
    Ok(print_reply(&reply, json))
}

pub async fn create(caller: &mut AdminCaller, call: CreateCall, json: bool) -> Result<ExitCode> {
    let resource = Some(read_resource(call.kind.0, &call.file)?);
    let header = make_header(caller, call.base, call.change_id).await?;
    let message = api::WriteResourceRequest { resource, header: Some(header.clone()) };
    let reply = caller.client.create_resource(caller.request(message)).await;
    print_outcome(&header, reply, json)
}

pub async fn change(caller: &mut AdminCaller, call: ChangeCall, json: bool) -> Result<ExitCode> {
    let resource = Some(read_resource(call.kind.0, &call.file)?);
    let header = make_header(caller, call.base, call.change_id).await?;
    let message = api::WriteResourceRequest { resource, header: Some(header.clone()) };
    let reply = caller.client.change_resource(caller.request(message)).await;
    print_outcome(&header, reply, json)
}

pub async fn delete(caller: &mut AdminCaller, call: DeleteCall, json: bool) -> Result<ExitCode> {
    let header = make_header(caller, call.base, call.change_id).await?;
    let message = api::DeleteResourceRequest {
        kind: call.kind.0.into(),
        name: call.name,
        header: Some(header.clone()),
    };
    let reply = caller.client.delete_resource(caller.request(message)).await;
    print_outcome(&header, reply, json)
}

pub async fn apply(caller: &mut AdminCaller, call: ApplyCall, json: bool) -> Result<ExitCode> {
    let text = read_file(&call.file)?;
    let configuration = parse_json(&FieldPath::root(), &text).map_err(CallError::Input)?;
    let header = make_header(caller, call.base, call.change_id).await?;
    let message = api::PublishConfigurationRequest {
        configuration: Some(configuration),
        header: Some(header.clone()),
        restore: call.restore,
    };
    let reply = caller.client.publish_configuration(caller.request(message)).await;
    print_outcome(&header, reply, json)
}

pub async fn drain(caller: &mut AdminCaller, call: DrainCall, json: bool) -> Result<ExitCode> {
    let header = make_header(caller, None, call.change_id).await?;
    let message = api::DrainHostRequest { host: call.host, header: Some(header.clone()) };
    let reply = caller.client.drain_host(caller.request(message)).await;
    print_outcome(&header, reply, json)
}

pub async fn undrain(caller: &mut AdminCaller, call: UndrainCall, json: bool) -> Result<ExitCode> {
    let header = make_header(caller, None, call.change_id).await?;
    let message = api::DrainHostRequest { host: call.host, header: Some(header.clone()) };
    let reply = caller.client.undrain_host(caller.request(message)).await;
    print_outcome(&header, reply, json)
}

fn read_resource(kind: Kind, file: &Path) -> Result<api::Resource> {
    let text = read_file(file)?;
    let spec = match kind {
        Kind::Service => Spec::Service(read_spec(&text)?),
        Kind::Team => Spec::Team(read_spec(&text)?),
        Kind::Class => Spec::Class(read_spec(&text)?),
        Kind::Policy | Kind::Unspecified => Spec::Policy(read_spec(&text)?),
    };
    Ok(api::Resource { spec: Some(spec) })
}

fn read_spec<T: DeserializeOwned>(text: &str) -> Result<T> {
    parse_json(&FieldPath::root(), text).map_err(CallError::Input)
}

/// Builds the header of a change. Without a base, the change starts from the current revision.
///
/// The change id is generated on this side, so that it is known even if the reply is lost.
async fn make_header(
    caller: &mut AdminCaller,
    base: Option<u64>,
    change_id: Option<String>,
) -> Result<api::ChangeHeader> {
    let base_revision = match base {
        Some(base) => Some(base),
        None => caller.list_all().await?.revision,
    };
    let first_attempt = change_id.is_none();
    let change_id = change_id.unwrap_or_else(|| random_change_id().to_string());
    Ok(api::ChangeHeader { base_revision, change_id, first_attempt })
}

/// Prints the outcome of a change. A lost reply counts as pending: the change may still take
/// effect.
fn print_outcome(
    header: &api::ChangeHeader,
    reply: std::result::Result<Response<api::ChangeReply>, Status>,
    json: bool,
) -> Result<ExitCode> {
    let reply = match reply {
        Ok(reply) => reply.into_inner(),
        Err(status) if is_reply_lost(&status) => api::ChangeReply {
            result: api::ChangeResult::Pending.into(),
            revision: None,
            change_id: header.change_id.clone(),
        },
        Err(status) => return Err(status.into()),
    };
    Ok(print_reply(&reply, json))
}

fn is_reply_lost(status: &Status) -> bool {
    let has_result_code = pomelostack_lib::admin_status::read_status(status).0.is_some();
    !has_result_code
        && matches!(
            status.code(),
            Code::Unavailable | Code::DeadlineExceeded | Code::Cancelled | Code::Unknown
        )
}

fn print_reply(reply: &api::ChangeReply, json: bool) -> ExitCode {
    let (result, exit_code) = match reply.result() {
        api::ChangeResult::Accepted => ("accepted", ExitCode::SUCCESS),
        api::ChangeResult::Unchanged => ("unchanged", ExitCode::SUCCESS),
        api::ChangeResult::Pending => ("pending", ExitCode::from(exit::PENDING)),
        api::ChangeResult::Unspecified => ("unspecified", ExitCode::from(exit::PENDING)),
    };
    let (revision, change_id) = (reply.revision, reply.change_id.as_str());
    if json {
        print_json(&ChangeReport { result, revision, change_id });
    } else if reply.result() == api::ChangeResult::Pending {
        println!("pending; ask again with --change-id {change_id}");
    } else {
        println!("{result} at revision {} (change {change_id})", revision_text(revision));
    }
    exit_code
}
