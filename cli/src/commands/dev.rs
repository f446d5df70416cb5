//! `pomelostack dev`: runs a complete system on loopback, with stand-ins for the platform.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

use anyhow::Context as _;
use anyhow::bail;
use argh::FromArgs;
use pomelostack_lib::logging::init_logging;
use pomelostack_lib::settings::LogLevel;
use pomelostack_lib::settings::LogSettings;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::FRONT_PORT;
use testutils::dev_cluster::APP_SERVICE;
use testutils::dev_cluster::DevCluster;
use testutils::dev_cluster::DevPlan;
use testutils::dev_cluster::MODEL_SERVICE;
use testutils::dev_cluster::OPERATOR_READ_TOKEN;
use testutils::dev_cluster::OPERATOR_WRITE_TOKEN;
use testutils::dev_cluster::TEAMS;
use testutils::dev_cluster::dev_configuration;
use testutils::gateway_process::curl_command;
use testutils::platform_standin::PlatformStandin;

use crate::commands::entry::stop_signal;

/// Run everything on loopback in one process: stand-ins of the platform, entry hosts, one model
/// service, one app service and two teams. Ctrl-C stops it.
#[derive(FromArgs)]
#[argh(subcommand, name = "dev")]
pub struct DevCommand {
    /// front door of the first entry host; all other addresses follow from it (default
    /// 127.0.0.1:8080)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    http: SocketAddr,

    /// entry hosts (default 3)
    #[argh(option, default = "3")]
    hosts: u16,

    /// run gateway hosts as they are deployed, at the front door's address and those after it, before
    /// a stand-in of their platform
    #[argh(switch)]
    platform: bool,

    /// start the stand-ins alone, for entry hosts that run as processes of their own
    #[argh(switch)]
    platform_only: bool,

    /// backend servers that take no time, for measuring the system itself
    #[argh(switch)]
    no_delay: bool,

    /// write the settings of the entry hosts and the configuration into a folder, and end
    #[argh(option)]
    write_settings: Option<PathBuf>,
}

impl DevCommand {
    /// Runs until Ctrl-C.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let mut plan = DevPlan::new(self.http, self.hosts);
        if self.no_delay {
            plan = plan.without_delay();
        }
        if let Some(folder) = &self.write_settings {
            return write_settings(&plan, folder);
        }
        init_logging(&LogSettings { level: LogLevel::Warn, file: None })?;
        let stop = stop_signal()?;
        if self.platform {
            return run_deployment(self.http.ip(), self.hosts);
        }
        if self.platform_only {
            let platform = plan.start_platform()?;
            print_platform(&platform);
            println!("ready");
            stop.recv()?;
            platform.stop();
            return Ok(ExitCode::SUCCESS);
        }
        let cluster = DevCluster::start(plan)?;
        print_cluster(&cluster);
        stop.recv()?;
        println!("stopping");
        cluster.stop();
        Ok(ExitCode::SUCCESS)
    }
}

/// Runs gateway hosts on threads of this process until SIGTERM or Ctrl-C.
fn run_deployment(first: IpAddr, hosts: u16) -> anyhow::Result<ExitCode> {
    let IpAddr::V4(first) = first else { bail!("the first host needs an IPv4 address") };
    let standin = DeploymentStandin::start().context("cannot start the stand-in")?;
    standin.publish_config(1);
    let folder = std::env::temp_dir().join(format!("pomelostack-dev-{}", std::process::id()));
    fs::create_dir_all(&folder).with_context(|| format!("cannot create {}", folder.display()))?;
    println!("platform      http://{}", standin.platform);
    for replica in &standin.replicas {
        println!("model server  http://{replica}");
    }
    let mut running = Vec::new();
    for number in 0..hosts {
        let ip = Ipv4Addr::from_bits(first.to_bits().wrapping_add(u32::from(number))).to_string();
        let name = format!("gateway-{}", number + 1);
        let path = folder.join(format!("{name}.json"));
        let settings = standin.settings(&name, &ip).to_string();
        fs::write(&path, settings).with_context(|| format!("cannot write {}", path.display()))?;
        println!("gateway       http://{ip}:{FRONT_PORT}  settings {}", path.display());
        running.push(thread::spawn(move || pomelostack_platform::run_with_settings(path)));
    }
    println!("\ntry:\n  {}", curl_command(first.into()));
    println!("\nready; Ctrl-C stops");
    let mut code = ExitCode::SUCCESS;
    for host in running {
        let outcome = host.join().unwrap_or_else(|_| Err(anyhow::anyhow!("a host panicked")));
        if let Err(error) = outcome {
            eprintln!("gateway: {error:#}");
            code = ExitCode::FAILURE;
        }
    }
    fs::remove_dir_all(&folder).with_context(|| format!("cannot remove {}", folder.display()))?;
    Ok(code)
}

fn write_settings(plan: &DevPlan, folder: &Path) -> anyhow::Result<ExitCode> {
    fs::create_dir_all(folder).with_context(|| format!("cannot create {}", folder.display()))?;
    let write = |name: String, value: serde_json::Value| -> anyhow::Result<()> {
        let path = folder.join(name);
        let text = serde_json::to_string_pretty(&value)? + "\n";
        fs::write(&path, text).with_context(|| format!("cannot write {}", path.display()))?;
        println!("{}", path.display());
        Ok(())
    };
    for index in 0..plan.hosts {
        write(format!("entry-{}.json", index + 1), plan.settings_json(index))?;
    }
    write("configuration.json".to_string(), dev_configuration())?;
    Ok(ExitCode::SUCCESS)
}

fn print_platform(platform: &PlatformStandin) {
    println!("log           http://{}", platform.log_address());
    println!("cloud         http://{}", platform.cloud_address());
    println!("host list     http://{}", platform.host_list_address());
    for (host, engine) in platform.engines() {
        println!("model server  http://{}  {host}", engine.address());
    }
    for (host, app) in platform.apps() {
        println!("app server    http://{}  {host}", app.address());
    }
}

fn print_cluster(cluster: &DevCluster) {
    print_platform(cluster.platform());
    for (index, entry) in (0..).zip(cluster.entries()) {
        let admin = cluster.plan().admin_address(index);
        println!("entry host    http://{}  (admin {admin})", entry.http_address());
    }
    for (team, token) in TEAMS {
        println!("team          {team}  token {token}");
    }
    println!("operators     write token {OPERATOR_WRITE_TOKEN}, read token {OPERATOR_READ_TOKEN}");
    let (http, token) = (cluster.plan().http, TEAMS[0].1);
    println!("\ntry:\n  curl -N http://{http}/v1/chat/completions \\");
    println!("    -H 'Authorization: Bearer {token}' -H 'Content-Type: application/json' \\");
    println!(
        "    -d '{{\"model\":\"{MODEL_SERVICE}\",\"stream\":true,\"max_tokens\":20,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Wind at the start line?\"}}]}}'"
    );
    println!("  curl http://{http}/services/{APP_SERVICE}/wind -H 'Authorization: Bearer {token}'");
    println!("\nready; Ctrl-C stops");
}
