//! Least-loaded routing, as a baseline: chooses the server with the fewest of this host's attempts
//! in flight and ignores prefix caches.

use pomelostack_lib::ids::ServerKey;

/// Router that only counts attempts in flight.
#[derive(Clone, Debug)]
pub struct LeastLoadedRouter {
    servers: Vec<(ServerKey, u32)>,
    concurrency: u32,
}

impl LeastLoadedRouter {
    /// Creates a router over the given servers, each with at most `concurrency` attempts in flight.
    pub fn new(servers: impl IntoIterator<Item = ServerKey>, concurrency: u32) -> Self {
        Self { servers: servers.into_iter().map(|key| (key, 0)).collect(), concurrency }
    }

    /// Returns the least loaded server, or `None` if all are full.
    pub fn choose(&self) -> Option<ServerKey> {
        let free = self.servers.iter().filter(|(_, count)| *count < self.concurrency);
        free.min_by_key(|(_, count)| *count).map(|(key, _)| *key)
    }

    /// Records that an attempt was sent to a server.
    pub fn on_dispatched(&mut self, key: ServerKey) {
        self.count(key, 1);
    }

    /// Records the end of an attempt.
    pub fn on_ended(&mut self, key: ServerKey) {
        self.count(key, -1);
    }

    fn count(&mut self, key: ServerKey, change: i32) {
        for (_, count) in self.servers.iter_mut().filter(|(server, _)| *server == key) {
            *count = count.saturating_add_signed(change);
        }
    }
}
