//! Generates the Rust code of each `lib/src/protos/*.proto` next to it.
//!
//! Run with `cargo run -p gen-protos`. With `--check` no file is changed, and the exit code is 1 if a
//! committed file differs from the generated code.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Context as _;
use anyhow::bail;

/// Packages in the order in which `mod.rs` lists them; each has a file `<name>.proto`.
const PACKAGES: [&str; 5] = ["admin", "claims", "config", "gateway", "peer"];

/// Messages that are also read and written as JSON configuration. Unknown fields are errors.
const JSON_MESSAGES: [&str; 8] = [
    ".pomelostack.admin.ConfigurationSpec",
    ".pomelostack.admin.ServiceSpec",
    ".pomelostack.admin.LatencyTargetSpec",
    ".pomelostack.admin.IdempotencySpec",
    ".pomelostack.admin.StaticServerSpec",
    ".pomelostack.admin.TeamSpec",
    ".pomelostack.admin.FleetClassSpec",
    ".pomelostack.admin.PolicySpec",
];

/// Messages that `pomelostack admin --json` prints as JSON.
const PRINTED_MESSAGES: [&str; 6] = [
    ".pomelostack.admin.Revision",
    ".pomelostack.admin.FieldDiff",
    ".pomelostack.admin.HistoryEntry",
    ".pomelostack.admin.FleetMember",
    ".pomelostack.admin.RequestState",
    ".pomelostack.admin.BurnWindow",
];

/// Attributes of [`JSON_MESSAGES`].
const JSON_DERIVES: &str =
    "#[derive(serde::Serialize, serde::Deserialize)] #[serde(deny_unknown_fields)]";

/// Repeated fields of [`JSON_MESSAGES`] that are optional in JSON.
const JSON_DEFAULT_FIELDS: [&str; 8] = [
    ".pomelostack.admin.ConfigurationSpec.services",
    ".pomelostack.admin.ConfigurationSpec.teams",
    ".pomelostack.admin.ConfigurationSpec.classes",
    ".pomelostack.admin.ServiceSpec.static_servers",
    ".pomelostack.admin.IdempotencySpec.idempotent_paths",
    ".pomelostack.admin.IdempotencySpec.non_idempotent_paths",
    ".pomelostack.admin.TeamSpec.services",
    ".pomelostack.admin.FleetClassSpec.capacity_permille",
];

fn main() -> anyhow::Result<()> {
    let protos_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../src/protos");
    if std::env::args().any(|arg| arg == "--check") {
        return check_committed(&protos_dir);
    }
    generate(&protos_dir, &protos_dir)
}

/// Generates the code in a temporary directory and compares it with the committed files.
fn check_committed(protos_dir: &Path) -> anyhow::Result<()> {
    let out_dir = std::env::temp_dir().join(format!("gen-protos-{}", std::process::id()));
    fs::create_dir_all(&out_dir)?;
    generate(protos_dir, &out_dir)?;
    let mut stale = Vec::new();
    for package in PACKAGES {
        let name = file_name(package);
        let generated = fs::read_to_string(out_dir.join(&name)).unwrap_or_default();
        let committed = fs::read_to_string(protos_dir.join(&name)).unwrap_or_default();
        if generated != committed {
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
    let mut builder = tonic_prost_build::configure();
    for message in JSON_MESSAGES {
        builder = builder.type_attribute(message, JSON_DERIVES);
    }
    for message in PRINTED_MESSAGES {
        builder = builder.type_attribute(message, "#[derive(serde::Serialize)]");
    }
    for field in JSON_DEFAULT_FIELDS {
        builder = builder.field_attribute(field, "#[serde(default)]");
    }
    builder
        .out_dir(out_dir)
        .btree_map(".pomelostack.admin.FleetClassSpec")
        .btree_map(".pomelostack.gateway")
        .compile_fds(descriptors)
        .context("cannot generate code")
}

fn file_name(package: &str) -> String {
    format!("pomelostack.{package}.rs")
}
