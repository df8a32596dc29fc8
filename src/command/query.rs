//! Commands that change nothing: `sapphirewell state` and `sapphirewell check`.

use std::{process::ExitCode, time::Duration};

use bytes::Bytes;
use hyper::Method;

use super::{CommandLine, fail};
use crate::{
    contract::{CustomerContract, MAX_CONTRACT_BYTES},
    error::{Error, ErrorCode, Result},
    process::http::HttpClient,
};

const STATE_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn check(file: &str, line: &CommandLine) -> ExitCode {
    if line.help {
        println!("sapphirewell check FILE: checks a contract without publishing it");
        return ExitCode::SUCCESS;
    }
    match read_contract(file) {
        Ok(contract) => {
            println!(
                "{file}: contract of {} with {} kinds is valid",
                contract.customer,
                contract.kinds.len()
            );
            ExitCode::SUCCESS
        }
        Err(error) => fail(&[error]),
    }
}

/// Reads and validates a contract file.
pub(super) fn read_contract(file: &str) -> Result<CustomerContract> {
    let metadata = std::fs::metadata(file)
        .map_err(|e| Error::new(ErrorCode::NotFound, format!("{file} ({e})")))?;
    if metadata.len() > MAX_CONTRACT_BYTES as u64 {
        return Err(Error::new(ErrorCode::TooLarge, format!("{file} of {} bytes", metadata.len())));
    }
    let text = std::fs::read(file)
        .map_err(|e| Error::new(ErrorCode::NotFound, format!("{file} ({e})")))?;
    CustomerContract::parse(&text)
        .map_err(|e| Error::new(e.code(), format!("{file}: {}", e.place())))
}

pub(super) fn state(address: &str, line: &CommandLine) -> ExitCode {
    if line.help {
        println!(
            "sapphirewell state IP:PORT: prints the state of the process that listens there, as JSON"
        );
        return ExitCode::SUCCESS;
    }
    let work = async {
        let url = format!("http://{address}/state");
        let client = HttpClient::new(0);
        let (status, body) = client.send(Method::GET, &url, Bytes::new(), STATE_TIMEOUT).await?;
        if !status.is_success() {
            return Err(Error::new(ErrorCode::Network, format!("{url} status {status}")));
        }
        Ok(String::from_utf8_lossy(&body).into_owned())
    };
    match block_on(work) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(&[error]),
    }
}

/// Runs a future to completion on a new single-threaded runtime.
pub(super) fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::new(ErrorCode::Network, format!("runtime ({e})")))?;
    runtime.block_on(work)
}
