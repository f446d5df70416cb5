//! `pomelostack admin`: calls the administration API of an entry host.

mod client;
mod exit;
mod print;
mod read;
mod write;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context as _;
use argh::FromArgs;
use pomelostack_lib::protos::admin::Kind;

use self::client::AdminCaller;
use self::exit::CallError;

/// Calls the administration API. Exit codes: 0 done, 2 usage, 3 refused, 4 conflict, 5 pending or
/// unreachable.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "admin")]
pub struct AdminCommand {
    /// address of an entry host's administration API, ip:port
    #[argh(option)]
    address: SocketAddr,
    /// file that holds the operator token
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// operator token; other users of this host can see it in the list of processes
    #[argh(option)]
    token: Option<String>,
    /// print JSON for programs
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    call: AdminCall,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum AdminCall {
    Get(GetCall),
    List(ListCall),
    Export(ExportCall),
    Watch(WatchCall),
    History(HistoryCall),
    Outcome(OutcomeCall),
    Diff(DiffCall),
    Fleet(FleetCall),
    Request(RequestCall),
    Burn(BurnCall),
    Create(CreateCall),
    Change(ChangeCall),
    Delete(DeleteCall),
    Apply(ApplyCall),
    Drain(DrainCall),
    Undrain(UndrainCall),
}

/// Resource kind given on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KindArgument(Kind);

impl std::str::FromStr for KindArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "service" => Ok(Self(Kind::Service)),
            "team" => Ok(Self(Kind::Team)),
            "class" => Ok(Self(Kind::Class)),
            "policy" => Ok(Self(Kind::Policy)),
            _ => Err("must be service, team, class or policy".to_owned()),
        }
    }
}

/// Shows one resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
struct GetCall {
    /// service, team, class or policy
    #[argh(positional)]
    kind: KindArgument,
    /// name; none for the policy
    #[argh(positional, default = "String::new()")]
    name: String,
}

/// Lists all resources, or those of one kind.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListCall {
    /// service, team, class or policy; all without
    #[argh(positional)]
    kind: Option<KindArgument>,
}

/// Prints the whole configuration as a document that `apply` takes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "export")]
struct ExportCall {}

/// Prints the revision in force, then each later one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
struct WatchCall {
    /// end after this many revisions; go on for ever without
    #[argh(option)]
    count: Option<u64>,
}

/// Lists the newest changes: who, when, what and how they ended.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryCall {
    /// changes to list at most, 20 by default; 0 lists all that are kept
    #[argh(option, default = "20")]
    limit: u32,
}

/// Asks how a change ended, without publishing anything.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "outcome")]
struct OutcomeCall {
    /// id of the change
    #[argh(positional)]
    change_id: String,
}

/// Shows what `apply` would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffCall {
    /// configuration document
    #[argh(positional)]
    file: PathBuf,
}

/// Lists entry hosts and backend servers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetCall {}

/// Shows what the entry host knows about a request.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "request")]
struct RequestCall {
    /// request id
    #[argh(positional)]
    id: String,
}

/// Shows the service-level burn.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
struct BurnCall {
    /// service; all without
    #[argh(option, default = "String::new()")]
    service: String,
}

/// Creates a resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "create")]
struct CreateCall {
    /// service, team or class
    #[argh(positional)]
    kind: KindArgument,
    /// file that holds the JSON form of the resource
    #[argh(positional)]
    file: PathBuf,
    /// revision that the change starts from; the one in force without
    #[argh(option)]
    base: Option<u64>,
    /// id of an earlier attempt at the same change
    #[argh(option)]
    change_id: Option<String>,
}

/// Replaces a resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "change")]
struct ChangeCall {
    /// service, team, class or policy
    #[argh(positional)]
    kind: KindArgument,
    /// file that holds the JSON form of the resource
    #[argh(positional)]
    file: PathBuf,
    /// revision that the change starts from; the one in force without
    #[argh(option)]
    base: Option<u64>,
    /// id of an earlier attempt at the same change
    #[argh(option)]
    change_id: Option<String>,
}

/// Deletes a resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
struct DeleteCall {
    /// service, team or class
    #[argh(positional)]
    kind: KindArgument,
    /// name
    #[argh(positional)]
    name: String,
    /// revision that the change starts from; the one in force without
    #[argh(option)]
    base: Option<u64>,
    /// id of an earlier attempt at the same change
    #[argh(option)]
    change_id: Option<String>,
}

/// Replaces the whole configuration except drained hosts; a second time has no effect.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
struct ApplyCall {
    /// configuration document
    #[argh(positional)]
    file: PathBuf,
    /// revision that the change starts from; the one in force without
    #[argh(option)]
    base: Option<u64>,
    /// id of an earlier attempt at the same change
    #[argh(option)]
    change_id: Option<String>,
    /// replace everything although records of the log were lost, and give up what they held
    #[argh(switch)]
    restore: bool,
}

/// Takes a host or backend server out of service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainCall {
    /// id of the host or backend server
    #[argh(positional)]
    host: String,
    /// id of an earlier attempt at the same change
    #[argh(option)]
    change_id: Option<String>,
}

/// Puts a drained host or backend server back into service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
struct UndrainCall {
    /// id of the host or backend server
    #[argh(positional)]
    host: String,
    /// id of an earlier attempt at the same change
    #[argh(option)]
    change_id: Option<String>,
}

impl AdminCommand {
    /// Makes the call and prints its result.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let json = self.json;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let result = runtime.block_on(self.call());
        Ok(match result {
            Ok(code) => code,
            Err(error) => exit::report(&error, json),
        })
    }

    async fn call(self) -> exit::Result<ExitCode> {
        let token = self.read_token().map_err(CallError::Usage)?;
        let mut caller = AdminCaller::connect(self.address, token).await?;
        let json = self.json;
        match self.call {
            AdminCall::Get(call) => read::get(&mut caller, call, json).await,
            AdminCall::List(call) => read::list(&mut caller, call, json).await,
            AdminCall::Export(_) => read::export(&mut caller).await,
            AdminCall::Watch(call) => read::watch(&mut caller, call, json).await,
            AdminCall::History(call) => read::history(&mut caller, call, json).await,
            AdminCall::Diff(call) => read::diff(&mut caller, call, json).await,
            AdminCall::Fleet(_) => read::fleet(&mut caller, json).await,
            AdminCall::Request(call) => read::request(&mut caller, call, json).await,
            AdminCall::Burn(call) => read::burn(&mut caller, call, json).await,
            AdminCall::Outcome(call) => write::outcome(&mut caller, call, json).await,
            AdminCall::Create(call) => write::create(&mut caller, call, json).await,
            AdminCall::Change(call) => write::change(&mut caller, call, json).await,
            AdminCall::Delete(call) => write::delete(&mut caller, call, json).await,
            AdminCall::Apply(call) => write::apply(&mut caller, call, json).await,
            AdminCall::Drain(call) => write::drain(&mut caller, call, json).await,
            AdminCall::Undrain(call) => write::undrain(&mut caller, call, json).await,
        }
    }

    fn read_token(&self) -> anyhow::Result<String> {
        match (&self.token, &self.token_file) {
            (Some(token), None) => Ok(token.clone()),
            (None, Some(path)) => {
                let text = std::fs::read_to_string(path)
                    .with_context(|| format!("cannot read token file {}", path.display()))?;
                Ok(text.trim().to_owned())
            }
            _ => anyhow::bail!("give either --token-file or --token"),
        }
    }
}
