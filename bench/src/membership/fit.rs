//! Lines through measured points.

use serde::Serialize;

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Line {
    /// The value at zero.
    pub offset: f64,
    /// The rise for each step of one.
    pub slope: f64,
}

impl Line {
    /// Fits a line to points; a single point gives a level line.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance = |(x, y): &(f64, f64)| (x - mean_x) * (y - mean_y);
        let variance = |(x, _): &(f64, f64)| (x - mean_x) * (x - mean_x);
        let spread: f64 = points.iter().map(variance).sum();
        let slope = if spread > 0.0 {
            points.iter().map(covariance).sum::<f64>() / spread
        } else {
            0.0
        };
        Self {
            offset: mean_y - slope * mean_x,
            slope,
        }
    }

    /// Returns the value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.offset + self.slope * x
    }
}
