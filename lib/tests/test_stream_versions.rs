//! Streams go on at the software version that began them: all orders of steps in small worlds, and
//! random ones in large fleets.

use std::collections::HashSet;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use testutils::version_world::VersionWorld;
use testutils::version_world::WorldStep;

/// Streams that begin in a small world.
const SMALL_STREAMS: usize = 2;

/// Hosts that make most of the steps of a large world.
const BUSY_HOSTS: usize = 5;

/// Returns the steps of a small world.
fn small_steps(hosts: usize, versions: usize) -> Vec<WorldStep> {
    let mut steps = vec![
        WorldStep::CarryOutLate,
        WorldStep::CarryOutBase,
        WorldStep::KillAll,
        WorldStep::PassSeconds,
        WorldStep::PassLife,
    ];
    steps.extend((0..versions).map(WorldStep::Release));
    for host in 0..hosts {
        steps.extend([
            WorldStep::ReadDirectory(host),
            WorldStep::Record(host),
            WorldStep::LoseRecord(host),
            WorldStep::ReadRecords(host),
            WorldStep::ProposeBase(host),
            WorldStep::AppendBase(host),
            WorldStep::Start(host),
        ]);
        steps.extend((0..versions).map(|version| WorldStep::Send(host, version)));
        steps.extend((0..SMALL_STREAMS).map(|stream| WorldStep::TakeUp(host, stream)));
    }
    for stream in 0..SMALL_STREAMS {
        steps.push(WorldStep::RelayFirst(stream));
        steps.extend((0..versions).map(|version| WorldStep::Resend(stream, version)));
    }
    steps
}

/// Makes all orders of a number of steps; returns how many worlds there were.
fn explore(world: VersionWorld, steps: &[WorldStep], depth: usize) -> usize {
    let mut seen = HashSet::new();
    let mut worlds = vec![(world, Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in worlds {
            for step in steps {
                let is_new_stream = matches!(step, WorldStep::Send(..));
                if !world.allows(*step) || is_new_stream && world.stream_count() >= SMALL_STREAMS {
                    continue;
                }
                let mut after = world.clone();
                let mut path: Vec<WorldStep> = path.clone();
                path.push(*step);
                if let Err(joined) = after.try_apply(*step) {
                    panic!("{joined:?} after {path:?}");
                }
                if seen.insert(*blake3::hash(format!("{after:?}").as_bytes()).as_bytes()) {
                    next.push((after, path));
                }
            }
        }
        worlds = next;
    }
    seen.len()
}

/// Steps that lead to worlds in which much may go wrong within a few more steps.
fn prefix(name: &str) -> Vec<WorldStep> {
    use WorldStep::*;
    let both_known = [Release(1), ReadDirectory(0), ReadDirectory(1)];
    let begun = [Send(0, 1), Record(0), RelayFirst(0)];
    let first_gone = [Release(0), PassLife, PassLife];
    let rest: &[&[WorldStep]] = match name {
        "no_base" | "quiet" => &[],
        "both_known" => &[&both_known],
        "one_knows" => &[&[Release(1), ReadDirectory(0)]],
        "begun" => &[&both_known, &begun],
        "tried" => &[&both_known, &[Send(0, 1), LoseRecord(0)]],
        "first_gone" => &[&both_known, &first_gone, &begun],
        "base_decided" => &[&both_known, &first_gone, &[ProposeBase(0), Record(0)], &begun],
        "base_changed" => &[
            &both_known,
            &first_gone,
            &[ProposeBase(0), Record(0), AppendBase(0), CarryOutBase],
            &begun,
        ],
        "first_is_back" => &[
            &both_known,
            &first_gone,
            &[ProposeBase(0), Record(0), AppendBase(0), CarryOutBase, Release(0)],
            &[Send(0, 1), RelayFirst(0)],
        ],
        "decided_and_back" => &[&both_known, &first_gone, &[ProposeBase(0), Record(0), Release(0)]],
        "all_lost" => &[&both_known, &begun, &[KillAll, Start(0), ReadDirectory(0)]],
        "host_lost" => &[&both_known, &begun, &[Kill(0), Start(0), ReadDirectory(0)]],
        _ => panic!("no prefix {name}"),
    };
    rest.concat()
}

/// All orders of a few steps, from worlds in which much may go wrong.
#[rstest]
fn small_worlds(
    #[values(1, 2)] hosts: usize,
    #[values(
        "no_base",
        "quiet",
        "both_known",
        "one_knows",
        "begun",
        "tried",
        "first_gone",
        "base_decided",
        "base_changed",
        "first_is_back",
        "decided_and_back",
        "all_lost",
        "host_lost"
    )]
    name: &str,
) {
    let mut world = match name {
        "no_base" => VersionWorld::without_base(hosts, 2),
        _ => VersionWorld::new(hosts, 2),
    };
    let steps = prefix(name).into_iter().filter(|step| world_has(hosts, *step));
    for step in steps {
        if world.allows(step) {
            world.apply(step);
        }
    }
    let depth = if hosts == 1 { 6 } else { 4 };
    let count = explore(world, &small_steps(hosts, 2), depth);
    assert!(count > 1_000, "{count} worlds");
}

