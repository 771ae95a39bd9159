//! Command-line client of acaciareel for operators and callers.

fn main() {}
