//! Tables with aligned columns.

/// The separator between two columns.
const GAP: &str = "  ";

/// A table of text cells; the first row holds the column headers.
pub struct Table<const COLUMNS: usize> {
    rows: Vec<[String; COLUMNS]>,
}

impl<const COLUMNS: usize> Table<COLUMNS> {
    /// Creates a table with its column headers.
    pub fn new(names: [&str; COLUMNS]) -> Self {
        Self {
            rows: vec![names.map(str::to_owned)],
        }
    }

    pub fn push(&mut self, row: [String; COLUMNS]) {
        self.rows.push(row);
    }

    /// Returns the lines of the table.
    pub fn render(&self) -> String {
        let widths = self.widths();
        self.rows.iter().map(|row| line(row, &widths)).collect()
    }

    fn widths(&self) -> [usize; COLUMNS] {
        let mut widths = [0; COLUMNS];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let pad = |(cell, width): (&String, &usize)| format!("{cell:<width$}");
    let cells: Vec<String> = row.iter().zip(widths).map(pad).collect();
    let mut line = cells.join(GAP).trim_end().to_owned();
    line.push('\n');
    line
}