fn world_has(hosts: usize, step: WorldStep) -> bool {
    !matches!(step, WorldStep::ReadDirectory(host) if host >= hosts)
}

/// How a random world moves.
struct WorldPace {
    hosts: usize,
    versions: usize,
    steps: usize,
}

/// Returns a random step; calm ones come more often.
fn random_step(random: &mut ChaCha8Rng, pace: &WorldPace, streams: usize) -> WorldStep {
    // Some hosts are busier than others.
    let busy = if random.random_bool(0.7) { pace.hosts.min(BUSY_HOSTS) } else { pace.hosts };
    let host = random.random_range(0..busy);
    let version = random.random_range(0..pace.versions);
    // Streams that began lately.
    let stream = streams.saturating_sub(1 + random.random_range(0..12));
    match random.random_range(0..1_000) {
        0..20 => WorldStep::Release(version),
        20..120 => WorldStep::ReadDirectory(host),
        120..200 => WorldStep::HearDirectory(host, random.random_range(0..pace.hosts)),
        200..300 => WorldStep::Send(host, version),
        300..310 => WorldStep::Resend(stream, version),
        310..480 => WorldStep::RelayFirst(stream),
        480..600 => WorldStep::Record(host),
        600..610 => WorldStep::RefuseRecord(host),
        610..630 => WorldStep::LoseRecord(host),
        630..645 => WorldStep::CarryOutLate,
        645..665 => WorldStep::ReadRecords(host),
        665..675 => WorldStep::BeginRead(host),
        675..685 => WorldStep::EndRead(host),
        685..700 => WorldStep::ProposeBase(host),
        700..705 => WorldStep::AppendBase(host),
        705..710 => WorldStep::CarryOutBase,
        710..850 => WorldStep::TakeUp(host, stream),
        850..855 => WorldStep::Kill(host),
        855..857 => WorldStep::KillAll,
        857..915 => WorldStep::Start(host),
        915..922 => WorldStep::Cut(host),
        922..924 => WorldStep::CopyStore,
        924..925 => WorldStep::RestoreStore,
        925..950 => WorldStep::PassSeconds,
        _ if random.random_bool(0.08) => WorldStep::PassLife,
        _ => WorldStep::ReadDirectory(host),
    }
}

/// Returns whether a path still ends with a joined stream. Steps that are not allowed are left out.
fn joins(start: &VersionWorld, path: &[WorldStep]) -> bool {
    let mut world = start.clone();
    path.iter().any(|step| {
        let is_new_stream = matches!(step, WorldStep::Send(..));
        let step = if is_new_stream && !world.allows(*step) { WorldStep::NoStream } else { *step };
        world.allows(step) && world.try_apply(step).is_err()
    })
}

/// Leaves out the steps of a path that are not needed for a joined stream.
fn shrink(start: &VersionWorld, mut path: Vec<WorldStep>) -> Vec<WorldStep> {
    let mut index = 0;
    while index < path.len() {
        let mut shorter = path.clone();
        match shorter[index] {
            WorldStep::Send(..) => shorter[index] = WorldStep::NoStream,
            WorldStep::NoStream => {
                index += 1;
                continue;
            }
            _ => drop(shorter.remove(index)),
        }
        match joins(start, &shorter) {
            true => (path, index) = (shorter, 0),
            false => index += 1,
        }
    }
    path
}

