//! Connections to servers.

use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpListener;
use std::thread;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Request;
use pomelostack_lib::gateway::connection_pool::ConnectionPool;
use tokio::task::LocalSet;

/// Whatever idle timeout a server states, its connection can be used again.
#[tokio::test]
async fn huge_keep_alive() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("valid in tests");
    let address = listener.local_addr().expect("valid in tests");
    let server = thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("valid in tests");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nKeep-Alive: timeout={}\r\nContent-Length: 2\r\n\r\nok",
            u64::MAX
        );
        let mut request = [0; 4_096];
        for _ in 0..2 {
            assert!(socket.read(&mut request).expect("valid in tests") > 0);
            socket.write_all(answer.as_bytes()).expect("valid in tests");
        }
    });
    let calls = async {
        let pool = ConnectionPool::default();
        for _ in 0..2 {
            let request = Request::new(Full::new(Bytes::new()));
            let (response, connection) = pool.call(address, request).await.expect("valid in tests");
            let body = response.into_body().collect().await.expect("valid in tests");
            assert_eq!(body.to_bytes(), "ok");
            connection.release();
        }
    };
    LocalSet::new().run_until(calls).await;
    server.join().expect("the server reads both requests");
}
