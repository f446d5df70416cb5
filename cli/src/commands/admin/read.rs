//! Read-only calls.

use std::process::ExitCode;

use pomelostack_lib::protos::admin as api;
use pomelostack_lib::protos::admin::resource::Spec;
use pomelostack_lib::resource_error::FieldPath;
use pomelostack_lib::resource_json::parse_json;
use serde::Serialize;

use super::BurnCall;
use super::DiffCall;
use super::GetCall;
use super::HistoryCall;
use super::ListCall;
use super::RequestCall;
use super::WatchCall;
use super::client::AdminCaller;
use super::client::read_file;
use super::exit::CallError;
use super::exit::Result;
use super::print::diff_text;
use super::print::kind_text;
use super::print::print_json;
use super::print::print_table;
use super::print::revision_text;

/// JSON form of a whole configuration with its revision.
#[derive(Serialize)]
struct ListReport<'a> {
    revision: Option<u64>,
    configuration: &'a api::ConfigurationSpec,
    drained: &'a [String],
}

/// JSON form of a difference.
#[derive(Serialize)]
struct DiffReport<'a> {
    diff: &'static str,
    kind: &'static str,
    name: &'a str,
    fields: &'a [api::FieldDiff],
}

pub async fn get(caller: &mut AdminCaller, call: GetCall, _json: bool) -> Result<ExitCode> {
    let message = api::GetResourceRequest { kind: call.kind.0.into(), name: call.name };
    let reply = caller.client.get_resource(caller.request(message)).await?.into_inner();
    match reply.resource.and_then(|resource| resource.spec) {
        Some(Spec::Service(spec)) => print_pretty(&spec),
        Some(Spec::Team(spec)) => print_pretty(&spec),
        Some(Spec::Class(spec)) => print_pretty(&spec),
        Some(Spec::Policy(spec)) => print_pretty(&spec),
        None => {}
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints a resource in the form that `create`, `change` and `apply` take.
fn print_pretty<T: Serialize>(spec: &T) {
    println!("{}", serde_json::to_string_pretty(spec).unwrap_or_default());
}

pub async fn export(caller: &mut AdminCaller) -> Result<ExitCode> {
    print_pretty(&caller.list_all().await?.configuration.unwrap_or_default());
    Ok(ExitCode::SUCCESS)
}

pub async fn list(caller: &mut AdminCaller, call: ListCall, json: bool) -> Result<ExitCode> {
    let kind = call.kind.map_or(api::Kind::Unspecified, |kind| kind.0);
    let message = api::ListResourcesRequest { kind: kind.into() };
    let reply = caller.client.list_resources(caller.request(message)).await?.into_inner();
    let configuration = reply.configuration.unwrap_or_default();
    if json {
        let (revision, drained) = (reply.revision, reply.drained.as_slice());
        print_json(&ListReport { revision, configuration: &configuration, drained });
    } else {
        println!("revision {}", revision_text(reply.revision));
        print_table(&["KIND", "NAME", "DETAIL"], &list_rows(&configuration, &reply.drained));
    }
    Ok(ExitCode::SUCCESS)
}

fn list_rows(configuration: &api::ConfigurationSpec, drained: &[String]) -> Vec<Vec<String>> {
    let row = |kind: &str, name: &str, detail: String| vec![kind.into(), name.into(), detail];
    let services = configuration.services.iter().map(|service| {
        let target = service.latency_target.unwrap_or_default();
        let (millis, share) = (target.first_token_ms, target.share_permille);
        let detail = format!("{}, {share} permille within {millis} ms", service.kind);
        row("service", &service.name, detail)
    });
    let teams = configuration.teams.iter().map(|team| {
        let detail = format!("weight {}", team.weight.unwrap_or_default());
        row("team", &team.name, detail)
    });
    let classes = configuration
        .classes
        .iter()
        .map(|class| row("class", &class.name, class.markets.join(", ")));
    let policy = configuration.policy.iter().map(|policy| {
        let retry = policy.retry_percent.unwrap_or_default();
        let reclaimable = policy.reclaimable_percent.unwrap_or_default();
        row("policy", "", format!("retries {retry}%, reclaimable {reclaimable}%"))
    });
    let hosts = drained.iter().map(|host| row("host", host, "drained".to_owned()));
    services.chain(teams).chain(classes).chain(policy).chain(hosts).collect()
}

pub async fn watch(caller: &mut AdminCaller, call: WatchCall, json: bool) -> Result<ExitCode> {
    let request = caller.stream_request(api::WatchRevisionsRequest {});
    let mut stream = caller.client.watch_revisions(request).await?.into_inner();
    let mut remaining = call.count.unwrap_or(u64::MAX);
    while remaining > 0 {
        let Some(revision) = stream.message().await? else { break };
        if json {
            print_json(&revision);
        } else {
            println!("revision {} digest {}", revision_text(revision.revision), revision.digest);
        }
        remaining -= 1;
    }
    Ok(ExitCode::SUCCESS)
}

pub async fn history(caller: &mut AdminCaller, call: HistoryCall, json: bool) -> Result<ExitCode> {
    let request = caller.request(api::ListHistoryRequest { limit: call.limit });
    let entries = caller.client.list_history(request).await?.into_inner().entries;
    if json {
        print_json(&entries);
        return Ok(ExitCode::SUCCESS);
    }
    let rows: Vec<_> = entries
        .iter()
        .map(|entry| {
            vec![
                entry.offset.to_string(),
                entry.wall_ms.to_string(),
                entry.operator.clone(),
                entry.result_code.to_string(),
                entry.change_id.clone(),
                entry.summary.join("; "),
            ]
        })
        .collect();
    print_table(&["OFFSET", "WALL_MS", "OPERATOR", "CODE", "CHANGE_ID", "SUMMARY"], &rows);
    Ok(ExitCode::SUCCESS)
}

pub async fn diff(caller: &mut AdminCaller, call: DiffCall, json: bool) -> Result<ExitCode> {
    let text = read_file(&call.file)?;
    let configuration = parse_json(&FieldPath::root(), &text).map_err(CallError::Input)?;
    let request = caller.request(api::DryRunRequest { configuration: Some(configuration) });
    let reply = caller.client.dry_run(request).await?.into_inner();
    let reports: Vec<_> = reply
        .diffs
        .iter()
        .map(|diff| DiffReport {
            diff: diff_text(diff.diff()),
            kind: kind_text(diff.kind()),
            name: &diff.name,
            fields: &diff.fields,
        })
        .collect();
    if json {
        print_json(&reports);
        return Ok(ExitCode::SUCCESS);
    }
    for report in &reports {
        println!("{} {} {}", report.diff, report.kind, report.name);
        for field in report.fields {
            println!("  {}: {} -> {}", field.path, field.before, field.after);
        }
    }
    if reports.is_empty() {
        println!("unchanged at revision {}", revision_text(reply.revision));
    }
    Ok(ExitCode::SUCCESS)
}

pub async fn fleet(caller: &mut AdminCaller, json: bool) -> Result<ExitCode> {
    let request = caller.request(api::GetFleetStateRequest {});
    let members = caller.client.get_fleet_state(request).await?.into_inner().members;
    if json {
        print_json(&members);
        return Ok(ExitCode::SUCCESS);
    }
    let rows: Vec<_> = members
        .iter()
        .map(|member| {
            vec![
                member.id.clone(),
                member.host.clone(),
                member.address.clone(),
                member.zone.clone(),
                member.service.clone(),
                member.state.clone(),
                if member.drained { "yes" } else { "no" }.to_owned(),
                member.in_flight.to_string(),
            ]
        })
        .collect();
    let header = ["ID", "HOST", "ADDRESS", "ZONE", "SERVICE", "STATE", "DRAINED", "IN_FLIGHT"];
    print_table(&header, &rows);
    Ok(ExitCode::SUCCESS)
}

pub async fn request(caller: &mut AdminCaller, call: RequestCall, json: bool) -> Result<ExitCode> {
    let request = caller.request(api::LookupRequestRequest { request_id: call.id });
    let state = caller.client.lookup_request(request).await?.into_inner();
    if json {
        print_json(&state);
        return Ok(ExitCode::SUCCESS);
    }
    let code = state.result_code.map(|code| code.to_string()).unwrap_or_default();
    let row = vec![
        state.request_id,
        state.service,
        state.team,
        state.state,
        state.attempts.to_string(),
        state.server,
        code,
        state.tokens.to_string(),
    ];
    let header = ["REQUEST", "SERVICE", "TEAM", "STATE", "ATTEMPTS", "SERVER", "CODE", "TOKENS"];
    print_table(&header, &[row]);
    Ok(ExitCode::SUCCESS)
}

pub async fn burn(caller: &mut AdminCaller, call: BurnCall, json: bool) -> Result<ExitCode> {
    let request = caller.request(api::GetBurnReportRequest { service: call.service });
    let windows = caller.client.get_burn_report(request).await?.into_inner().windows;
    if json {
        print_json(&windows);
        return Ok(ExitCode::SUCCESS);
    }
    let rows: Vec<_> = windows
        .iter()
        .map(|window| {
            vec![
                window.service.clone(),
                (window.window_ms / 1_000).to_string(),
                window.requests.to_string(),
                window.within_target.to_string(),
                window.burn_permille.to_string(),
            ]
        })
        .collect();
    let header = ["SERVICE", "WINDOW_S", "REQUESTS", "WITHIN_TARGET", "BURN_PERMILLE"];
    print_table(&header, &rows);
    Ok(ExitCode::SUCCESS)
}
