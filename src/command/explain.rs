//! `sapphirewell explain`: prints the log lines of one request.

use std::{
    io::{BufRead, BufReader, Read},
    process::ExitCode,
};

use serde::Deserialize;

use super::{CommandLine, fail};
use crate::error::{Error, ErrorCode, Result};

/// Log line, with the fields that are printed.
#[derive(Debug, Deserialize)]
struct LogLine {
    timestamp: String,
    level: String,
    message: String,
    #[serde(default)]
    kvs: serde_json::Map<String, serde_json::Value>,
}

/// Prints the log lines of one request from files, or from standard input if there are none.
pub(crate) fn explain(request: &str, files: &[&str], line: &CommandLine) -> ExitCode {
    let errors = line.unknown_flags(&[]);
    if !errors.is_empty() {
        return fail(&errors);
    }
    let lines = match read_request_lines(request, files) {
        Ok(lines) => lines,
        Err(error) => return fail(&[error]),
    };
    if lines.is_empty() {
        let place = format!("request {request:?} in these logs");
        return fail(&[Error::new(ErrorCode::NotFound, place)]);
    }
    for (file, line) in lines {
        println!("{}", format_line(&file, &line));
    }
    ExitCode::SUCCESS
}

/// Reads the lines of a request from all logs, in order of time.
fn read_request_lines(request: &str, files: &[&str]) -> Result<Vec<(String, LogLine)>> {
    let mut lines = Vec::new();
    if files.is_empty() {
        lines.extend(find_request_lines(request, "-", std::io::stdin().lock())?);
    }
    for file in files {
        let opened = std::fs::File::open(file);
        let opened =
            opened.map_err(|e| Error::new(ErrorCode::NotFound, format!("{file} ({e})")))?;
        lines.extend(find_request_lines(request, file, opened)?);
    }
    lines.sort_by(|a, b| a.1.timestamp.cmp(&b.1.timestamp));
    Ok(lines)
}

/// Returns the lines of a request in one log, each with the name of its file.
fn find_request_lines(request: &str, file: &str, log: impl Read) -> Result<Vec<(String, LogLine)>> {
    let mut found = Vec::new();
    for text in BufReader::new(log).lines() {
        let text = text.map_err(|e| Error::new(ErrorCode::Malformed, format!("{file} ({e})")))?;
        // Other programs may write to the same output: text before a JSON document is skipped,
        // and lines without one are ignored.
        let document = text.find('{').map_or("", |start| &text[start..]);
        let Ok(line) = serde_json::from_str::<LogLine>(document) else { continue };
        if line.kvs.get("request").and_then(|id| id.as_str()) == Some(request) {
            found.push((file.to_owned(), line));
        }
    }
    Ok(found)
}

fn format_line(file: &str, line: &LogLine) -> String {
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