/// Hosts with late and lost news, lists without an answer, losses of all hosts, and a store that comes back
/// from copies.
#[rstest]
#[case(WorldPace { hosts: 8, versions: 2, steps: 3_000 }, 40)]
#[case(WorldPace { hosts: 8, versions: 4, steps: 3_000 }, 40)]
#[case(WorldPace { hosts: 84, versions: 3, steps: 6_000 }, 8)]
#[case(WorldPace { hosts: 295, versions: 3, steps: 8_000 }, 4)]
fn random_worlds(#[case] pace: WorldPace, #[case] seeds: u64) {
    let (mut begun, mut elsewhere, mut traced, mut refused, mut changes) = (0, 0, 0, 0, 0);
    for seed in 0..seeds {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut world = VersionWorld::new(pace.hosts, pace.versions);
        let mut path = Vec::new();
        for number in 0..pace.steps {
            let step = random_step(&mut random, &pace, world.stream_count());
            if !world.allows(step) {
                continue;
            }
            path.push(step);
            if let Err(joined) = world.try_apply(step) {
                let start = VersionWorld::new(pace.hosts, pace.versions);
                let path = shrink(&start, path);
                panic!("{joined:?} at step {number} of seed {seed}, shortest {path:?}");
            }
        }
        let counts = world.counts();
        begun += counts.begun;
        elsewhere += counts.begun_elsewhere;
        (traced, refused) = (traced + counts.traced, refused + counts.refused);
        changes += counts.base_changes;
    }
    eprintln!("begun {begun} elsewhere {elsewhere} traced {traced} refused {refused} {changes}");
    assert!(begun > 0 && elsewhere > 0 && changes > 0);
    assert!(traced > 2 * refused, "{traced} take-ups were traced, {refused} refused");
}

/// How often the store comes back from a copy.
#[derive(Clone, Copy, Debug)]
enum DrillSeries {
    Single,
    Repeated,
}

/// Lets the hosts that live record what they have to.
fn record_all(world: &mut VersionWorld, hosts: usize) {
    for host in 0..hosts {
        for step in [WorldStep::ReadDirectory(host), WorldStep::Record(host)] {
            if world.allows(step) {
                world.apply(step);
            }
        }
    }
}

/// Begins a stream at each version and records it if it must be.
fn begin_at_both(world: &mut VersionWorld, host: usize) {
    for version in 0..2 {
        let stream = world.stream_count();
        world.apply(WorldStep::Send(host, version));
        if world.allows(WorldStep::Record(host)) {
            world.apply(WorldStep::Record(host));
        }
        world.apply(WorldStep::RelayFirst(stream));
    }
}

/// A store that came back from a copy left streams of the base untraceable at other hosts (LOST).
#[rstest]
fn drill_keeps_streams(
    #[values(3, 8, 84, 295)] hosts: usize,
    #[values(DrillSeries::Single, DrillSeries::Repeated)] series: DrillSeries,
    #[values(false, true)] all_lost: bool,
) {
    let mut world = VersionWorld::new(hosts, 2);
    world.apply(WorldStep::Release(1));
    record_all(&mut world, hosts);
    begin_at_both(&mut world, 0);
    world.apply(WorldStep::CopyStore);
    world.apply(WorldStep::PassSeconds);
    begin_at_both(&mut world, 0);
    world.apply(WorldStep::RestoreStore);
    record_all(&mut world, hosts);
    begin_at_both(&mut world, 0);
    if let DrillSeries::Repeated = series {
        world.apply(WorldStep::CopyStore);
        world.apply(WorldStep::PassSeconds);
        begin_at_both(&mut world, 0);
        world.apply(WorldStep::RestoreStore);
        record_all(&mut world, hosts);
        begin_at_both(&mut world, 0);
    }
    match all_lost {
        true => {
            world.apply(WorldStep::KillAll);
            (1..hosts).for_each(|host| world.apply(WorldStep::Start(host)));
        }
        false => world.apply(WorldStep::Kill(0)),
    }
    record_all(&mut world, hosts);
    let streams = world.stream_count();
    for stream in 0..streams {
        world.apply(WorldStep::TakeUp(hosts - 1, stream));
    }
    let counts = world.counts();
    assert_eq!((counts.traced as usize, counts.refused), (streams, 0), "{counts:?}");
}
