//! Limits that servers named to this host.

use std::collections::HashMap;

use crate::gateway::server_limit::LimitNotice;
use crate::gateway::server_limit::RequestLimit;
use crate::ids::ServerId;

/// What a response changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing.
    Unchanged,
    /// The server names a limit, and named none or another one before.
    Named(RequestLimit),
    /// The server names none any more.
    Ended,
}

/// Last limits of servers that name one.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    limits: HashMap<ServerId, RequestLimit>,
}

impl LimitTable {
    /// Records what a response says of its server's limit.
    pub fn on_notice(&mut self, server: &ServerId, notice: LimitNotice) -> LimitChange {
        match notice {
            LimitNotice::Named(limit) => match self.limits.insert(server.clone(), limit) {
                Some(known) if known == limit => LimitChange::Unchanged,
                _ => LimitChange::Named(limit),
            },
            LimitNotice::Unnamed => match self.limits.remove(server) {
                Some(_) => LimitChange::Ended,
                None => LimitChange::Unchanged,
            },
            LimitNotice::Unknown => LimitChange::Unchanged,
        }
    }

    /// Returns the limit that a server named last, if it still does.
    pub fn limit(&self, server: &ServerId) -> Option<RequestLimit> {
        self.limits.get(server).copied()
    }

    /// Returns the number of servers that name a limit.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns whether no server names a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}
