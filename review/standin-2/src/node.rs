//! Entry nodes as processes of their own.

use std::{
    fs::File,
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::mpsc,
    time::Duration,
};

/// A running node. Dropping it ends its process.
pub struct Node {
    child: Child,
    pub caller: SocketAddr,
}

impl Node {
    /// Starts the program of `deploy/system.toml` on free ports and waits until it listens.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Result<Self, String> {
        let settings = folder.join(format!("{name}.ini"));
        let text = format!(
            "[entry]\nname = {name}\nfailure_domain = {zone}\ncaller_address = 127.0.0.1:0\n\
             ready_address = 127.0.0.1:0\ndirectory_address = 127.0.0.1:0\n\
             peer_address = 127.0.0.1:0\noperator_address = 127.0.0.1:0\nstop_grace_s = 8\n\
             max_descriptors = 4200\n\n[store]\naddress = {store}\n\n\
             [retries]\nratio = 0.2\nslack = 100\nwindow_s = 10\n"
        );
        std::fs::write(&settings, text).map_err(|e| e.to_string())?;
        let mut child = Command::new("target/release/notchwalk-entry")
            .env("NOTCHWALK_BOOT", &settings)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("the node does not start: {e}"))?;
        // run.sh ends these processes if this one can't.
        let pids = File::options()
            .create(true)
            .append(true)
            .open(folder.join("pids"));
        let written = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        written.map_err(|e| e.to_string())?;
        let stdout = child.stdout.take().ok_or("no output")?;
        let mut log =
            File::create(folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let (tx, rx) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = writeln!(log, "{line}");
                if line.contains(" NW1001 ") {
                    let addr = line.split_once("caller=");
                    let addr = addr.and_then(|(_, text)| text.split(' ').next()?.parse().ok());
                    let _ = tx.send(addr);
                }
            }
        });
        let listening = rx.recv_timeout(Duration::from_secs(10));
        let mut node = Self {
            child,
            caller: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        node.caller = listening.ok().flatten().ok_or("the node does not listen")?;
        Ok(node)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
