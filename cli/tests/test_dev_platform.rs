//! `pomelostack dev --platform`: a stream through each of two gateway hosts on loopback.

use std::io::BufRead as _;
use std::io::BufReader;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use testutils::bounded_wait::wait_for;
use testutils::deployment_standin::FRONT_PORT;
use testutils::deployment_standin::STREAM_EVENTS;
use testutils::deployment_standin::event_text;
use testutils::gateway_process::request_headers;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");
/// Address of the first host. It differs from the default, so that a `dev` that runs beside the
/// tests does not collide.
const FIRST_HOST: &str = "127.0.79.1";

#[test]
fn stream_through_dev() {
    let mut process = Command::new(PROGRAM)
        .args(["dev", "--platform", "--hosts", "2", "--http", &format!("{FIRST_HOST}:0")])
        .stdout(Stdio::piped())
        .spawn()
        .expect("valid in tests");
    let output = process.stdout.take().expect("valid in tests");
    let lines: Vec<String> = BufReader::new(output)
        .lines()
        .map(|line| line.expect("valid in tests"))
        .take_while(|line| !line.starts_with("ready"))
        .collect();
    assert!(lines.iter().any(|line| line.contains("curl -N")), "{lines:?}");
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let call = |host: &str| {
        let request = agent.post(format!("http://{host}:{FRONT_PORT}/brief/1"));
        let headers = request_headers("r1").into_iter();
        headers
            .fold(request, |request, (name, value)| request.header(name, value))
            .send("")
            .ok()
            .filter(|reply| reply.status().as_u16() == 200)
            .and_then(|reply| reply.into_body().read_to_string().ok())
    };
    let whole: String = (1..=STREAM_EVENTS).map(event_text).collect();
    for host in [FIRST_HOST, "127.0.79.2"] {
        wait_for(|| call(host).as_ref() == Some(&whole));
    }
    let id = i32::try_from(process.id()).expect("valid in tests");
    kill_process(Pid::from_raw(id).expect("valid in tests"), Signal::TERM).expect("valid in tests");
    assert!(process.wait().expect("valid in tests").success());
}
