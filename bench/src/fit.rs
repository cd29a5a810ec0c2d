//! Straight lines through measured points.

use serde::Serialize;

/// One measured point.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// The size that was set.
    pub size: f64,
    /// The cost that was measured.
    pub cost: f64,
}

/// A least-squares line with its error.
#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    /// What was measured.
    pub name: &'static str,
    /// The unit of the size.
    pub size_unit: &'static str,
    /// The unit of the cost.
    pub cost_unit: &'static str,
    /// The cost at size zero.
    pub intercept: f64,
    /// The cost of each unit of size.
    pub slope: f64,
    /// The largest distance of a point from the line, relative to the largest cost.
    pub residual: f64,
    /// The points.
    pub points: Vec<Point>,
}

/// The number of points below which no line is fitted.
const MIN_POINTS: usize = 4;

impl Fit {
    /// Fits a line through at least four points.
    pub fn new(
        name: &'static str,
        size_unit: &'static str,
        cost_unit: &'static str,
        points: Vec<Point>,
    ) -> eyre::Result<Self> {
        eyre::ensure!(points.len() >= MIN_POINTS, "{name} has too few points");
        let (intercept, slope) = least_squares(&points);
        let distance = |point: &Point| (point.cost - intercept - slope * point.size).abs();
        let largest_distance = points.iter().map(distance).fold(0.0, f64::max);
        let largest_cost = points.iter().map(|point| point.cost).fold(0.0, f64::max);
        Ok(Self {
            name,
            size_unit,
            cost_unit,
            intercept,
            slope,
            residual: largest_distance / largest_cost.max(f64::MIN_POSITIVE),
            points,
        })
    }

    /// Returns the cost that the line gives for `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Returns the intercept and the slope.
fn least_squares(points: &[Point]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
    let mut covariance = 0.0;
    let mut variance = 0.0;
    for point in points {
        let size = point.size - mean_size;
        covariance += size * (point.cost - mean_cost);
        variance += size * size;
    }
    let slope = covariance / variance.max(f64::MIN_POSITIVE);
    (mean_cost - slope * mean_size, slope)
}
