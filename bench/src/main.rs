//! Policy measurements and slopes: prints JSON lines.

fn main() {}
