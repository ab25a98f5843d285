//! Service-level burn over several windows.
