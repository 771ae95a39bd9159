//! The acaciareel daemon of an entry VM.

fn main() {}
