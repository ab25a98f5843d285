//! Access to the platform's tables, objects and VM list over HTTP.
