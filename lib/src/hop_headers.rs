//! Headers that concern one connection and are never passed on (RFC 9110, section 7.6.1).

/// Those that need not be named by a `Connection` header.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Names of the headers of one message that concern its connection alone.
pub struct HopByHopHeaders<'a> {
    /// Those that the message's own `Connection` headers name.
    named: Vec<&'a str>,
}

impl<'a> HopByHopHeaders<'a> {
    /// Reads the `Connection` headers among the given names and values.
    pub fn of(headers: impl Iterator<Item = (&'a str, &'a str)>) -> Self {
        let connection = headers.filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
        Self { named: connection.flat_map(|(_, value)| value.split(',')).map(str::trim).collect() }
    }

    /// Returns whether a header concerns the connection alone.
    pub fn contains(&self, name: &str) -> bool {
        let mut hops = HOP_BY_HOP_HEADERS.iter().chain(&self.named);
        hops.any(|hop| name.eq_ignore_ascii_case(hop))
    }
}
