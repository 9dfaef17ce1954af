//! Straight line through measured points, by least squares.

use serde::Serialize;

/// A line `base + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LineFit {
    /// Value at 0.
    pub base: f64,
    /// Rise for each unit of the argument.
    pub slope: f64,
}

impl LineFit {
    /// The line with the least squared distance from `points`; flat if all arguments are equal.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if sum_xx == 0.0 { 0.0 } else { sum_xy / sum_xx };
        Self { base: mean_y - slope * mean_x, slope }
    }

    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
