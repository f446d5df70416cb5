//! Seeded reclaim waves over a few servers in virtual time: the evacuation planner against the
//! naive policy, which waits for the servers' end and sends the requests again from the start.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use pomelostack_lib::evacuation::EvacuationChoice;
use pomelostack_lib::evacuation::EvacuationRates;
use pomelostack_lib::evacuation::EvacuationServer;
use pomelostack_lib::evacuation::EvacuationStream;
use pomelostack_lib::evacuation::plan_evacuation;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ServerKey;
use pomelostack_lib::prompt::BlockHash;
use pomelostack_lib::prompt::TOKENS_PER_BLOCK;
use pomelostack_lib::timestamp::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

/// Rates of the servers.
pub const RATES: EvacuationRates =
    EvacuationRates { token_time: Duration::from_millis(30), transfer_tokens_per_second: 10_000 };

const SERVERS: usize = 12;
const ZONES: usize = 4;
const PLACES: u32 = 16;
const CONTEXTS: u64 = 12;
const STEP: Duration = Duration::from_millis(10);
const END: Timestamp = Timestamp::from_millis(120_000);

/// How requests survive a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WavePolicy {
    /// By the evacuation planner.
    Planned,
    /// Sent again from the start after the server's end.
    Resend,
}

/// What a wave cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaveCounts {
    /// Tokens computed that had been computed before.
    pub recomputed: u64,
    /// Answers that ended.
    pub finished: u32,
    /// Streams that no choice had saved when their server ended.
    pub caught: u32,
}

#[derive(Clone, Debug)]
struct WaveStream {
    id: RequestId,
    /// Server that runs it, unless it waits for a place.
    server: Option<usize>,
    blocks: Vec<BlockHash>,
    prompt: u32,
    generated: u32,
    length: u32,
    /// Target, begin and end of a transfer, and the output at its begin.
    transfer: Option<(usize, Timestamp, Timestamp, u32)>,
    next_token: Timestamp,
}

impl WaveStream {
    fn is_done(&self) -> bool {
        self.generated >= self.length
    }
}

#[derive(Clone, Debug)]
struct WaveServer {
    key: ServerKey,
    leaves_at: Option<Timestamp>,
    gone: bool,
    warm: BTreeSet<BlockHash>,
}

/// One seeded wave.
#[derive(Clone, Debug)]
pub struct EvacuationWave {
    servers: Vec<WaveServer>,
    streams: Vec<WaveStream>,
    /// Zone, time of the notice and time left.
    notices: Vec<(usize, Timestamp, Duration)>,
    counts: WaveCounts,
}

impl EvacuationWave {
    /// Draws a wave with `notice_ms` of notice: one zone, and in half of the cases a second one
    /// while the first still leaves.
    pub fn draw(seed: u64, notice_ms: Range<u64>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut keys = SlotMap::<ServerKey, ()>::with_key();
        let server = |_| WaveServer {
            key: keys.insert(()),
            leaves_at: None,
            gone: false,
            warm: BTreeSet::new(),
        };
        let mut wave = Self {
            servers: (0..SERVERS).map(server).collect(),
            streams: Vec::new(),
            notices: Vec::new(),
            counts: WaveCounts::default(),
        };
        let per_server = rng.random_range(3..=10);
        for index in 0..SERVERS * per_server {
            let stream = draw_stream(&mut rng, index, index % SERVERS);
            wave.servers[index % SERVERS].warm.extend(&stream.blocks);
            wave.streams.push(stream);
        }
        let at = Timestamp::from_millis(1_000);
        let left = Duration::from_millis(rng.random_range(notice_ms));
        let zone = rng.random_range(0..ZONES);
        wave.notices.push((zone, at, left));
        if rng.random_bool(0.5) {
            let second = (zone + rng.random_range(1..ZONES)) % ZONES;
            wave.notices.push((second, at + left / 2, left));
        }
        wave
    }

    /// Plays the wave to its end.
    pub fn play(mut self, policy: WavePolicy) -> WaveCounts {
        let mut now = Timestamp::default();
        while now < END && self.streams.iter().any(|stream| !stream.is_done()) {
            if self.take_notices(now) && policy == WavePolicy::Planned {
                self.carry_out_plan(now);
            }
            self.end_transfers(now);
            self.end_servers(now, policy);
            self.place_waiting();
            self.generate(now);
            now = now + STEP;
        }
        self.counts.finished = self.streams.iter().filter(|s| s.is_done()).count() as u32;
        self.counts
    }

    fn take_notices(&mut self, now: Timestamp) -> bool {
        let due: Vec<_> = self.notices.extract_if(.., |(_, at, _)| *at <= now).collect();
        for &(zone, _, left) in &due {
            for server in (0..SERVERS).filter(|server| server % ZONES == zone) {
                self.servers[server].leaves_at.get_or_insert(now + left);
            }
        }
        !due.is_empty()
    }

    fn free_slots(&self, server: usize) -> u32 {
        let uses = |stream: &&WaveStream| {
            let arriving = stream.transfer.is_some_and(|(target, ..)| target == server);
            !stream.is_done() && (stream.server == Some(server) || arriving)
        };
        PLACES.saturating_sub(self.streams.iter().filter(uses).count() as u32)
    }

