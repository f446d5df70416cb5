//! Seeded request traces with the load patterns of two companies, Gulfwind and Sulh.

use pomelostack_lib::prompt::BlockHash;
use pomelostack_lib::prompt::TOKENS_PER_BLOCK;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Number of race courses; Gulfwind's requests for a course share a context.
const COURSE_COUNT: u32 = 24;
/// Time between two race starts, in milliseconds.
const START_INTERVAL_MS: u64 = 120_000;
/// Time before a race start in which the requests for its courses arrive, in milliseconds.
const BURST_DURATION_MS: u64 = 60_000;
/// Number of courses per race start.
const COURSES_PER_START: u32 = 2;
/// Number of requests per course and race start.
const REQUESTS_PER_COURSE: u32 = 240;
/// Share of Gulfwind's requests that ask for a full briefing, in percent.
const BRIEFING_PERCENT: u32 = 10;
/// Rate of Gulfwind's requests that are independent of race starts, in requests per 1,000 seconds.
const BACKGROUND_REQUESTS_PER_1000_S: u64 = 500;
/// Rate of Sulh's requests, in requests per second.
const SULH_REQUESTS_PER_S: u64 = 10;
/// Time over which the requests for one case file are spread, in milliseconds.
const CASE_SPAN_MS: u64 = 300_000;

/// One request of a trace.
#[derive(Clone, Debug)]
pub struct TraceRequest {
    /// Time of arrival.
    pub at: Timestamp,
    /// Number of the shared context with which the prompt begins.
    pub context: u32,
    /// Tokens of the context.
    pub context_tokens: u32,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Blocks of the whole prompt.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the answer.
    pub answer_tokens: u32,
    /// Index of the team, from 0.
    pub team: usize,
}

impl TraceRequest {
    /// Returns the number of prompt tokens after the context.
    pub fn tail_tokens(&self) -> u32 {
        self.prompt_tokens - self.context_tokens
    }
}

/// A request trace and the size of the fleet that serves it.
#[derive(Clone, Debug)]
pub struct WorkloadTrace {
    /// Name.
    pub name: &'static str,
    /// Number of model servers.
    pub replicas: usize,
    /// Requests in order of arrival.
    pub requests: Vec<TraceRequest>,
}

/// Arrival time and sizes of a generated request.
struct RequestShape {
    at_ms: u64,
    context: u32,
    context_blocks: u32,
    tail_tokens: u32,
    answer_tokens: u32,
}

/// Returns Gulfwind's trace: bursts before race starts, in which many requests share the long
/// context of a course. Most are short questions, some ask for a full briefing.
pub fn gulfwind(seed: u64, starts: u32) -> WorkloadTrace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let blocks: Vec<u32> = (0..COURSE_COUNT).map(|_| rng.random_range(190..380)).collect();
    let mut shapes = Vec::new();
    for start in 0..starts {
        let start_ms = u64::from(start) * START_INTERVAL_MS + BURST_DURATION_MS;
        for race in 0..COURSES_PER_START {
            let course = (start * COURSES_PER_START + race) % COURSE_COUNT;
            for _ in 0..REQUESTS_PER_COURSE {
                // The request rate rises towards the start.
                let before = rng.random::<f64>().powi(2) * BURST_DURATION_MS as f64;
                let at_ms = start_ms - before as u64;
                shapes.push(course_request(&mut rng, at_ms, course, &blocks));
            }
        }
    }
    let background =
        u64::from(starts) * START_INTERVAL_MS / 1_000 * BACKGROUND_REQUESTS_PER_1000_S / 1_000;
    for _ in 0..background {
        let at_ms = rng.random_range(0..u64::from(starts) * START_INTERVAL_MS);
        // Courses of the next races get the most requests.
        let course = (rng.random::<f64>().powi(2) * f64::from(COURSE_COUNT)) as u32;
        shapes.push(course_request(&mut rng, at_ms, course, &blocks));
    }
    build("gulfwind", 10, &mut rng, shapes)
}

fn course_request(rng: &mut ChaCha8Rng, at_ms: u64, course: u32, blocks: &[u32]) -> RequestShape {
    let briefing = rng.random_range(0..100) < BRIEFING_PERCENT;
    RequestShape {
        at_ms,
        context: course,
        context_blocks: blocks[course as usize],
        tail_tokens: rng.random_range(30..120),
        answer_tokens: if briefing { rng.random_range(300..600) } else { rng.random_range(15..60) },
    }
}

/// Returns Sulh's trace: a steady load of short summaries, in which one to five requests share a
/// case file as their context.
pub fn sulh(seed: u64, seconds: u64) -> WorkloadTrace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut shapes = Vec::new();
    let wanted = seconds * SULH_REQUESTS_PER_S;
    for case in 0.. {
        if shapes.len() as u64 >= wanted {
            break;
        }
        let context_blocks = rng.random_range(60..160);
        let first_ms = rng.random_range(0..seconds * 1_000);
        for _ in 0..rng.random_range(1..=5) {
            let at_ms = first_ms + rng.random_range(0..CASE_SPAN_MS);
            shapes.push(RequestShape {
                at_ms,
                context: case,
                context_blocks,
                tail_tokens: rng.random_range(20..80),
                answer_tokens: rng.random_range(40..120),
            });
        }
    }
    build("sulh", 12, &mut rng, shapes)
}

fn build(
    name: &'static str,
    replicas: usize,
    rng: &mut ChaCha8Rng,
    mut shapes: Vec<RequestShape>,
) -> WorkloadTrace {
    shapes.sort_by_key(|shape| shape.at_ms);
    let requests = shapes.iter().enumerate();
    let requests = requests.map(|(index, shape)| build_request(rng, index, shape)).collect();
    WorkloadTrace { name, replicas, requests }
}

fn build_request(rng: &mut ChaCha8Rng, index: usize, shape: &RequestShape) -> TraceRequest {
    let context_tokens = shape.context_blocks * TOKENS_PER_BLOCK as u32;
    let mut hash = mix(u64::from(shape.context) + 1);
    let mut blocks = Vec::new();
    for block in 0..(context_tokens + shape.tail_tokens) / TOKENS_PER_BLOCK as u32 {
        let salt = if block < shape.context_blocks { 0 } else { index as u64 + 1 };
        hash = mix(hash ^ mix(salt));
        blocks.push(BlockHash(hash));
    }
    TraceRequest {
        at: Timestamp::from_millis(shape.at_ms),
        context: shape.context,
        context_tokens,
        prompt_tokens: context_tokens + shape.tail_tokens,
        blocks,
        answer_tokens: shape.answer_tokens,
        // Two of the five teams send 70% of the requests.
        team: match rng.random_range(0..100) {
            0..35 => 0,
            35..70 => 1,
            70..80 => 2,
            80..90 => 3,
            _ => 4,
        },
    }
}

/// Returns the SplitMix64 hash of a number.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
