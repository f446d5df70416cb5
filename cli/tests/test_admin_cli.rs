//! Runs `pomelostack admin` as a process against an administration API on loopback.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

use pomelostack_lib::config_snapshot::FollowerOptions;
use pomelostack_lib::log_service::LogStream;
use rstest::rstest;
use serde_json::Value;
use testutils::admin_fixture::AdminFixture;
use testutils::admin_fixture::KNOWN_REQUEST;
use testutils::admin_fixture::READ_TOKEN;
use testutils::admin_fixture::WRITE_TOKEN;
use testutils::config_samples::document_json;
use testutils::config_samples::follower_options;
use testutils::config_samples::service_json;
use testutils::config_samples::team_json;
use testutils::log_fake::LogOutage;
use testutils::refusing_port::RefusingPort;

/// A temporary directory that is removed at the end of a test.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("admin-cli-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("directory is created");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).expect("file is written");
        path_text(&path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

fn path_text(path: &Path) -> String {
    path.to_str().expect("path is UTF-8").to_owned()
}

fn run(fixture: &AdminFixture, token: &str, arguments: &[&str]) -> Output {
    let address = fixture.address().to_string();
    Command::new(env!("CARGO_BIN_EXE_pomelostack"))
        .args(["admin", "--address", &address, "--token", token])
        .args(arguments)
        .output()
        .expect("program runs")
}

/// Runs a command with `--json` and returns its exit code and output.
fn run_json(fixture: &AdminFixture, arguments: &[&str]) -> (Option<i32>, Value) {
    let output = run(fixture, WRITE_TOKEN, &[&["--json"], arguments].concat());
    let value = serde_json::from_slice(&output.stdout).expect("output is JSON");
    (output.status.code(), value)
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn apply_twice() {
    let fixture = AdminFixture::start();
    let directory = TempDir::new("apply");
    let document = document_json(&[service_json("lookup", 200)], &[team_json("races", 2)]);
    let file = directory.write("config.json", &document);
    let diff = run(&fixture, READ_TOKEN, &["diff", &file]);
    assert!(stdout(&diff).contains("create service lookup\n"), "{diff:?}");
    let first = run(&fixture, WRITE_TOKEN, &["apply", &file]);
    assert!(stdout(&first).starts_with("accepted at revision 0 "), "{first:?}");
    let second = run(&fixture, WRITE_TOKEN, &["apply", &file]);
    assert!(stdout(&second).starts_with("unchanged at revision 0 "), "{second:?}");
    assert_eq!((first.status.code(), second.status.code()), (Some(0), Some(0)));
    assert_eq!(fixture.log.records(LogStream::Config).len(), 1);
    let export = directory.write("export.json", &stdout(&run(&fixture, READ_TOKEN, &["export"])));
    let (code, reply) = run_json(&fixture, &["apply", &export]);
    assert_eq!((code, reply["result"].as_str()), (Some(0), Some("unchanged")));
}

#[test]
fn resource_commands() {
    let fixture = AdminFixture::start();
    let directory = TempDir::new("resources");
    let service = directory.write("service.json", &service_json("lookup", 200));
    let (code, created) = run_json(&fixture, &["create", "service", &service]);
    assert_eq!((code, created["revision"].as_u64()), (Some(0), Some(0)));
    let slower = directory.write("slower.json", &service_json("lookup", 300));
    assert_eq!(run_json(&fixture, &["change", "service", &slower]).0, Some(0));
    let stale = run(&fixture, WRITE_TOKEN, &["change", "service", &service, "--base", "0"]);
    assert_eq!(stale.status.code(), Some(4));
    let shown: Value =
        serde_json::from_slice(&run(&fixture, READ_TOKEN, &["get", "service", "lookup"]).stdout)
            .expect("output is JSON");
    assert_eq!(shown["latency_target"]["first_token_ms"], 300);
    let list = stdout(&run(&fixture, READ_TOKEN, &["list", "service"]));
    assert!(list.contains("service  lookup  app, 950 permille within 300 ms"), "{list}");
    assert_eq!(run_json(&fixture, &["delete", "service", "lookup"]).0, Some(0));
    let gone = run(&fixture, READ_TOKEN, &["get", "service", "lookup"]);
    assert_eq!(gone.status.code(), Some(3));
    let (_, history) = run_json(&fixture, &["history"]);
    let summaries: Vec<_> =
        history.as_array().expect("list").iter().map(|entry| &entry["summary"][0]).collect();
    let expected = [
        "delete service lookup",
        "change service lookup",
        "change service lookup",
        "create service lookup",
    ];
    assert_eq!(summaries, expected);
    let id = created["change_id"].as_str().expect("id");
    let (code, outcome) = run_json(&fixture, &["outcome", id]);
    assert_eq!((code, outcome["result"].as_str()), (Some(0), Some("accepted")));
}

#[test]
fn pending_change() {
    let options =
        FollowerOptions { publish_timeout: Duration::from_millis(20), ..follower_options() };
    let fixture = AdminFixture::start_with(options);
    let directory = TempDir::new("pending");
    let service = directory.write("service.json", &service_json("lookup", 200));
    fixture.log.lose_requests(1);
    let (code, pending) = run_json(&fixture, &["create", "service", &service]);
    assert_eq!((code, pending["result"].as_str()), (Some(5), Some("pending")));
    fixture.log.set_outage(LogOutage::Refusing);
    let (code, refused) = run_json(&fixture, &["create", "service", &service]);
    assert_eq!((code, refused["error"]["code"].as_u64()), (Some(5), Some(507)));
    fixture.log.set_outage(LogOutage::None);
    let id = pending["change_id"].as_str().expect("id");
    let (code, done) = run_json(&fixture, &["create", "service", &service, "--change-id", id]);
    assert_eq!((code, done["result"].as_str()), (Some(0), Some("accepted")));
    assert_eq!(done["change_id"], pending["change_id"]);
}

#[test]
fn drain_and_reports() {
    let fixture = AdminFixture::start();
    let drained = run(&fixture, WRITE_TOKEN, &["drain", "server-2-host"]);
    assert_eq!(drained.status.code(), Some(0), "{drained:?}");
    let fleet = stdout(&run(&fixture, READ_TOKEN, &["fleet"]));
    let rows: Vec<Vec<&str>> =
        fleet.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(rows[0][6], "DRAINED");
    assert_eq!((rows[1][6], rows[2][6]), ("no", "yes"));
    assert!(
        stdout(&run(&fixture, WRITE_TOKEN, &["drain", "server-2-host"])).starts_with("unchanged")
    );
    assert_eq!(run(&fixture, WRITE_TOKEN, &["undrain", "server-2-host"]).status.code(), Some(0));
    let request = stdout(&run(&fixture, READ_TOKEN, &["request", KNOWN_REQUEST]));
    assert!(request.contains("running"), "{request}");
    let (_, burn) = run_json(&fixture, &["burn", "--service", "lookup"]);
    assert_eq!(burn[0]["burn_permille"], 1_200);
    let watch = stdout(&run(&fixture, READ_TOKEN, &["watch", "--count", "1"]));
    assert!(watch.starts_with("revision 1 digest "), "{watch}");
}

#[rstest]
#[case::unknown_command(&["frobnicate"], 2, "Unrecognized argument")]
#[case::unknown_kind(&["get", "database"], 2, "service, team, class or policy")]
#[case::missing_file(&["apply", "/no/such/file"], 2, "cannot read")]
#[case::unknown_request(&["request", "00000000000000aa-0000000000000002"], 3, "113 UnknownRequest")]
#[case::no_write(&["drain", "host-1"], 3, "506 OperatorForbidden")]
fn exit_codes(#[case] arguments: &[&str], #[case] code: i32, #[case] text: &str) {
    let fixture = AdminFixture::start();
    let output = run(&fixture, READ_TOKEN, arguments);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains(text), "{stderr}");
}

#[test]
fn broken_file() {
    let fixture = AdminFixture::start();
    let directory = TempDir::new("broken");
    let unknown = directory.write("unknown.json", r#"{"services": [], "teems": []}"#);
    let (code, reply) = run_json(&fixture, &["apply", &unknown]);
    assert_eq!((code, reply["error"]["path"].as_str()), (Some(3), Some("teems")));
    let range = directory.write("range.json", &document_json(&[service_json("lookup", 0)], &[]));
    let (code, reply) = run_json(&fixture, &["apply", &range]);
    let path = Some("services[0].latency_target.first_token_ms");
    assert_eq!((code, reply["error"]["path"].as_str()), (Some(3), path));
    assert_eq!(reply["error"]["code"], 502);
    assert!(fixture.log.records(LogStream::Config).is_empty());
}

#[test]
fn token_file() {
    let fixture = AdminFixture::start();
    let directory = TempDir::new("token");
    let file = directory.write("token", &format!("{READ_TOKEN}\n"));
    let address = fixture.address().to_string();
    let program = || Command::new(env!("CARGO_BIN_EXE_pomelostack"));
    let listed = program()
        .args(["admin", "--address", &address, "--token-file", &file, "list"])
        .output()
        .expect("program runs");
    assert_eq!(listed.status.code(), Some(0), "{listed:?}");
    let without =
        program().args(["admin", "--address", &address, "list"]).output().expect("program runs");
    assert_eq!(without.status.code(), Some(2));
}

#[test]
fn unreachable_host() {
    let port = RefusingPort::bind().expect("binds");
    let address = port.address().to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_pomelostack"))
        .args(["admin", "--address", &address, "--token", READ_TOKEN, "list"])
        .output()
        .expect("program runs");
    assert_eq!(output.status.code(), Some(5), "{output:?}");
}
