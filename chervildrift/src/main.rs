//! The chervildrift program.

fn main() {}
