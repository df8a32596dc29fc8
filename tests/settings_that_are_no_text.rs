//! An environment variable that is no text is refused by name, not taken as unset.

use std::{ffi::OsStr, os::unix::ffi::OsStrExt, process::Command};

#[test]
fn a_variable_that_is_no_text_is_named() {
    for role in ["direct-entry", "entry"] {
        let output = Command::new(env!("CARGO_BIN_EXE_sapphirewell"))
            .arg(role)
            .env("SAPPHIREWELL_LOG_LEVEL", OsStr::from_bytes(b"in\xfffo"))
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success());
        assert!(text.contains("log-level"), "{role}: {text}");
    }
}
