//! `sapphirewell explain`: what the logs tell of one request.

use std::{
    io::{BufRead, BufReader, Read},
    process::ExitCode,
};

use serde::Deserialize;

use super::{CommandLine, fail};
use crate::error::{Error, ErrorCode, Result};

/// Line of a log, as far as an explanation needs it.
#[derive(Debug, Deserialize)]
struct LogLine {
    timestamp: String,
    level: String,
    message: String,
    #[serde(default)]
    kvs: serde_json::Map<String, serde_json::Value>,
}

/// Prints the lines of one request from log files, or from standard input.
pub(crate) fn explain(request: &str, files: &[&str], line: &CommandLine) -> ExitCode {
    let errors = line.unknown_flags(&[]);
    if !errors.is_empty() {
        return fail(&errors);
    }
    let lines = match read_all(request, files) {
        Ok(lines) => lines,
        Err(error) => return fail(&[error]),
    };
    if lines.is_empty() {
        let place = format!("request {request:?} in these logs");
        return fail(&[Error::new(ErrorCode::NotFound, place)]);
    }
    for (file, line) in lines {
        println!("{}", describe(&file, &line));
    }
    ExitCode::SUCCESS
}

fn read_all(request: &str, files: &[&str]) -> Result<Vec<(String, LogLine)>> {
    let mut lines = Vec::new();
    if files.is_empty() {
        lines.extend(matching(request, "-", std::io::stdin().lock())?);
    }
    for file in files {
        let opened = std::fs::File::open(file);
        let opened =
            opened.map_err(|e| Error::new(ErrorCode::NotFound, format!("{file} ({e})")))?;
        lines.extend(matching(request, file, opened)?);
    }
    lines.sort_by(|a, b| a.1.timestamp.cmp(&b.1.timestamp));
    Ok(lines)
}

fn matching(request: &str, file: &str, log: impl Read) -> Result<Vec<(String, LogLine)>> {
    let mut found = Vec::new();
    for text in BufReader::new(log).lines() {
        let text = text.map_err(|e| Error::new(ErrorCode::Malformed, format!("{file} ({e})")))?;
        // Other programs may write beside the log; a prefix before the document is allowed.
        let document = text.find('{').map_or("", |start| &text[start..]);
        let Ok(line) = serde_json::from_str::<LogLine>(document) else { continue };
        if line.kvs.get("request").and_then(|id| id.as_str()) == Some(request) {
            found.push((file.to_owned(), line));
        }
    }
    Ok(found)
}

fn describe(file: &str, line: &LogLine) -> String {
    let mut text = format!("{} {} {file}: {}", line.timestamp, line.level, line.message);
    for (name, value) in line.kvs.iter().filter(|(name, _)| *name != "calls" && *name != "request")
    {
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        if !value.is_empty() {
            text.push_str(&format!("\n  {name}: {value}"));
        }
    }
    let calls = line.kvs.get("calls").and_then(|calls| calls.as_str()).unwrap_or("");
    for (index, call) in calls.split("; ").filter(|call| !call.is_empty()).enumerate() {
        text.push_str(&format!("\n  call {}: {call}", index + 1));
    }
    text
}
