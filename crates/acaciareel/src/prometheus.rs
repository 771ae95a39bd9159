//! Parser of metrics pages in the Prometheus text format.

/// One sample line of a metrics page.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Metric name.
    pub name: String,
    /// Label names and unescaped values, in the order of the page.
    pub labels: Vec<(String, String)>,
    pub value: f64,
}

impl Sample {
    /// Returns the value of a label, empty where it is absent.
    pub fn label(&self, name: &str) -> &str {
        let found = self.labels.iter().find(|(label, _)| label == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Parses the samples of a page. Comments and malformed lines are skipped.
pub fn parse_samples(page: &str) -> Vec<Sample> {
    page.lines().filter_map(parse_sample).collect()
}

/// Returns the sum of all samples of a metric, over all its labels; 0 if there are none.
pub fn sum(samples: &[Sample], name: &str) -> f64 {
    let found = samples.iter().filter(|sample| sample.name == name);
    // `Iterator::sum` of no numbers is -0.0.
    found.fold(0.0, |total, sample| total + sample.value)
}

fn parse_sample(line: &str) -> Option<Sample> {
    if line.starts_with('#') {
        return None;
    }
    let name_end = line.find(['{', ' '])?;
    let (name, rest) = line.split_at(name_end);
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => parse_labels(rest)?,
        None => (Vec::new(), rest),
    };
    Some(Sample {
        name: name.to_owned(),
        labels,
        value: rest.split_whitespace().next()?.parse().ok()?,
    })
}

/// Parses labels up to the closing brace, and returns them with the rest of the line.
fn parse_labels(mut text: &str) -> Option<(Vec<(String, String)>, &str)> {
    let mut labels = Vec::new();
    loop {
        text = text.trim_start_matches([',', ' ']);
        if let Some(rest) = text.strip_prefix('}') {
            return Some((labels, rest));
        }
        let (name, rest) = text.split_once("=\"")?;
        let (value, rest) = parse_quoted(rest)?;
        labels.push((name.to_owned(), value));
        text = rest;
    }
}

/// Parses a label value up to its closing quote, and returns it with the rest of the line.
///
/// A backslash escapes the next character; `\n` is a line break.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
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
