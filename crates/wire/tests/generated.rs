//! Checks that the committed wire types match their schemas.
//!
//! After a change of a schema, run `REGENERATE=1 cargo test -p rhubarbrill-wire --test
//! generated` and commit the files that it writes.

use std::fs;
use std::path::PathBuf;

use rstest::rstest;
use schemars::schema::RootSchema;
use typify::{TypeSpace, TypeSpaceImpl, TypeSpaceSettings};

#[rstest]
#[case("etcd")]
#[case("hosts")]
#[case("problem")]
fn generated_types_match_their_schema(#[case] name: &str) {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let schema = fs::read_to_string(root.join(format!("schema/{name}.json"))).unwrap();
    let path = root.join(format!("src/generated/{name}.rs"));
    let generated = generate(&schema);
    if std::env::var_os("REGENERATE").is_some() {
        fs::write(&path, &generated).unwrap();
    }
    let committed = fs::read_to_string(&path).unwrap();
    assert!(
        committed == generated,
        "run with REGENERATE=1 and commit {path:?}"
    );
}

fn generate(schema: &str) -> String {
    let schema: RootSchema = serde_json::from_str(schema).unwrap();
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("Eq".into());
    settings.with_derive("PartialEq".into());
    for name in ["Base64", "Int64"] {
        let impls = [TypeSpaceImpl::Default].into_iter();
        settings.with_replacement(name, format!("crate::{name}"), impls);
    }
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(schema).unwrap();
    let file = syn::parse2(space.to_stream()).unwrap();
    sort_derives(&strip_schemas(&prettyplease::unparse(&file)))
}

/// Removes the copies of the schema from the doc comments.
fn strip_schemas(text: &str) -> String {
    let mut kept = Vec::new();
    let mut in_details = false;
    for line in text.lines() {
        in_details |= line.contains("<details>");
        if !in_details {
            kept.push(line.replacen("///", "/// ", 1).replacen("///  ", "/// ", 1));
        }
        in_details &= !line.contains("</details>");
    }
    kept.retain(|line| line.trim() != "///");
    kept.join("\n") + "\n"
}

/// Sorts each list of derives by the name of the trait.
fn sort_derives(text: &str) -> String {
    let mut parts = text.split("#[derive(");
    let mut sorted = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (list, rest) = part.split_once(")]").unwrap();
        let mut names: Vec<&str> = list.split(',').map(str::trim).collect();
        names.retain(|name| !name.is_empty());
        names.sort_by_key(|name| name.rsplit("::").next());
        sorted.push_str(&format!("#[derive({})]{rest}", names.join(", ")));
    }
    sorted
}
