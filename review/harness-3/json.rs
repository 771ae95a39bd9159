//! The little JSON that the stand-ins read: values of known keys at the top level of a flat object.

/// Returns the text after `"key":`, without white space.
fn after_key<'a>(body: &'a str, key: &str) -> Option<&'a str> {
    let name = format!("\"{key}\"");
    let mut rest = body;
    loop {
        let at = rest.find(&name)?;
        rest = rest[at + name.len()..].trim_start();
        if let Some(value) = rest.strip_prefix(':') {
            return Some(value.trim_start());
        }
    }
}

/// Returns a whole number.
pub fn number(body: &str, key: &str) -> Option<u64> {
    let value = after_key(body, key)?;
    let end = value
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(value.len());
    value[..end].parse().ok()
}

/// Returns a text without escapes.
pub fn text<'a>(body: &'a str, key: &str) -> Option<&'a str> {
    let value = after_key(body, key)?.strip_prefix('"')?;
    Some(&value[..value.find('"')?])
}
