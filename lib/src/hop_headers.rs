//! Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1).

/// Headers that are hop-by-hop even if no `Connection` header lists them.
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

/// Names of the hop-by-hop headers of one message.
pub struct HopByHopHeaders<'a> {
    /// Headers that the message's `Connection` headers list.
    listed: Vec<&'a str>,
}

impl<'a> HopByHopHeaders<'a> {
    /// Reads the `Connection` headers among the given headers.
    pub fn of(headers: impl Iterator<Item = (&'a str, &'a str)>) -> Self {
        let connection = headers.filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
        Self { listed: connection.flat_map(|(_, value)| value.split(',')).map(str::trim).collect() }
    }

    /// Returns whether a header is hop-by-hop.
    pub fn contains(&self, name: &str) -> bool {
        let mut hops = HOP_BY_HOP_HEADERS.iter().chain(&self.listed);
        hops.any(|hop| name.eq_ignore_ascii_case(hop))
    }
}
