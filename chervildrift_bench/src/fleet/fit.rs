//! Least-squares fits of a column over the number of VMs.

/// Shape of a fit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    Linear,
    Logarithmic,
}

/// Fit of a column: `intercept + slope * x`, with x the number of VMs or its log10.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    pub shape: Shape,
    pub intercept: f64,
    pub slope: f64,
}

impl Fit {
    /// Returns the value for a number of VMs.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * transform(self.shape, size)
    }
}

/// Returns the linear or logarithmic fit, whichever has the smaller residual.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let linear = least_squares(points, Shape::Linear);
    let logarithmic = least_squares(points, Shape::Logarithmic);
    if residual(points, &linear) <= residual(points, &logarithmic) {
        linear
    } else {
        logarithmic
    }
}

fn transform(shape: Shape, size: f64) -> f64 {
    match shape {
        Shape::Linear => size,
        Shape::Logarithmic => size.log10(),
    }
}

fn least_squares(points: &[(f64, f64)], shape: Shape) -> Fit {
    let count = points.len().max(1) as f64;
    let xs = points.iter().map(|(size, _)| transform(shape, *size));
    let mean_x = xs.sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let (mut product, mut square) = (0.0, 0.0);
    for (size, y) in points {
        let dx = transform(shape, *size) - mean_x;
        product += dx * (y - mean_y);
        square += dx * dx;
    }
    let slope = if square > 0.0 { product / square } else { 0.0 };
    Fit {
        shape,
        intercept: mean_y - slope * mean_x,
        slope,
    }
}

fn residual(points: &[(f64, f64)], fit: &Fit) -> f64 {
    let error = |(size, y): &(f64, f64)| (fit.at(*size) - y).powi(2);
    points.iter().map(error).sum()
}
