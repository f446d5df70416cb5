//! Policy measurements and slopes: prints JSON lines.

mod membership;
mod peer_link;

fn main() {
    membership::run(1);
}
