//! Reader of a metrics page in the Prometheus text format.

/// One line of the page.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Name of the metric.
    pub name: String,
    /// Names and values of the labels.
    pub labels: Vec<(String, String)>,
    /// Value.
    pub value: f64,
}

impl Sample {
    /// Returns the value of a label, empty where it is absent.
    pub fn label(&self, name: &str) -> &str {
        let found = self.labels.iter().find(|(label, _)| label == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Reads the samples of a page; lines of another form are left out.
pub fn samples(page: &str) -> Vec<Sample> {
    page.lines().filter_map(sample).collect()
}

/// Returns the sum of all samples of a metric.
pub fn sum(samples: &[Sample], name: &str) -> f64 {
    let found = samples.iter().filter(|sample| sample.name == name);
    // The sum of no numbers would be -0.0.
    found.fold(0.0, |total, sample| total + sample.value)
}

fn sample(line: &str) -> Option<Sample> {
    if line.starts_with('#') {
        return None;
    }
    let end = line.find(['{', ' '])?;
    let (name, rest) = line.split_at(end);
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => labels(rest)?,
        None => (Vec::new(), rest),
    };
    Some(Sample {
        name: name.to_owned(),
        labels,
        value: rest.split_whitespace().next()?.parse().ok()?,
    })
}

/// Reads labels up to the closing brace, and returns them with the rest of the line.
fn labels(mut text: &str) -> Option<(Vec<(String, String)>, &str)> {
    let mut labels = Vec::new();
    loop {
        text = text.trim_start_matches([',', ' ']);
        if let Some(rest) = text.strip_prefix('}') {
            return Some((labels, rest));
        }
        let (name, rest) = text.split_once("=\"")?;
        let (value, rest) = quoted(rest)?;
        labels.push((name.to_owned(), value));
        text = rest;
    }
}

/// Reads a value up to its closing quote; a backslash escapes a character.
fn quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((at, character)) = characters.next() {
        match character {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => match characters.next()?.1 {
                'n' => value.push('\n'),
                escaped => value.push(escaped),
            },
            other => value.push(other),
        }
    }
    None
}
