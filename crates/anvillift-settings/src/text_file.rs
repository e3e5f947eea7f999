//! Reads text files of bounded size.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use crate::fault::{Fault, SettingsError};

/// Largest file of a change or of the configuration that it is compared with.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// Reads a file as UTF-8; `file` is its name in faults.
pub(crate) fn read(path: &Path, file: &str) -> Result<String, SettingsError> {
    let fault = |message| SettingsError { faults: vec![Fault::of_file(file, message)] };
    let bytes = read_bytes(path).map_err(|error| fault(format!("cannot be read: {error}")))?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(fault(format!("is larger than {} MiB", MAX_FILE_BYTES >> 20)));
    }
    String::from_utf8(bytes).map_err(|_| fault("cannot be read: is not UTF-8 text".to_owned()))
}

/// Reads at most one byte more than the limit, so that endless files end as well.
fn read_bytes(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}
