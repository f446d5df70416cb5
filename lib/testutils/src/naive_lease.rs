//! Naive version of the lease: the holder computed from the whole history of the stream.

use pomelostack_lib::ids::FencingNumber;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::LogOffset;
use pomelostack_lib::lease_codec::LeaseDuty;
use pomelostack_lib::lease_codec::LeaseRecord;
use pomelostack_lib::lease_codec::LeaseStatement;

/// Returns the holder of a duty after a history that starts with the stream.
pub fn naive_holder(
    duty: LeaseDuty,
    history: &[(LogOffset, LeaseRecord)],
) -> Option<(FencingNumber, HostId)> {
    let records: Vec<_> = history.iter().filter(|(_, record)| record.duty == duty).collect();
    let mut holder = None;
    for (index, (offset, record)) in records.iter().enumerate() {
        match record.statement {
            LeaseStatement::Acquire { basis } => {
                let blocked = records[..index].iter().any(|(earlier, _)| *earlier >= basis);
                if !blocked {
                    holder = Some((FencingNumber(offset.0), record.host.clone()));
                }
            }
            LeaseStatement::Renew(_) => {}
            LeaseStatement::Release(fence) => {
                holder = holder.filter(|(current, _)| *current != fence);
            }
        }
    }
    holder
}
