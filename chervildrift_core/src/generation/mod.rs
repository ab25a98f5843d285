//! Generations of the published configuration.
