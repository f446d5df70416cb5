use std::time::Duration;
use testutils::member_queue::MemberQueue;
#[test]
fn dbg() {
    let mut q = MemberQueue::new(7, 1, 1);
    q.run_for(Duration::from_secs(10));
    for v in [3usize, 5, 2] {
        println!("before {:?}", (0..7).map(|i| q.routers_of(i)).collect::<Vec<_>>());
        q.kill(v);
        for s in 0..12 {
            q.run_for(Duration::from_millis(250));
            println!("{s} {:?}", (0..7).map(|i| q.routers_of(i)).collect::<Vec<_>>());
        }
        q.restart(v);
        for s in 0..8 {
            q.run_for(Duration::from_millis(500));
            println!("r{s} {:?}", (0..7).map(|i| q.routers_of(i)).collect::<Vec<_>>());
        }
        for i in 0..7 {
            println!("{:?}", q.state_of(i, v));
        }
    }
}
