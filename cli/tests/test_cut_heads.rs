//! Servers that break off anywhere in an answer.

use std::sync::Arc;

use rstest::rstest;
use testutils::byte_server::ByteRequest;
use testutils::byte_server::ByteServer;
use testutils::byte_server::ByteStep;
use testutils::byte_server::signed_head;
use testutils::deployment_standin::DeploymentStandin;
use testutils::deployment_standin::SERVICE;
use testutils::deployment_standin::TEAM_KEY;
use testutils::gateway_fixture::GatewayFixture;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelostack");

/// How a connection ends.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Closed,
    Reset,
}

/// Part of an answer whose cuts are tried.
#[derive(Clone, Copy, Debug)]
enum CutPart {
    /// Every byte of the head.
    Head,
    /// Every byte of the head, after an interim response.
    HeadAfterInterim,
    /// Every byte of a head that is followed by bytes that are no head.
    HeadThenGarbage,
    /// Every byte of a body with a length.
    SizedBody,
    /// Every byte of a body in chunks.
    ChunkedBody,
}

impl CutPart {
    /// Returns what is sent of the answer to a call when it is cut after this many bytes of the part; `None`
    /// beyond the last cut.
    fn cut(self, request: &ByteRequest, bytes: usize) -> Option<String> {
        let sized = signed_head(request, "200 OK", "Content-Length: 26\r\nX-Note: a b\r\n\r\n");
        let chunked = signed_head(request, "200 OK", "Transfer-Encoding: chunked\r\n\r\n");
        let (before, part, after) = match self {
            Self::Head => (String::new(), sized, ""),
            Self::HeadAfterInterim => {
                ("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n".to_owned(), sized, "")
            }
            Self::HeadThenGarbage => (String::new(), sized, "\u{1}\u{2}\r\n\u{1}\r\n\r\n"),
            Self::SizedBody => (sized, "abcdefghijklmnopqrstuvwxyz".to_owned(), ""),
            Self::ChunkedBody => {
                (chunked, "1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n".to_owned(), "")
            }
        };
        (bytes < part.len()).then(|| format!("{before}{}{after}", &part[..bytes]))
    }
}

/// Starts a host in front of two servers that cut their answers after as many bytes as the path says.
fn start(number: u8, part: CutPart, ending: Ending) -> (GatewayFixture, [ByteServer; 2]) {
    let answer = move |request: &ByteRequest| {
        let bytes = request.path.rsplit('/').next().and_then(|bytes| bytes.parse().ok());
        let Some(bytes) = bytes else {
            let fields = "Content-Length: 0\r\nConnection: close\r\n\r\n";
            return vec![ByteStep::Send(signed_head(request, "200 OK", fields))];
        };
        let send = ByteStep::Send(part.cut(request, bytes).unwrap_or_default());
        match ending {
            Ending::Closed => vec![send],
            Ending::Reset => vec![send, ByteStep::Reset],
        }
    };
    let servers = [answer; 2].map(|answer| ByteServer::start(answer).expect("valid in tests"));
    let mut standin = DeploymentStandin::start_with(&[SERVICE; 2]).expect("valid in tests");
    for (index, server) in servers.iter().enumerate() {
        standin.replicas[index] = server.address;
        standin.register_replica(index, "ready");
    }
    let mut document = DeploymentStandin::config_document(3);
    // A host may not resume a stream while its servers' processes may have been replaced.
    document["routes"][0]["resumable"] = false.into();
    standin.publish_document(&document);
    (GatewayFixture::start_host(PROGRAM, Arc::new(standin), number).serving(), servers)
}

/// An answer that was cut reached its caller as a whole one, or was said not to have run (MIXED, REFUSED).
#[rstest]
#[case::call_once(200, "POST", "/book")]
#[case::repeatable_call(201, "GET", "/look")]
#[case::stream(202, "POST", "/brief")]
fn cut_answer(
    #[case] number: u8,
    #[case] method: &str,
    #[case] path: &str,
    #[values(
        CutPart::Head,
        CutPart::HeadAfterInterim,
        CutPart::HeadThenGarbage,
        CutPart::SizedBody,
        CutPart::ChunkedBody
    )]
    part: CutPart,
    #[values(Ending::Closed, Ending::Reset)] ending: Ending,
) {
    let ip = number + 3 * (part as u8) + 15 * (ending as u8);
    let (fixture, servers) = start(ip, part, ending);
    // The length of a part depends on the id.
    let sample = ByteRequest { id: "r000".to_owned(), ..ByteRequest::default() };
    let cuts = (0..).take_while(|bytes| part.cut(&sample, *bytes).is_some());
    let (mut cut_count, mut sent_count) = (0, 0);
    for bytes in cuts {
        let path = format!("{path}/{bytes}");
        let id = format!("r{bytes:03}");
        let response = fixture.call(method, &path, &id, Some(TEAM_KEY));
        let requests = servers.iter().flat_map(|server| server.requests());
        let sent = requests.filter(|request| request.id == id).count();
        cut_count += 1;
        sent_count += usize::from(sent > 0);
        let is_whole = response.status == 200 && response.body.is_some();
        assert!(!is_whole, "{bytes} bytes: {response:?}");
        assert!(sent == 0 || response.status != 503, "{bytes} bytes, {sent} sent: {response:?}");
        assert!(method != "POST" || sent <= 1, "{bytes} bytes");
    }
    assert!(sent_count > cut_count / 2, "{sent_count} of {cut_count} calls were sent");
}
