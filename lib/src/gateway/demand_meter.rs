//! Tokens per second that callers asked of each service in the last seconds.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::fleet_scaler::TokenDemand;
use crate::ids::ServiceName;
use crate::timestamp::Timestamp;

/// Time over which demand is averaged: long enough for a few large prompts, short against the start
/// of a server.
const AVERAGE_TIME: Duration = Duration::from_secs(4);

/// Requests of the last seconds, by service.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    services: BTreeMap<ServiceName, VecDeque<(Timestamp, TokenDemand)>>,
}

impl DemandMeter {
    /// Counts a request: the prompt tokens that a server has to read and those that it generates.
    pub fn on_request(&mut self, now: Timestamp, service: &ServiceName, tokens: TokenDemand) {
        self.services.entry(service.clone()).or_default().push_back((now, tokens));
    }

    /// Returns the demand of each service.
    pub fn rates(&mut self, now: Timestamp) -> BTreeMap<ServiceName, TokenDemand> {
        let seconds = AVERAGE_TIME.as_secs_f64();
        let rate = |entries: &mut VecDeque<(Timestamp, TokenDemand)>| {
            while entries.front().is_some_and(|(at, _)| now.since(*at) >= AVERAGE_TIME) {
                entries.pop_front();
            }
            entries.iter().fold(TokenDemand::default(), |sum, (_, tokens)| TokenDemand {
                prefill: sum.prefill + tokens.prefill / seconds,
                output: sum.output + tokens.output / seconds,
            })
        };
        self.services.iter_mut().map(|(name, entries)| (name.clone(), rate(entries))).collect()
    }
}
