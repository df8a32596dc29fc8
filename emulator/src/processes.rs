//! Child processes of the load tool, ended by their own ids.

use std::{
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

/// One child process.
#[derive(Debug)]
pub struct ChildProcess {
    /// Its name in reports.
    pub name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts a program with its output in a file.
    ///
    /// # Errors
    /// Returns the failure to start it or to create the file.
    pub fn spawn(
        name: &str,
        program: &Path,
        arguments: &[String],
        output: &Path,
    ) -> io::Result<ChildProcess> {
        ChildProcess::spawn_with(name, program, arguments, &[], output)
    }

    /// Starts a program with environment variables of its own.
    ///
    /// # Errors
    /// Returns the failure to start it or to create the file.
    pub fn spawn_with(
        name: &str,
        program: &Path,
        arguments: &[String],
        variables: &[(&str, String)],
        output: &Path,
    ) -> io::Result<ChildProcess> {
        let file = std::fs::File::create(output)?;
        let child = Command::new(program)
            .args(arguments)
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        Ok(ChildProcess { name: name.to_owned(), child })
    }

    /// Sends a signal by name, such as TERM, KILL, STOP or CONT.
    ///
    /// # Errors
    /// Returns the failure to run `kill`.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill").args([format!("-{signal}"), id]).status().map(|_| ())
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the process to end, for at most `limit`.
    ///
    /// # Errors
    /// Returns [`io::ErrorKind::TimedOut`] where it does not end.
    pub fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if started.elapsed() > limit {
                return Err(io::Error::new(io::ErrorKind::TimedOut, self.name.clone()));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Already ended processes make both fail, which is harmless.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Returns the `sapphirewell` program that was built beside this one, building it where it is missing.
///
/// # Errors
/// Returns the failure of the build.
pub fn system_program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut folder = own.parent().map(Path::to_path_buf).unwrap_or_default();
    if folder.ends_with("deps") {
        folder.pop();
    }
    let program = folder.join("sapphirewell");
    let mut build = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned()));
    build.args(["build", "-q", "-p", "sapphirewell", "--bin", "sapphirewell"]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    let status = build.status()?;
    if !status.success() {
        return Err(io::Error::other("sapphirewell was not built"));
    }
    Ok(program)
}

/// Returns the program with the stand-ins that was built beside this one.
///
/// # Errors
/// Returns the failure to find the own program.
pub fn emulator_program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut folder = own.parent().map(Path::to_path_buf).unwrap_or_default();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder.join("emulator"))
}
