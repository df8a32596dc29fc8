//! Child processes of the emulator, signalled by process id.

use std::{
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

/// Child process; dropping it kills it and waits for its exit.
#[derive(Debug)]
pub struct ChildProcess {
    /// Name used in reports and errors.
    pub name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts a program and redirects its stdout and stderr to the file `output`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be created or the program cannot start.
    pub fn spawn(
        name: &str,
        program: &Path,
        arguments: &[String],
        output: &Path,
    ) -> io::Result<ChildProcess> {
        ChildProcess::spawn_with(name, program, arguments, &[], output)
    }

    /// Starts a program like [`spawn`](Self::spawn), with additional environment variables.
    ///
    /// # Errors
    /// Returns an error if the file cannot be created or the program cannot start.
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
    /// Returns an error if the `kill` command cannot be run.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill").args([format!("-{signal}"), id]).status().map(|_| ())
    }

    /// Returns the operating system's process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the process to exit, for at most `timeout`.
    ///
    /// # Errors
    /// Returns [`io::ErrorKind::TimedOut`] if the process is still running after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if started.elapsed() > timeout {
                return Err(io::Error::new(io::ErrorKind::TimedOut, self.name.clone()));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // `kill` fails if the process has already exited, which is harmless.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Builds `sapphirewell` in the profile of the running program and returns its path.
/// Cargo does nothing if the build is up to date.
///
/// # Errors
/// Returns an error if the build fails or the running program's path is unknown.
pub fn system_program() -> io::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let mut directory = current.parent().map(Path::to_path_buf).unwrap_or_default();
    if directory.ends_with("deps") {
        directory.pop();
    }
    let program = directory.join("sapphirewell");
    let mut build = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned()));
    build.args(["build", "-q", "-p", "sapphirewell", "--bin", "sapphirewell"]);
    if directory.ends_with("release") {
        build.arg("--release");
    }
    let status = build.status()?;
    if !status.success() {
        return Err(io::Error::other(format!("building sapphirewell failed: {status}")));
    }
    Ok(program)
}

/// Returns the path of the `emulator` program, which is in the directory of the
/// running program.
///
/// # Errors
/// Returns an error if the running program's path is unknown.
pub fn emulator_program() -> io::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let mut directory = current.parent().map(Path::to_path_buf).unwrap_or_default();
    if directory.ends_with("deps") {
        directory.pop();
    }
    Ok(directory.join("emulator"))
}
