//! Stand-ins for the platform and the upstreams, for tests and the embedded default.
