//! Messages of a handover, as they travel over the peer link.

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

/// Bytes of an envelope besides its content, at most.
const ENVELOPE_BYTES: usize = 1_024;

/// What a leaver tells its taker about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverBody {
    /// The request is offered; the same offer may come again.
    Offer(Box<UnfinishedRequest>),
    /// The leaver has stopped the request's attempt.
    Confirm,
    /// The final answer of a call that was in flight.
    Result(HandoverResult),
}

/// One message of a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverMessage {
    /// Version of the encoding.
    pub version: u16,
    /// Host that leaves.
    pub leaver: HostId,
    /// Content.
    pub body: HandoverBody,
}

impl HandoverMessage {
    /// Builds a message of the version that this program writes.
    pub fn new(leaver: HostId, body: HandoverBody) -> Self {
        Self { version: HANDOVER_VERSION, leaver, body }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode_bounded(self, MAX_HANDOVER_BYTES + ENVELOPE_BYTES)
    }

    /// Decodes a message and checks what it carries.
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
