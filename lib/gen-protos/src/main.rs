//! Writes the Rust code of every `lib/src/protos/*.proto` beside it.
//!
//! Run with `cargo run -p gen-protos`. With `--check` nothing is written, and the exit code is 1 if
//! a committed file differs from what would be written.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Context as _;
use anyhow::bail;

/// Packages in the order in which `mod.rs` lists them; each has a file `<name>.proto`.
const PACKAGES: [&str; 5] = ["admin", "claims", "config", "leases", "peer"];

fn main() -> anyhow::Result<()> {
    let protos_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../src/protos");
    if std::env::args().any(|arg| arg == "--check") {
        return check_committed(&protos_dir);
    }
    generate(&protos_dir, &protos_dir)
}

/// Generates into a temporary folder and compares with the committed files.
fn check_committed(protos_dir: &Path) -> anyhow::Result<()> {
    let out_dir = std::env::temp_dir().join(format!("gen-protos-{}", std::process::id()));
    fs::create_dir_all(&out_dir)?;
    generate(protos_dir, &out_dir)?;
    let mut stale = Vec::new();
    for package in PACKAGES {
        let name = file_name(package);
        let fresh = fs::read_to_string(out_dir.join(&name)).unwrap_or_default();
        let committed = fs::read_to_string(protos_dir.join(&name)).unwrap_or_default();
        if fresh != committed {
            stale.push(name);
        }
    }
    fs::remove_dir_all(&out_dir)?;
    if !stale.is_empty() {
        bail!("stale generated code: {}; run cargo run -p gen-protos", stale.join(", "));
    }
    Ok(())
}

fn generate(protos_dir: &Path, out_dir: &Path) -> anyhow::Result<()> {
    let files: Vec<PathBuf> =
        PACKAGES.iter().map(|package| protos_dir.join(format!("{package}.proto"))).collect();
    let descriptors = protox::compile(&files, [protos_dir]).context("cannot compile protos")?;
    tonic_prost_build::configure()
        .out_dir(out_dir)
        .compile_fds(descriptors)
        .context("cannot generate code")
}

fn file_name(package: &str) -> String {
    format!("pomelostack.{package}.rs")
}