    fn carry_out_plan(&mut self, now: Timestamp) {
        let servers: Vec<EvacuationServer> = (0..SERVERS)
            .filter(|&server| !self.servers[server].gone)
            .map(|server| EvacuationServer {
                key: self.servers[server].key,
                leaves_at: self.servers[server].leaves_at,
                free_slots: self.free_slots(server),
                cached_blocks: self.servers[server].warm.clone(),
            })
            .collect();
        let streams: Vec<EvacuationStream> = self
            .streams
            .iter()
            .filter(|stream| !stream.is_done())
            .filter_map(|stream| {
                Some(EvacuationStream {
                    request: stream.id,
                    server: self.servers[stream.server?].key,
                    blocks: stream.blocks.clone(),
                    context_tokens: stream.prompt + stream.generated,
                    remaining_tokens: stream.length - stream.generated,
                    repeatable: true,
                    transfer: stream
                        .transfer
                        .map(|(target, _, end, _)| (self.servers[target].key, end)),
                })
            })
            .collect();
        for planned in plan_evacuation(now, &servers, &streams, RATES) {
            let index = self.streams.iter().position(|s| s.id == planned.request).unwrap();
            self.carry_out(index, planned.choice);
        }
    }

    fn carry_out(&mut self, index: usize, choice: EvacuationChoice) {
        let find = |key| self.servers.iter().position(|server| server.key == key).unwrap();
        match choice {
            EvacuationChoice::FinishInPlace => self.streams[index].transfer = None,
            EvacuationChoice::Transfer { target, ready_at } => {
                let target = find(target);
                let stream = &mut self.streams[index];
                let context = stream.prompt + stream.generated;
                let takes = f64::from(context) / f64::from(RATES.transfer_tokens_per_second);
                let begins_at = ready_at - Duration::from_secs_f64(takes);
                match stream.transfer {
                    Some((in_progress, ..)) if in_progress == target => {}
                    _ => stream.transfer = Some((target, begins_at, ready_at, u32::MAX)),
                }
            }
            EvacuationChoice::Recompute { target } => {
                let target = target.map(find);
                self.streams[index].transfer = None;
                self.resume_at(index, target);
            }
        }
    }

    /// Resumes a stream by computing its context; without a target it waits for a place.
    fn resume_at(&mut self, index: usize, target: Option<usize>) {
        let stream = &mut self.streams[index];
        stream.server = target;
        let Some(target) = target else { return };
        let server = &mut self.servers[target];
        let warm = stream.blocks.iter().take_while(|block| server.warm.contains(block)).count();
        let context = stream.prompt + stream.generated;
        self.counts.recomputed += u64::from(context - (warm * TOKENS_PER_BLOCK) as u32);
        server.warm.extend(&stream.blocks);
    }

    fn end_transfers(&mut self, now: Timestamp) {
        for stream in &mut self.streams {
            let Some((target, begins_at, ends_at, _)) = stream.transfer else { continue };
            if let Some((.., exported)) = &mut stream.transfer
                && now >= begins_at
                && *exported == u32::MAX
            {
                *exported = stream.generated;
            }
            if now < ends_at || self.servers[target].gone {
                continue;
            }
            let exported = stream.transfer.map_or(0, |(.., exported)| exported);
            self.counts.recomputed += u64::from(stream.generated - exported.min(stream.generated));
            stream.server = Some(target);
            stream.transfer = None;
        }
    }

    fn end_servers(&mut self, now: Timestamp, policy: WavePolicy) {
        for server in 0..SERVERS {
            if self.servers[server].leaves_at.is_none_or(|at| now < at) {
                continue;
            }
            self.servers[server].gone = true;
            for stream in self.streams.iter_mut().filter(|s| s.server == Some(server)) {
                if stream.is_done() {
                    continue;
                }
                self.counts.caught += 1;
                stream.server = None;
                stream.transfer = None;
                if policy == WavePolicy::Resend {
                    self.counts.recomputed += u64::from(stream.generated);
                    stream.generated = 0;
                }
            }
        }
    }

    /// Streams without a server take the least loaded one, as the router would.
    fn place_waiting(&mut self) {
        for index in 0..self.streams.len() {
            if self.streams[index].server.is_some() || self.streams[index].is_done() {
                continue;
            }
            let staying = (0..SERVERS).filter(|&s| self.servers[s].leaves_at.is_none());
            let best = staying.max_by_key(|&s| (self.free_slots(s), std::cmp::Reverse(s)));
            if let Some(server) = best.filter(|&server| self.free_slots(server) > 0) {
                self.resume_at(index, Some(server));
            }
        }
    }

    fn generate(&mut self, now: Timestamp) {
        for stream in self.streams.iter_mut().filter(|s| s.server.is_some()) {
            if !stream.is_done() && now >= stream.next_token {
                stream.generated += 1;
                stream.next_token = now + RATES.token_time;
            }
        }
    }
}

/// Draws a stream in the middle of its answer: a shared context, words of its own, an answer.
fn draw_stream(rng: &mut ChaCha8Rng, index: usize, server: usize) -> WaveStream {
    let context = rng.random_range(0..CONTEXTS);
    let context_blocks = 40 + 20 * (context % 6);
    let own_blocks = rng.random_range(2..30);
    let shared = (0..context_blocks).map(|n| BlockHash(context * 1_000 + n));
    let own = (0..own_blocks).map(|n| BlockHash(1_000_000 + index as u64 * 100 + n));
    let blocks: Vec<BlockHash> = shared.chain(own).collect();
    let length = rng.random_range(50..1_500);
    WaveStream {
        id: RequestId { origin: 1, sequence: index as u64 },
        server: Some(server),
        prompt: (blocks.len() * TOKENS_PER_BLOCK) as u32,
        blocks,
        generated: rng.random_range(0..length),
        length,
        transfer: None,
        next_token: Timestamp::default(),
    }
}
