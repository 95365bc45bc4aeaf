//! Generates the code of the administration API from its schema. Needs no installed `protoc`.

use std::path::{Path, PathBuf};

const SCHEMA: &str = "luglink/admin/v1/admin.proto";
const GENERATED_FILE: &str = "luglink.admin.v1.rs";

/// Returns the root of the repository.
pub(crate) fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Generates the code into the source tree.
pub(crate) fn write() -> Result<(), String> {
    generate_into(&root().join("crates/admin-api/src/generated"))
}

/// Returns an error if the committed code differs from the code generated from the schema.
pub(crate) fn check() -> Result<(), String> {
    let folder = root().join("target/xtask-generated");
    generate_into(&folder)?;
    let read = |path: PathBuf| {
        std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))
    };
    let generated = read(folder.join(GENERATED_FILE))?;
    let committed = read(
        root()
            .join("crates/admin-api/src/generated")
            .join(GENERATED_FILE),
    )?;
    if generated != committed {
        return Err("generated code is out of date: run `cargo run -p xtask -- generate`".into());
    }
    Ok(())
}

fn generate_into(folder: &Path) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|error| error.to_string())?;
    let schema_folder = root().join("proto");
    let descriptors = protox::compile([SCHEMA], [&schema_folder]).map_err(|e| e.to_string())?;
    tonic_prost_build::configure()
        .out_dir(folder)
        .compile_fds(descriptors)
        .map_err(|error| error.to_string())
}
