//! Guards against an environment variable that isn't UTF-8 being treated as unset: the command
//! must refuse it and name the setting.

use std::{ffi::OsStr, os::unix::ffi::OsStrExt, process::Command};

#[test]
fn non_utf8_variable_is_refused_by_name() {
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
