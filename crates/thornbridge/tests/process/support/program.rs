//! Processes of the `thornbridge` binary.

use serde::de::DeserializeOwned;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

const BINARY: &str = env!("CARGO_BIN_EXE_thornbridge");

/// Bytes of a log that are shown when a test fails.
const LOG_TAIL_BYTES: usize = 4_000;

/// A signal to a process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Kill,
    Terminate,
    Stop,
    Continue,
}

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: Child,
    log: PathBuf,
    /// Kept open, so that the process can always write.
    _output: BufReader<ChildStdout>,
}

impl Program {
    /// Starts `thornbridge` and waits for its line `ready {json}`. Its log goes to a file.
    pub fn start<T: DeserializeOwned>(
        directory: &Path,
        name: &str,
        arguments: &[&str],
    ) -> (Self, T) {
        let log = directory.join(format!("{name}.log"));
        let mut child = Command::new(BINARY)
            .args(arguments)
            .current_dir(directory)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(&log).expect("log file"))
            .spawn()
            .expect("start");
        let mut output = BufReader::new(child.stdout.take().expect("standard output"));
        let mut line = String::new();
        output.read_line(&mut line).expect("first line");
        let program = Self {
            name: name.to_owned(),
            child,
            log,
            _output: output,
        };
        let json = line.strip_prefix("ready ");
        let json =
            json.unwrap_or_else(|| panic!("{name} is not ready: {line:?} {}", program.tail()));
        let ready = serde_json::from_str(json).expect("ready line");
        (program, ready)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let signal = match signal {
            Signal::Kill => "KILL",
            Signal::Terminate => "TERM",
            Signal::Stop => "STOP",
            Signal::Continue => "CONT",
        };
        // The workspace forbids unsafe code, which a call of kill(2) would need.
        let command = format!("kill -{signal} {}", self.id());
        let sent = Command::new("sh").args(["-c", &command]).status();
        assert!(sent.expect("shell").success());
    }

    /// How the process ended, where it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("child")
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn tail(&self) -> String {
        let log = std::fs::read(&self.log).unwrap_or_default();
        let start = log.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&log[start..]).into_owned()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // A process that has ended by itself cannot be killed, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("---- log of {} ----\n{}", self.name, self.tail());
        }
    }
}

/// What a command printed and how it ended.
#[derive(Clone, Debug)]
pub struct Finished {
    pub code: Option<i32>,
    pub output: String,
    pub errors: String,
}

impl Finished {
    /// The output as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.output).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Runs a command to its end.
pub async fn run(directory: &Path, arguments: &[&str]) -> Finished {
    let mut command = Command::new(BINARY);
    command
        .args(arguments)
        .current_dir(directory)
        .stdin(Stdio::null());
    let running = tokio::task::spawn_blocking(move || command.output());
    let output = running.await.expect("command").expect("start");
    Finished {
        code: output.status.code(),
        output: String::from_utf8_lossy(&output.stdout).into_owned(),
        errors: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}
