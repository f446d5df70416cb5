//! Measures the demand for each service in tokens per second, over the last seconds.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::capacity::fleet_scaler::TokenDemand;
use crate::gateway::capacity::service_speed::ServiceSpeed;
use crate::ids::ServiceName;
use crate::timestamp::Timestamp;

/// Window over which demand is averaged: long enough for a few large prompts, short compared with
/// the start of a server.
const AVERAGING_WINDOW: Duration = Duration::from_secs(4);

/// Requests within the averaging window, by service.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    services: BTreeMap<ServiceName, VecDeque<(Timestamp, TokenDemand)>>,
}

impl DemandMeter {
    /// Counts a request: its prompt tokens and the tokens to generate.
    pub fn on_request(&mut self, now: Timestamp, service: &ServiceName, tokens: TokenDemand) {
        self.services.entry(service.clone()).or_default().push_back((now, tokens));
    }

    /// Returns the servers that one request per second for a service needs, by the recent ones; `None`
    /// if there are none.
    pub fn servers_per_request(&self, service: &ServiceName, speed: ServiceSpeed) -> Option<f64> {
        let entries = self.services.get(service).filter(|entries| !entries.is_empty())?;
        let sum = entries.iter().fold(TokenDemand::default(), |sum, (_, tokens)| TokenDemand {
            prefill: sum.prefill + tokens.prefill,
            output: sum.output + tokens.output,
        });
        Some(sum.required_servers(speed) / entries.len() as f64)
    }

    /// Returns the demand of each service in tokens per second.
    pub fn rates(&mut self, now: Timestamp) -> BTreeMap<ServiceName, TokenDemand> {
        let seconds = AVERAGING_WINDOW.as_secs_f64();
        let rate = |entries: &mut VecDeque<(Timestamp, TokenDemand)>| {
            while entries.front().is_some_and(|(at, _)| now.since(*at) >= AVERAGING_WINDOW) {
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
