//! Translates what hosts tell one another of crashes, and what they record of it.

use std::time::Duration;

use crate::gateway::gateway_state::GatewayState;
use crate::gateway::gateway_state::VerdictSource;
use crate::ids::ServerId;
use crate::part_suspects::AnswerProgress;
use crate::part_suspects::LossSource;
use crate::part_suspects::LostRequest;
use crate::protos::gateway::ClearedPart;
use crate::protos::gateway::CrashSight;
use crate::protos::gateway::CrashVerdict;
use crate::protos::gateway::LostWork;
use crate::timestamp::Timestamp;
use crate::verdict_table::PartVerdict;
use crate::verdict_table::VerdictState;
use crate::work_parts::WorkPart;
use crate::work_parts::WorkParts;

/// Maximum number of entries taken from each list of a summary.
const MAX_NEWS: usize = 64;

/// What a summary says of crashes.
#[derive(Clone, Debug, Default)]
pub struct CrashNews {
    /// Crashes that its sender saw.
    pub crashes: Vec<CrashSight>,
    /// Parts that its sender had answered.
    pub cleared_parts: Vec<ClearedPart>,
    /// Verdicts that its sender knows.
    pub verdicts: Vec<CrashVerdict>,
}

impl CrashNews {
    /// Builds the news of summary number `sequence`.
    pub fn recent(state: &GatewayState, now: Timestamp, sequence: u64) -> Self {
        let crashes = state.crashes.borrow();
        let sights = crashes.recent_crashes().map(|crash| CrashSight {
            server: crash.server.to_string(),
            age_ms: encode_millis(now.since(crash.at)),
            requests: crash
                .lost
                .iter()
                .map(|lost| LostWork {
                    parts: encode_parts(&lost.parts),
                    ran_ms: encode_millis(crash.at.since(lost.began_at)),
                    going_on: lost.progress == AnswerProgress::GoingOn,
                })
                .collect(),
        });
        let cleared = crashes
            .recent_cleared()
            .map(|(part, at)| ClearedPart { part: part.0, age_ms: encode_millis(now.since(at)) });
        Self {
            crashes: sights.collect(),
            cleared_parts: cleared.collect(),
            verdicts: crashes
                .told_verdicts(now, sequence)
                .into_iter()
                .map(encode_verdict)
                .collect(),
        }
    }
}

/// Merges a peer's news.
pub fn apply_crash_news(state: &GatewayState, news: &CrashNews) {
    let now = state.now();
    news.crashes.iter().take(MAX_NEWS).for_each(|sight| apply_sight(state, now, sight));
    {
        let mut crashes = state.crashes.borrow_mut();
        for cleared in news.cleared_parts.iter().take(MAX_NEWS) {
            let at = now - Duration::from_millis(u64::from(cleared.age_ms));
            crashes.suspects_mut().clear(at, WorkPart(cleared.part));
        }
    }
    for verdict in news.verdicts.iter().take(MAX_NEWS) {
        state.merge_verdict(decode_verdict(verdict), VerdictSource::Peer);
    }
}

fn apply_sight(state: &GatewayState, now: Timestamp, sight: &CrashSight) {
    let server = match ServerId::try_from(sight.server.as_str()) {
        Ok(server) => server,
        Err(error) => {
            log::warn!("event=crash_sight_skipped code=404 detail=\"{error}\"");
            return;
        }
    };
    let at = now - Duration::from_millis(u64::from(sight.age_ms));
    let lost = sight.requests.iter().map(|work| LostRequest {
        parts: decode_parts(&work.parts),
        began_at: at - Duration::from_millis(u64::from(work.ran_ms)),
        source: LossSource::Peer,
        progress: match work.going_on {
            true => AnswerProgress::GoingOn,
            false => AnswerProgress::Beginning,
        },
    });
    state.crashes.borrow_mut().suspects_mut().on_crash(now, at, &server, lost);
}

/// Encodes a verdict for a summary or a record.
pub fn encode_verdict(verdict: &PartVerdict) -> CrashVerdict {
    CrashVerdict {
        parts: encode_parts(&verdict.parts),
        lifted: verdict.state == VerdictState::Lifted,
        changed_ms: verdict.changed_ms,
        crashes: verdict.crashes,
    }
}

/// Decodes a verdict.
pub fn decode_verdict(verdict: &CrashVerdict) -> PartVerdict {
    let state = if verdict.lifted { VerdictState::Lifted } else { VerdictState::InForce };
    let CrashVerdict { changed_ms, crashes, .. } = *verdict;
    PartVerdict { parts: decode_parts(&verdict.parts), state, changed_ms, crashes }
}

fn encode_parts(parts: &WorkParts) -> Vec<u64> {
    parts.iter().map(|part| part.0).collect()
}

fn decode_parts(parts: &[u64]) -> WorkParts {
    parts.iter().map(|part| WorkPart(*part)).collect()
}

fn encode_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
