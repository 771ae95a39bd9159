//! Suggestions for misspelt names.

/// Returns the known name with the smallest edit distance, if that is at most half of its length.
#[must_use]
pub fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|known| (edit_distance(name, known), *known))
        .filter(|(distance, known)| distance * 2 <= known.chars().count())
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, known)| known)
}

/// Returns the Levenshtein distance in characters. `row` holds one row of the distance matrix.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
