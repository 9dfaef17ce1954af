//! Least-squares fit of a straight line.

use serde::Serialize;

/// The line `base + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LineFit {
    /// Value at `x = 0`.
    pub base: f64,
    /// Growth per unit of `x`.
    pub slope: f64,
}

impl LineFit {
    /// Fits a line to `points`; the slope is 0 if all `x` are equal.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if sum_xx == 0.0 { 0.0 } else { sum_xy / sum_xx };
        Self { base: mean_y - slope * mean_x, slope }
    }

    /// Returns the value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
