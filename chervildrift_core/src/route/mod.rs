//! Choice of an upstream and a dispatcher for a request.
