//! Generates Rust types from the JSON Schemas in `schema/`.
//!
//! Each schema file becomes one module of `anvillift-schema`. A reference to a
//! definition of another file becomes a path to that file's module, so that each
//! type is generated only once.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use schemars::schema::{RootSchema, Schema};
use snafu::{OptionExt, ResultExt};
use typify::{TypeSpace, TypeSpaceImpl, TypeSpacePatch, TypeSpaceSettings};

/// Definitions that are replaced by hand-written types, with the paths of these types.
const REPLACEMENTS: [(&str, &str); 2] =
    [("Name", "crate::name::Name"), ("Payload", "crate::payload::Payload")];

/// Traits that every generated type derives in addition to those of typify.
const DERIVES: [&str; 2] = ["PartialEq", "Eq"];

/// Generated types that also derive `Default`.
const DEFAULTS: [&str; 10] = [
    "Announcement",
    "BurnCounters",
    "Configuration",
    "GroupSettings",
    "HostSettings",
    "Identity",
    "KeySettings",
    "RequestCount",
    "ServiceSummary",
    "UpstreamLoad",
];

/// Generate the Rust types of the schemas.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "codegen")]
pub(crate) struct Codegen {
    /// compare with the committed files and write nothing
    #[argh(switch)]
    check: bool,
}

/// Why code generation failed.
#[derive(Debug, snafu::Snafu)]
pub(crate) enum Error {
    /// A file could not be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
    /// A schema is not valid JSON Schema.
    #[snafu(display("{} is not valid JSON Schema: {source}", path.display()))]
    Schema { path: PathBuf, source: serde_json::Error },
    /// No types could be generated from a schema.
    #[snafu(display("no types could be generated from schema {file}: {source}"))]
    Types { file: String, source: typify::Error },
    /// The generated code is not valid Rust.
    #[snafu(display("the code generated from schema {file} is not valid Rust: {source}"))]
    Tokens { file: String, source: syn::Error },
    /// Two schema files define the same name.
    #[snafu(display("{name} is defined in two schema files"))]
    DuplicateDefinition { name: String },
    /// The name of a schema file gives no module name.
    #[snafu(display("{} has no file stem in UTF-8", path.display()))]
    InvalidFileName { path: PathBuf },
    /// The committed file differs from the generated one.
    #[snafu(display("{} is out of date; run cargo xtask codegen", path.display()))]
    OutOfDate { path: PathBuf },
}

type Definitions = BTreeMap<String, Schema>;

impl Codegen {
    /// Writes every generated module, or compares it with the committed file.
    pub(crate) fn execute(&self) -> Result<(), Error> {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        let files = read_schemas(&root.join("schema"))?;
        let output = root.join("crates/anvillift-schema/src/generated");
        for file in files.keys() {
            self.write_or_check(&output.join(format!("{file}.rs")), &module_text(file, &files)?)?;
        }
        self.write_or_check(&output.join("mod.rs"), &index_text(&files))
    }

    fn write_or_check(&self, path: &Path, text: &str) -> Result<(), Error> {
        if self.check {
            let committed = fs::read_to_string(path).context(FileSnafu { path })?;
            return if committed == text { Ok(()) } else { OutOfDateSnafu { path }.fail() };
        }
        fs::write(path, text).context(FileSnafu { path })
    }
}

/// Reads the definitions of each schema file, by file stem.
fn read_schemas(folder: &Path) -> Result<BTreeMap<String, Definitions>, Error> {
    let mut files = BTreeMap::new();
    for entry in fs::read_dir(folder).context(FileSnafu { path: folder })? {
        let path = entry.context(FileSnafu { path: folder })?.path();
        let stem = path.file_stem().and_then(|stem| stem.to_str());
        let stem = stem.context(InvalidFileNameSnafu { path: path.clone() })?.to_owned();
        let text = fs::read_to_string(&path).context(FileSnafu { path: &path })?;
        let schema: RootSchema =
            serde_json::from_str(&text).context(SchemaSnafu { path: &path })?;
        files.insert(stem, schema.definitions.into_iter().collect());
    }
    Ok(files)
}

/// Source text of the module generated from one schema file.
fn module_text(file: &str, files: &BTreeMap<String, Definitions>) -> Result<String, Error> {
    let mut settings = TypeSpaceSettings::default();
    settings.with_map_type("::std::collections::BTreeMap");
    for derive in DERIVES {
        settings.with_derive(derive.to_owned());
    }
    for name in DEFAULTS {
        settings.with_patch(name, TypeSpacePatch::default().with_derive("Default"));
    }
    let mut definitions = Definitions::new();
    for (defining_file, file_definitions) in files {
        for (name, schema) in file_definitions {
            if definitions.insert(name.clone(), schema.clone()).is_some() {
                return DuplicateDefinitionSnafu { name }.fail();
            }
            refer_to_definition(&mut settings, name, defining_file, file);
        }
    }
    let mut types = TypeSpace::new(&settings);
    types.add_ref_types(definitions).context(TypesSnafu { file })?;
    let parsed = syn::parse2(types.to_stream()).context(TokensSnafu { file })?;
    Ok(strip_schema_text(&prettyplease::unparse(&parsed)))
}

/// Removes the copy of the JSON Schema that typify writes into each doc comment.
fn strip_schema_text(text: &str) -> String {
    let mut kept: Vec<&str> = Vec::new();
    let mut in_schema = false;
    for line in text.lines() {
        let comment = line.trim_start();
        if comment.starts_with("/// <details>") {
            in_schema = true;
            kept.pop_if(|last| last.trim() == "///");
        }
        if !in_schema {
            kept.push(line);
        }
        in_schema &= !comment.starts_with("/// </details>");
    }
    kept.join("\n") + "\n"
}

/// In the module of `file`, makes references to definition `name` use its hand-written type,
/// or the module of `defining_file`; a definition of `file` itself is generated in place.
fn refer_to_definition(
    settings: &mut TypeSpaceSettings,
    name: &str,
    defining_file: &str,
    file: &str,
) {
    let replacement = REPLACEMENTS.iter().find(|(replaced, _)| *replaced == name);
    let path = match replacement {
        Some((_, path)) => (*path).to_owned(),
        None if defining_file == file => return,
        None => format!("crate::generated::{defining_file}::{name}"),
    };
    settings.with_replacement(name, path, std::iter::empty::<TypeSpaceImpl>());
}

/// Source text of `mod.rs`, which declares the generated modules.
fn index_text(files: &BTreeMap<String, Definitions>) -> String {
    let mut text = "//! Types generated from `schema/` by `cargo xtask codegen`.\n\n".to_owned();
    for file in files.keys() {
        text.push_str(&format!(
            "#[rustfmt::skip]\n#[allow(clippy::all, missing_docs)]\npub mod {file};\n"
        ));
    }
    text
}
