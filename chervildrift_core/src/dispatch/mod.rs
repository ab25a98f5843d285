//! Queues and slots of one upstream.
