//! Nodes of a fleet. A node runs as a thread of this process or as a separate process that
//! can be killed and suspended.

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
};

use notchwalk_daemon::{DaemonError, Signals};
use notchwalkd::{
    run_until_stopped, start_in_thread, BoundAddresses, DaemonSettings, Listeners, RunningDaemon,
};
use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};

/// The addresses that a node process prints on its first line.
#[derive(Serialize, Deserialize)]
struct PrintedAddresses {
    caller: SocketAddr,
    peer: SocketAddr,
    operator: SocketAddr,
}

enum Kind {
    Thread(RunningDaemon),
    Process(Child),
}

/// A handle to a running node.
pub struct NodeHandle {
    /// Listen addresses.
    pub addresses: BoundAddresses,
    kind: Kind,
}

impl NodeHandle {
    /// Starts a node in a thread of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub fn in_thread(settings: DaemonSettings) -> Result<Self, DaemonError> {
        let node = start_in_thread(settings)?;
        Ok(Self {
            addresses: node.addresses,
            kind: Kind::Thread(node),
        })
    }

    /// Starts a node as a separate process: `program entry --settings FILE`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started or doesn't print its addresses.
    pub fn in_process(program: &Path, settings: &str) -> std::io::Result<Self> {
        let mut file = tempfile::NamedTempFile::new()?;
        file.write_all(settings.as_bytes())?;
        let mut command = Command::new(program);
        command.arg("entry").arg("--settings").arg(file.path());
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.as_mut() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let printed: PrintedAddresses = serde_json::from_str(&line)?;
        Ok(Self {
            addresses: BoundAddresses {
                caller: printed.caller,
                peer: printed.peer,
                operator: printed.operator,
            },
            kind: Kind::Process(child),
        })
    }

    fn signal(&self, signal: Signal) {
        let Kind::Process(child) = &self.kind else {
            return;
        };
        if let Some(pid) = Pid::from_raw(child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the process id, or `None` for a thread.
    pub fn process_id(&self) -> Option<u32> {
        match &self.kind {
            Kind::Thread(_) => None,
            Kind::Process(child) => Some(child.id()),
        }
    }

    /// Starts a graceful shutdown.
    pub fn drain(&self) {
        match &self.kind {
            Kind::Thread(node) => node.drain(),
            Kind::Process(_) => self.signal(Signal::TERM),
        }
    }

    /// Kills the node without draining.
    pub fn kill(&mut self) {
        match &mut self.kind {
            Kind::Thread(node) => node.kill(),
            Kind::Process(child) => drop(child.kill()),
        }
    }

    /// Suspends a process. Has no effect on a thread.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the node to exit. Returns whether it exited cleanly.
    pub fn join(self) -> bool {
        match self.kind {
            Kind::Thread(node) => node.join().is_ok(),
            Kind::Process(mut child) => child.wait().is_ok_and(|status| status.success()),
        }
    }
}

/// Runs a node as this process and prints its addresses on the first line.
///
/// # Errors
///
/// Returns an error if the node can't start.
pub fn run_node(settings: &Path) -> Result<(), DaemonError> {
    let settings = DaemonSettings::load(settings)?;
    let signals = Signals::from_process()?;
    let listeners = Listeners::bind(&settings)?;
    let addresses = listeners.addresses()?;
    let printed = PrintedAddresses {
        caller: addresses.caller,
        peer: addresses.peer,
        operator: addresses.operator,
    };
    println!("{}", serde_json::to_string(&printed).unwrap_or_default());
    run_until_stopped(settings, listeners, signals)
}
