//! The pomelostack program.

fn main() {}
