//! Messages generated from the `.proto` files in this folder by the `gen-protos` crate.

#![allow(missing_docs, clippy::all, clippy::unwrap_used)]

/// Administration API.
#[rustfmt::skip]
pub mod admin {
    include!("pomelostack.admin.rs");
}
/// Records of the log stream "claims".
#[rustfmt::skip]
pub mod claims {
    include!("pomelostack.claims.rs");
}
/// Records of the log stream "config".
#[rustfmt::skip]
pub mod config {
    include!("pomelostack.config.rs");
}
/// Messages between gateway hosts and their records on the log.
#[rustfmt::skip]
pub mod gateway {
    include!("pomelostack.gateway.rs");
}
/// Messages between entry hosts.
#[rustfmt::skip]
pub mod peer {
    include!("pomelostack.peer.rs");
}
