//! The `report` command, which fetches reports from VMs.

use std::net::SocketAddr;

use clap::Args;
use quick_error::quick_error;
use tokio::runtime::Builder;

quick_error! {
    /// Error of fetching a report.
    #[derive(Debug)]
    pub enum Error {
        /// A request to a VM failed.
        Http(err: reqwest::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The runtime can't be started.
        Runtime(err: std::io::Error) {
            display("{}", err)
            source(err)
            from()
        }
    }
}

/// Options of `report burn`.
#[derive(Debug, Args)]
pub struct Options {
    /// Addresses of operators' listeners; each service is reported by one VM.
    #[arg(long, required = true, num_args = 1..)]
    operators: Vec<SocketAddr>,
    /// Prints JSON instead of text.
    #[arg(long)]
    json: bool,
}

/// Prints the burn rate report of each VM.
pub fn run(options: &Options) -> Result<(), Error> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let path = if options.json { "burn" } else { "burn.txt" };
    for address in &options.operators {
        let body = runtime.block_on(async {
            let url = format!("http://{address}/{path}");
            reqwest::get(url).await?.error_for_status()?.text().await
        })?;
        println!("{}", body.trim_end());
    }
    Ok(())
}
