//! Entry daemons of a fleet: threads of this process, or processes of their
//! own, which can be killed and paused as real ones.

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

/// The addresses an entry process prints on its first line.
#[derive(Serialize, Deserialize)]
struct Printed {
    caller: SocketAddr,
    peer: SocketAddr,
    operator: SocketAddr,
}

enum Kind {
    Thread(RunningDaemon),
    Process(Child),
}

/// A running entry daemon.
pub struct Entry {
    /// Where it listens.
    pub addresses: BoundAddresses,
    kind: Kind,
}

impl Entry {
    /// Starts a daemon in a thread.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub fn in_thread(settings: DaemonSettings) -> Result<Self, DaemonError> {
        let daemon = start_in_thread(settings)?;
        Ok(Self {
            addresses: daemon.addresses,
            kind: Kind::Thread(daemon),
        })
    }

    /// Starts a daemon as a process: `program entry --settings FILE`.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started or says nothing.
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
        let printed: Printed = serde_json::from_str(&line)?;
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

    /// Returns the process's number, if it is one.
    pub fn process_id(&self) -> Option<u32> {
        match &self.kind {
            Kind::Thread(_) => None,
            Kind::Process(child) => Some(child.id()),
        }
    }

    /// Tells it to drain and end.
    pub fn stop(&self) {
        match &self.kind {
            Kind::Thread(daemon) => daemon.stop(),
            Kind::Process(_) => self.signal(Signal::TERM),
        }
    }

    /// Ends it at once, as a crash would.
    pub fn kill(&mut self) {
        match &mut self.kind {
            Kind::Thread(daemon) => daemon.kill(),
            Kind::Process(child) => drop(child.kill()),
        }
    }

    /// Pauses a process; threads can't be paused.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for its end; tells whether it ended in order.
    pub fn join(self) -> bool {
        match self.kind {
            Kind::Thread(daemon) => daemon.join().is_ok(),
            Kind::Process(mut child) => child.wait().is_ok_and(|status| status.success()),
        }
    }
}

/// Runs a daemon as this process; prints its addresses on the first line.
///
/// # Errors
///
/// Fails if it can't start.
pub fn run_entry(settings: &Path) -> Result<(), DaemonError> {
    let settings = DaemonSettings::load(settings)?;
    let signals = Signals::from_process()?;
    let listeners = Listeners::bind(&settings)?;
    let addresses = listeners.addresses()?;
    let printed = Printed {
        caller: addresses.caller,
        peer: addresses.peer,
        operator: addresses.operator,
    };
    println!("{}", serde_json::to_string(&printed).unwrap_or_default());
    run_until_stopped(settings, listeners, signals)
}
