//! Reaches the weight store over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::http_edge::EdgeLimits;
use crate::http_edge::HttpAnswer;
use crate::http_edge::HttpEdge;
use crate::http_edge::HttpError;
use crate::weight_store::Result;
use crate::weight_store::WeightError;
use crate::weight_store::WeightStore;

/// Body of `POST /reserve` and `POST /size`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightQuery {
    /// Name of the weights.
    pub weights: String,
}

/// Answer to `POST /reserve`: with status 200 the transfer's duration, with status 429 the time
/// until the store has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightTime {
    /// Time in milliseconds.
    pub millis: u64,
}

/// Answer to `POST /size`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightSize {
    /// Size in bytes.
    pub bytes: u64,
}

/// The weight store at one address.
pub struct WeightStoreClient {
    edge: HttpEdge,
}

impl WeightStoreClient {
    /// Builds a client; no connection is opened yet.
    pub fn new(address: SocketAddr, limits: EdgeLimits) -> Self {
        Self { edge: HttpEdge::new(address, limits) }
    }

    /// Drops idle connections, so that later calls open new ones.
    pub fn retire_connections(&self) {
        self.edge.retire_connections();
    }

    fn ask(&self, path: &str, weights: &str) -> Result<HttpAnswer> {
        let query = WeightQuery { weights: weights.to_owned() };
        let answer = self.edge.post_json(path, &query).map_err(failed)?;
        match answer.status {
            200 => Ok(answer),
            404 => Err(WeightError::UnknownWeights(weights.to_owned())),
            429 => Err(WeightError::RateLimited(duration_of(&answer)?)),
            _ => Err(WeightError::Failed(answer.summary())),
        }
    }
}

impl WeightStore for WeightStoreClient {
    fn reserve(&self, weights: &str) -> Result<Duration> {
        duration_of(&self.ask("/reserve", weights)?)
    }

    fn size_bytes(&self, weights: &str) -> Result<u64> {
        let size = self.ask("/size", weights)?.json::<WeightSize>();
        size.map(|size| size.bytes).map_err(failed)
    }
}

fn duration_of(answer: &HttpAnswer) -> Result<Duration> {
    let time = answer.json::<WeightTime>().map_err(failed)?;
    Ok(Duration::from_millis(time.millis))
}

fn failed(error: HttpError) -> WeightError {
    WeightError::Failed(error.to_string())
}
