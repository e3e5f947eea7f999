//! Makes Rust types from the JSON Schemas in `schema/`.
//!
//! Each file becomes one module of `anvillift-schema`. A definition of another
//! file is referred to by its module, so that each type is made once.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use schemars::schema::{RootSchema, Schema};
use snafu::{OptionExt, ResultExt};
use typify::{TypeSpace, TypeSpaceImpl, TypeSpacePatch, TypeSpaceSettings};

/// Types written by hand that stand in for a definition of the same name.
const REPLACEMENTS: [(&str, &str); 2] =
    [("Name", "crate::name::Name"), ("Payload", "crate::payload::Payload")];

/// Derives added to each generated type.
const DERIVES: [&str; 2] = ["PartialEq", "Eq"];

/// Generated types whose default is that of all their fields.
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

/// Make the Rust types of the schemas.
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
    #[snafu(display("{}: {source}", path.display()))]
    Schema { path: PathBuf, source: serde_json::Error },
    /// Types could not be made of a schema.
    #[snafu(display("{file}: {source}"))]
    Types { file: String, source: typify::Error },
    /// The generated tokens do not parse.
    #[snafu(display("{file}: {source}"))]
    Tokens { file: String, source: syn::Error },
    /// A definition stands in two files.
    #[snafu(display("{name} is defined twice"))]
    Twice { name: String },
    /// A schema file has no name.
    #[snafu(display("{} has no name", path.display()))]
    Unnamed { path: PathBuf },
    /// The committed file differs from what the schemas give.
    #[snafu(display("{} is out of date; run cargo xtask codegen", path.display()))]
    OutOfDate { path: PathBuf },
}

type Definitions = BTreeMap<String, Schema>;

impl Codegen {
    /// Writes or compares every generated module.
    pub(crate) fn execute(&self) -> Result<(), Error> {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        let files = read_schemas(&root.join("schema"))?;
        let output = root.join("crates/anvillift-schema/src/generated");
        for file in files.keys() {
            self.emit(&output.join(format!("{file}.rs")), &module_text(file, &files)?)?;
        }
        self.emit(&output.join("mod.rs"), &index_text(&files))
    }

    fn emit(&self, path: &Path, text: &str) -> Result<(), Error> {
        if self.check {
            let committed = fs::read_to_string(path).context(FileSnafu { path })?;
            return if committed == text { Ok(()) } else { OutOfDateSnafu { path }.fail() };
        }
        fs::write(path, text).context(FileSnafu { path })
    }
}

/// Reads the definitions of each schema by file name.
fn read_schemas(folder: &Path) -> Result<BTreeMap<String, Definitions>, Error> {
    let mut files = BTreeMap::new();
    for entry in fs::read_dir(folder).context(FileSnafu { path: folder })? {
        let path = entry.context(FileSnafu { path: folder })?.path();
        let stem = path.file_stem().and_then(|stem| stem.to_str());
        let stem = stem.context(UnnamedSnafu { path: path.clone() })?.to_owned();
        let text = fs::read_to_string(&path).context(FileSnafu { path: &path })?;
        let schema: RootSchema =
            serde_json::from_str(&text).context(SchemaSnafu { path: &path })?;
        files.insert(stem, schema.definitions.into_iter().collect());
    }
    Ok(files)
}

/// The generated module of one schema file.
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
    for (other, others) in files {
        for (name, schema) in others {
            if definitions.insert(name.clone(), schema.clone()).is_some() {
                return TwiceSnafu { name }.fail();
            }
            replace(&mut settings, name, other, file);
        }
    }
    let mut types = TypeSpace::new(&settings);
    types.add_ref_types(definitions).context(TypesSnafu { file })?;
    let parsed = syn::parse2(types.to_stream()).context(TokensSnafu { file })?;
    Ok(without_schema_text(&prettyplease::unparse(&parsed)))
}

/// Drops the copy of the JSON Schema that stands in each doc comment.
fn without_schema_text(text: &str) -> String {
    let mut kept: Vec<&str> = Vec::new();
    let mut inside = false;
    for line in text.lines() {
        let comment = line.trim_start();
        if comment.starts_with("/// <details>") {
            inside = true;
            kept.pop_if(|last| last.trim() == "///");
        }
        if !inside {
            kept.push(line);
        }
        inside &= !comment.starts_with("/// </details>");
    }
    kept.join("\n") + "\n"
}

/// Refers to a definition by the module that holds it, unless that is `file`.
fn replace(settings: &mut TypeSpaceSettings, name: &str, other: &str, file: &str) {
    let by_hand = REPLACEMENTS.iter().find(|(replaced, _)| *replaced == name);
    let path = match by_hand {
        Some((_, path)) => (*path).to_owned(),
        None if other == file => return,
        None => format!("crate::generated::{other}::{name}"),
    };
    settings.with_replacement(name, path, std::iter::empty::<TypeSpaceImpl>());
}

/// The module that lists the generated ones.
fn index_text(files: &BTreeMap<String, Definitions>) -> String {
    let mut text = "//! Types made from `schema/` by `cargo xtask codegen`.\n\n".to_owned();
    for file in files.keys() {
        text.push_str(&format!(
            "#[rustfmt::skip]\n#[allow(clippy::all, missing_docs)]\npub mod {file};\n"
        ));
    }
    text
}
