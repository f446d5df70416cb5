//! Not yet written.
