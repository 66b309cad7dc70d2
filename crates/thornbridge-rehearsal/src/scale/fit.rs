//! A straight line through measured points, by ordinary least squares.

use serde::Serialize;

/// `value = base + slope × nodes`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value at no nodes.
    pub base: f64,
    /// Growth with each node.
    pub slope: f64,
}

impl Line {
    /// The line with the least squared distance; flat where all points have one abscissa.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let deviations = points.iter().map(|(x, y)| (x - mean_x, y - mean_y));
        let covariance: f64 = deviations.clone().map(|(x, y)| x * y).sum();
        let variance: f64 = deviations.map(|(x, _)| x * x).sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        Self {
            base: mean_y - slope * mean_x,
            slope,
        }
    }

    /// Value at so many nodes.
    pub fn at(&self, nodes: f64) -> f64 {
        self.base + self.slope * nodes
    }
}
