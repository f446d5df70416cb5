//! Measures tokens recomputed after seeded waves of host reclaims: the evacuation planner compared
//! with resending every request from the start.

use std::ops::Range;

use serde::Serialize;
use testutils::evacuation_wave::EvacuationWave;
use testutils::evacuation_wave::WavePolicy;

/// Waves per notice range.
const WAVES: u64 = 200;

/// Ranges of the time between notice and reclaim, in milliseconds.
const NOTICES_MS: [Range<u64>; 3] = [200..1_000, 1_000..5_000, 200..15_000];

#[derive(Serialize)]
struct WaveLine {
    case: &'static str,
    notice_ms: Range<u64>,
    seed: u64,
    waves: u64,
    naive_tokens: u64,
    tokens: u64,
    ratio: f64,
    target_ratio: f64,
    naive_finished: u64,
    finished: u64,
    caught: u64,
}

/// Simulates the waves with seeds from `seed` on, and prints one line for each notice range.
pub fn run(seed: u64) {
    for notice_ms in NOTICES_MS {
        match serde_json::to_string(&measure(seed, notice_ms)) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("evacuation: {error}"),
        }
    }
}

fn measure(seed: u64, notice_ms: Range<u64>) -> WaveLine {
    let mut line = WaveLine {
        case: "evacuation",
        notice_ms: notice_ms.clone(),
        seed,
        waves: WAVES,
        naive_tokens: 0,
        tokens: 0,
        ratio: 0.0,
        target_ratio: 0.25,
        naive_finished: 0,
        finished: 0,
        caught: 0,
    };
    for wave in seed..seed + WAVES {
        let drawn = EvacuationWave::draw(wave, notice_ms.clone());
        let resent = drawn.clone().play(WavePolicy::Resend);
        let planned = drawn.play(WavePolicy::Planned);
        line.naive_tokens += resent.recomputed;
        line.tokens += planned.recomputed;
        line.naive_finished += u64::from(resent.finished);
        line.finished += u64::from(planned.finished);
        line.caught += u64::from(planned.interrupted);
    }
    line.ratio = line.tokens as f64 / line.naive_tokens as f64;
    line
}
