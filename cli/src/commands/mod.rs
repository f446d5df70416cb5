//! One module for each command.

pub mod report;
