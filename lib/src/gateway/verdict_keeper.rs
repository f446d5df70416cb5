//! Keeps verdicts on requests that crash servers in the store, so that they outlive a loss of all
//! hosts.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use prost::Message as _;

use crate::gateway::crash_news::decode_verdict;
use crate::gateway::crash_news::encode_verdict;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::gateway_state::VerdictSource;
use crate::gateway::platform_api::ControlStore;
use crate::gateway::store_follower::Backoff;
use crate::gateway::store_follower::DependencyWatch;
use crate::ids::StoreEra;
use crate::protos::gateway::VerdictList;
use crate::timestamp::wall_clock_ms;
use crate::verdict_table::PartVerdict;
use crate::verdict_table::VERDICT_RETENTION;
use crate::work_parts::WorkParts;

/// Time between two checks whether verdicts must be recorded.
const CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Time between two reads of the record while verdicts are in force: an operator may lift one.
const READ_PERIOD: Duration = Duration::from_secs(60);

/// Time after which an unchanged record is written again. Old records are ignored.
const REFRESH_PERIOD: Duration = Duration::from_secs(1_200);

/// What this host last wrote.
struct WrittenRecord {
    /// Parts of its verdicts, and when they changed.
    verdicts: BTreeSet<(WorkParts, u64)>,
    era: StoreEra,
    written_ms: u64,
}

/// Reads the recorded verdicts, then records changes. One host records for all, since all hosts tell
/// one another what they know.
pub async fn keep_verdicts<S: ControlStore>(state: Rc<GatewayState>, store: Rc<S>) {
    let mut pause = Backoff::default();
    let mut reads = DependencyWatch::new("list_verdicts");
    while !read_verdicts(&state, &*store, &mut reads).await {
        pause.wait().await;
    }
    pause.reset();
    let mut writes = DependencyWatch::new("record_verdicts");
    let mut written: Option<WrittenRecord> = None;
    let mut read_at = state.now();
    loop {
        let era = written.as_ref().map(|record| record.era);
        tokio::select! {
            () = state.verdict_hint.notified() => {}
            () = state.store_era.wait_for_restore(era), if era.is_some() => {}
            () = tokio::time::sleep(CHECK_PERIOD) => {}
        }
        let now = state.now();
        let is_empty = state.crashes.borrow().suspects().verdicts().is_empty();
        if is_empty || !state.peers.borrow().is_first_live(now) {
            continue;
        }
        if now.since(read_at) >= READ_PERIOD {
            read_at = now;
            read_verdicts(&state, &*store, &mut reads).await;
        }
        if !must_write(&state, written.as_ref()) {
            continue;
        }
        let list = known_verdicts(&state);
        let verdicts = list.iter().map(|known| (known.parts.clone(), known.changed_ms)).collect();
        let written_ms = wall_clock_ms();
        let record = VerdictList {
            verdicts: list.iter().map(encode_verdict).collect(),
            wall_ms: written_ms,
        };
        let outcome = store.record_verdicts(record.encode_to_vec()).await;
        writes.record(&state, &outcome);
        match outcome {
            Ok(era) => {
                state.observe_era(era);
                written = Some(WrittenRecord { verdicts, era, written_ms });
                pause.reset();
            }
            Err(_) => pause.wait().await,
        }
    }
}

fn known_verdicts(state: &GatewayState) -> Vec<PartVerdict> {
    let crashes = state.crashes.borrow();
    crashes.suspects().verdicts().records().map(|record| record.verdict.clone()).collect()
}

fn must_write(state: &GatewayState, written: Option<&WrittenRecord>) -> bool {
    let Some(written) = written else { return true };
    let age = Duration::from_millis(wall_clock_ms().saturating_sub(written.written_ms));
    let crashes = state.crashes.borrow();
    let is_known = |verdict: &PartVerdict| {
        written.verdicts.contains(&(verdict.parts.clone(), verdict.changed_ms))
    };
    age >= REFRESH_PERIOD
        || state.store_era.current().is_some_and(|era| era != written.era)
        || !crashes.suspects().verdicts().records().all(|record| is_known(&record.verdict))
}

/// Merges the recorded verdicts. Returns whether they could be read.
async fn read_verdicts<S: ControlStore>(
    state: &GatewayState,
    store: &S,
    watch: &mut DependencyWatch,
) -> bool {
    let outcome = store.list_verdicts().await;
    watch.record(state, &outcome);
    let Ok(records) = outcome else { return false };
    let wall_ms = wall_clock_ms();
    for record in records {
        let Ok(list) = VerdictList::decode(record.as_slice()) else {
            log::warn!("event=verdict_record_skipped code=601");
            continue;
        };
        let age = Duration::from_millis(wall_ms.saturating_sub(list.wall_ms));
        if age < VERDICT_RETENTION {
            for verdict in &list.verdicts {
                state.merge_verdict(decode_verdict(verdict), VerdictSource::Store);
            }
        }
    }
    true
}
