//! Library behind the `chervildrift` program, so that tests and benchmarks can use its modules.

pub mod cli;
pub mod control_store;
pub mod explain;
pub mod gossip;
pub mod http;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod operator_files;
pub mod peer;
pub mod publish;
pub mod relay;
pub mod replay;
pub mod report;
pub mod serve;
pub mod try_out;
pub mod upstream;
pub mod wall_clock;
pub mod work;
