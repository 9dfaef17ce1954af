//! Formats tables and times for the terminal.

/// Pads every cell except the last of a line to the width of its column.
pub(crate) fn align_columns(lines: &[Vec<String>]) -> String {
    let count = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width_of = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width_of).collect();
    let mut text = String::new();
    for line in lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let joined = cells.collect::<Vec<_>>().join("  ");
        text.push_str(joined.trim_end());
        text.push('\n');
    }
    text
}

pub(crate) fn cells<const N: usize>(texts: [&str; N]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

/// Formats a Unix time in milliseconds relative to `now_ms`.
pub(crate) fn relative_time(time_ms: u64, now_ms: u64) -> String {
    if now_ms < time_ms {
        return format!("in {} s", (time_ms - now_ms) / 1_000);
    }
    format!("{} s ago", (now_ms - time_ms) / 1_000)
}
