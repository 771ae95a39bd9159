//! Measurements at several sizes of one parameter, with slopes by least squares.

/// Values of one measured quantity, one for each size.
struct Row {
    name: String,
    values: Vec<f64>,
}

/// Measured quantities at several sizes of one parameter.
pub struct Series {
    title: &'static str,
    parameter: &'static str,
    sizes: Vec<f64>,
    rows: Vec<Row>,
}

impl Series {
    /// Creates an empty series; `parameter` names the quantity that the sizes count.
    pub fn new(title: &'static str, parameter: &'static str) -> Self {
        Self {
            title,
            parameter,
            sizes: Vec::new(),
            rows: Vec::new(),
        }
    }

    /// Begins the next size; values added afterwards belong to it.
    pub fn begin_size(&mut self, size: u32) {
        self.sizes.push(f64::from(size));
    }

    /// Adds a value for the current size.
    pub fn add(&mut self, name: impl Into<String>, value: f64) {
        let name = name.into();
        let position = self.rows.iter().position(|row| row.name == name);
        let row = if let Some(position) = position {
            &mut self.rows[position]
        } else {
            let values = Vec::new();
            self.rows.push(Row { name, values });
            self.rows.last_mut().expect("just added")
        };
        row.values.push(value);
    }

    /// Prints sizes, values, slope per unit of the parameter, value at size 0 and R squared.
    pub fn print(&self) {
        println!("\n== {} ==", self.title);
        print!("{:<44}", self.parameter);
        for size in &self.sizes {
            print!(" {size:>10}");
        }
        println!(" {:>12} {:>12} {:>6}", "slope", "at 0", "R2");
        for row in &self.rows {
            print!("{:<44}", row.name);
            for value in &row.values {
                print!(" {:>10}", format_number(*value));
            }
            match fit(&self.sizes, &row.values) {
                Some((slope, base, r2)) => {
                    println!(
                        " {:>12} {:>12} {r2:>6.3}",
                        format_number(slope),
                        format_number(base)
                    );
                }
                None => println!(" {:>12}", "-"),
            }
        }
    }
}

/// Fits a line by least squares; returns slope, value at 0 and R squared, or `None` unless both
/// slices have the same length of at least two.
pub fn fit(x: &[f64], y: &[f64]) -> Option<(f64, f64, f64)> {
    if x.len() != y.len() || x.len() < 2 {
        return None;
    }
    let count = x.iter().map(|_| 1.0).sum::<f64>();
    let (mean_x, mean_y) = (x.iter().sum::<f64>() / count, y.iter().sum::<f64>() / count);
    let var_x: f64 = x.iter().map(|x| (x - mean_x).powi(2)).sum();
    let var_y: f64 = y.iter().map(|y| (y - mean_y).powi(2)).sum();
    let both = x.iter().zip(y);
    let cov: f64 = both.map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = cov / var_x;
    let r2 = if var_y > 0.0 {
        cov * cov / (var_x * var_y)
    } else {
        1.0
    };
    Some((slope, mean_y - slope * mean_x, r2))
}

/// Formats a value with three decimals below 10, one below 1,000 and none above.
pub fn format_number(value: f64) -> String {
    let size = value.abs();
    if size >= 1_000.0 {
        format!("{value:.0}")
    } else if size >= 10.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.3}")
    }
}
