//! Plain-text tables with aligned columns.

use std::fmt;

/// Largest width to which cells are padded; longer cells are printed in full. The width of a
/// format argument is limited to 65,535, which a list of names or keys can exceed.
const MAX_PADDED_WIDTH: usize = 200;

/// A table whose first row is the heading.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table that has only the heading row.
    pub(crate) fn new(heading: &[&str]) -> Self {
        Self { rows: vec![heading.iter().map(|&cell| cell.to_owned()).collect()] }
    }

    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            let width = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
            width.min(MAX_PADDED_WIDTH)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            writeln!(f, "{}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
        }
        Ok(())
    }
}
