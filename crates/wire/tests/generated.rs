//! Checks that the committed code is the code generated from the schemas.
//!
//! After a change of a schema, run this test with `UPDATE_GENERATED=1` before writing code that
//! uses the new messages: the test is built together with the package, which would not compile.

use std::{env, fs, path::Path};

use prost_build::Config;

const SCHEMAS: &[&str] = &["types", "consensus", "commands", "node", "http"];

/// Fields of bytes that are part of JSON bodies, where they are base64 text.
const BASE64_FIELDS: &[&str] = &[
    ".acaciareel.types.Answer.body",
    ".acaciareel.types.Request.body",
    ".acaciareel.http.StartTask.body",
];

/// Lists that may be missing in JSON if they are empty.
const OPTIONAL_FIELDS: &[&str] = &[
    ".acaciareel.types.WorkerReport.running",
    ".acaciareel.types.Tables.routes",
    ".acaciareel.types.Tables.pools",
    ".acaciareel.types.Tables.quotas",
    ".acaciareel.http.LeaseReply.unacknowledged",
    ".acaciareel.http.LeaseReply.unchanged_since",
    ".acaciareel.http.Status.groups",
    ".acaciareel.http.Status.pools",
];

/// Packages whose messages are HTTP bodies or parts of one.
const JSON_PACKAGES: &[&str] = &[".acaciareel.types", ".acaciareel.http"];

fn generate_code(out: &Path) {
    let proto = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let files = SCHEMAS.iter().map(|name| format!("{name}.proto"));
    let descriptors = protox::compile(files, [proto]).expect("valid schemas");
    let mut config = Config::new();
    config.out_dir(out);
    for package in JSON_PACKAGES {
        config.type_attribute(package, "#[derive(serde::Serialize, serde::Deserialize)]");
        config.type_attribute(package, "#[serde(rename_all = \"snake_case\")]");
    }
    for field in BASE64_FIELDS {
        config.field_attribute(field, "#[serde(with = \"crate::base64_text\")]");
    }
    for field in OPTIONAL_FIELDS {
        config.field_attribute(field, "#[serde(default)]");
    }
    config.compile_fds(descriptors).expect("generated code");
}

/// Guards against a schema that is changed without its generated code, or the other way round.
#[test]
fn committed_code_is_what_the_schemas_generate() {
    let out = tempfile::tempdir().expect("temporary folder");
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated");
    let update = env::var_os("UPDATE_GENERATED").is_some_and(|value| value == "1");

    generate_code(out.path());

    for name in SCHEMAS {
        let path = committed.join(format!("{name}.rs"));
        let generated = out.path().join(format!("acaciareel.{name}.rs"));
        let generated = fs::read_to_string(generated).expect("generated file");
        if update {
            fs::write(&path, &generated).expect("written file");
        }
        let present = fs::read_to_string(&path).unwrap_or_default();
        assert!(
            present == generated,
            "src/generated/{name}.rs differs from its schema; run this test with UPDATE_GENERATED=1"
        );
    }
}
