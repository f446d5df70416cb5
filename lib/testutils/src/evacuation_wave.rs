//! Simulates seeded reclaim waves over a few servers in virtual time, to compare the evacuation
//! planner with a naive policy that resends requests from the start after the servers' shutdown.

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
const SLOTS: u32 = 16;
const CONTEXTS: u64 = 12;
const STEP: Duration = Duration::from_millis(10);
const END: Timestamp = Timestamp::from_millis(120_000);

/// How streams on leaving servers are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WavePolicy {
    /// Moved by the evacuation planner.
    Planned,
    /// Resent from the start after the server's shutdown.
    Resend,
}

/// Cost of a wave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaveCounts {
    /// Tokens that were computed more than once.
    pub recomputed: u64,
    /// Answers that were completed.
    pub finished: u32,
    /// Streams that still ran on their server when it was shut down.
    pub interrupted: u32,
}

#[derive(Clone, Debug)]
struct WaveStream {
    id: RequestId,
    /// Server that runs it, or `None` while it waits for a free slot.
    server: Option<usize>,
    blocks: Vec<BlockHash>,
    prompt: u32,
    generated: u32,
    length: u32,
    /// Target, start and end of a transfer, and the tokens generated before its start (`u32::MAX`
    /// until it starts).
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
    cached: BTreeSet<BlockHash>,
}

/// One seeded reclaim wave.
#[derive(Clone, Debug)]
pub struct EvacuationWave {
    servers: Vec<WaveServer>,
    streams: Vec<WaveStream>,
    /// Zone, time of the notice and time left.
    notices: Vec<(usize, Timestamp, Duration)>,
    counts: WaveCounts,
}

impl EvacuationWave {
    /// Draws a wave that reclaims one zone with a notice time from `notice_ms`, and in half of the
    /// cases a second zone while the first is still leaving.
    pub fn draw(seed: u64, notice_ms: Range<u64>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut keys = SlotMap::<ServerKey, ()>::with_key();
        let server = |_| WaveServer {
            key: keys.insert(()),
            leaves_at: None,
            gone: false,
            cached: BTreeSet::new(),
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
            wave.servers[index % SERVERS].cached.extend(&stream.blocks);
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
        SLOTS.saturating_sub(self.streams.iter().filter(uses).count() as u32)
    }

    fn carry_out_plan(&mut self, now: Timestamp) {
        let servers: Vec<EvacuationServer> = (0..SERVERS)
            .filter(|&server| !self.servers[server].gone)
            .map(|server| EvacuationServer {
                key: self.servers[server].key,
                leaves_at: self.servers[server].leaves_at,
                free_slots: self.free_slots(server),
                cached_blocks: self.servers[server].cached.clone(),
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
                let transfer_time =
                    f64::from(context) / f64::from(RATES.transfer_tokens_per_second);
                let starts_at = ready_at - Duration::from_secs_f64(transfer_time);
                match stream.transfer {
                    Some((current, ..)) if current == target => {}
                    _ => stream.transfer = Some((target, starts_at, ready_at, u32::MAX)),
                }
            }
            EvacuationChoice::Recompute { target } => {
                let target = target.map(find);
                self.streams[index].transfer = None;
                self.resume_at(index, target);
            }
        }
    }

    /// Resumes a stream on the target by recomputing its context. Without a target the stream waits
    /// for a free slot.
    fn resume_at(&mut self, index: usize, target: Option<usize>) {
        let stream = &mut self.streams[index];
        stream.server = target;
        let Some(target) = target else { return };
        let server = &mut self.servers[target];
        let cached = stream.blocks.iter().take_while(|block| server.cached.contains(block)).count();
        let context = stream.prompt + stream.generated;
        self.counts.recomputed += u64::from(context - (cached * TOKENS_PER_BLOCK) as u32);
        server.cached.extend(&stream.blocks);
    }

    fn end_transfers(&mut self, now: Timestamp) {
        for stream in &mut self.streams {
            let Some((target, starts_at, ends_at, _)) = stream.transfer else { continue };
            if let Some((.., exported)) = &mut stream.transfer
                && now >= starts_at
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
                self.counts.interrupted += 1;
                stream.server = None;
                stream.transfer = None;
                if policy == WavePolicy::Resend {
                    self.counts.recomputed += u64::from(stream.generated);
                    stream.generated = 0;
                }
            }
        }
    }

    /// Places each waiting stream on the least loaded server, as the router would.
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

/// Draws a partly generated stream whose prompt is a shared context followed by blocks of its own.
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
