//! Output as tables or as JSON.

use pomelostack_lib::protos::admin::DiffKind;
use pomelostack_lib::protos::admin::Kind;
use serde::Serialize;

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Prints a value as one line of JSON.
pub fn print_json<T: Serialize>(value: &T) {
    // Serialization cannot fail: the values contain only strings, numbers, lists and maps with
    // string keys.
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

/// Prints rows under a header, each column as wide as its widest cell.
pub fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    print_row(header.iter().copied(), &widths);
    for row in rows {
        print_row(row.iter().map(String::as_str), &widths);
    }
}

fn print_row<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) {
    let mut line = String::new();
    for (cell, width) in cells.zip(widths) {
        line.push_str(&format!("{cell:<width$}", width = width + COLUMN_GAP));
    }
    println!("{}", line.trim_end());
}

/// Formats a revision; `none` if it is absent.
pub fn revision_text(revision: Option<u64>) -> String {
    revision.map_or("none".to_owned(), |revision| revision.to_string())
}

/// Returns the name of a resource kind.
pub fn kind_text(kind: Kind) -> &'static str {
    match kind {
        Kind::Unspecified => "unspecified",
        Kind::Service => "service",
        Kind::Team => "team",
        Kind::Class => "class",
        Kind::Policy => "policy",
    }
}

/// Returns the verb for a difference.
pub fn diff_text(diff: DiffKind) -> &'static str {
    match diff {
        DiffKind::Unspecified => "unspecified",
        DiffKind::Created => "create",
        DiffKind::Changed => "change",
        DiffKind::Deleted => "delete",
    }
}
