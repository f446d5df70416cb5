//! Messages of a handover on the peer link.

use serde::Deserialize;
use serde::Serialize;

use crate::handover::HANDOVER_VERSION;
use crate::handover::HandoverResult;
use crate::handover::MAX_HANDOVER_BYTES;
use crate::handover::UnfinishedRequest;
use crate::handover::check_version;
use crate::ids::HostId;
use crate::record_bounds::Result;
use crate::record_bounds::decode_bounded;
use crate::record_bounds::encode_bounded;

/// Maximum size of a message in addition to its content, in bytes.
const ENVELOPE_BYTES: usize = 1_024;

/// Content of a message from the draining host to the receiver of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverBody {
    /// Offers the request. The same offer may be sent again.
    Offer(Box<UnfinishedRequest>),
    /// Confirms that the draining host has stopped the request's attempt.
    Confirm,
    /// Final answer of a call that was in flight.
    Result(HandoverResult),
}

/// One message of a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverMessage {
    /// Version of the encoding.
    pub version: u16,
    /// Draining host, which sends the message.
    pub leaver: HostId,
    /// Content.
    pub body: HandoverBody,
}

impl HandoverMessage {
    /// Builds a message of the current version.
    pub fn new(leaver: HostId, body: HandoverBody) -> Self {
        Self { version: HANDOVER_VERSION, leaver, body }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode_bounded(self, MAX_HANDOVER_BYTES + ENVELOPE_BYTES)
    }

    /// Decodes a message and checks its content.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let limit = MAX_HANDOVER_BYTES + ENVELOPE_BYTES;
        let message: Self = decode_bounded(bytes, HANDOVER_VERSION, limit)?;
        match &message.body {
            HandoverBody::Offer(state) => state.check()?,
            HandoverBody::Result(result) => check_version(result.version)?,
            HandoverBody::Confirm => {}
        }
        Ok(message)
    }
}
