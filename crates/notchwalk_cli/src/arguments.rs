//! The command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Footer of the help output.
const EXAMPLES: &str = "Examples:
    
    notchwalk check --settings entry.ini --bundle bundle/
    notchwalk status --operator 10.0.0.1:7300 --operator 10.0.0.2:7300
    notchwalk explain --log entry-1.log --log entry-2.log 9c41d07be2a35f68
    notchwalk bundle propose bundle/ --platform 10.0.0.9:7000 --as amna
        --key amna.key --reason 'more for rig checks' --out change.json
    Exit codes:
    0 success, 1 file error, 2 invalid input, 3 another version of the
    bundle was accepted first, 4 the platform or a daemon failed or did
    not respond";

/// Operates notchwalk.
///
///
/// Checks settings, shows the state of daemons, and changes, reviews and rolls
/// out bundles. Shell completion: `notchwalk --bpaf-complete-style-bash`, and
/// likewise for zsh, fish and elvish.
///
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXAMPLES))]
pub enum Command {
    /// Check a daemon's settings or a bundle's directory and report all findings
    #[bpaf(command)]
    Check {
        /// A daemon's settings file
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
        /// A directory with a bundle's parts
        #[bpaf(argument("DIR"))]
        bundle: Option<PathBuf>,
    },
    /// Show the readiness, bundle version, load and peers of each daemon
    #[bpaf(command)]
    Status {
        /// A daemon's operator address; can be repeated
        #[bpaf(argument("ADDR"), some("at least one --operator is required"))]
        operator: Vec<SocketAddr>,
    },
    /// Print the complete state of a daemon as JSON
    #[bpaf(command)]
    Dump {
        /// The daemon's operator address
        #[bpaf(argument("ADDR"))]
        operator: SocketAddr,
    },
    /// Drain a daemon: it completes open requests and exits
    #[bpaf(command)]
    Drain {
        /// The daemon's operator address
        #[bpaf(argument("ADDR"))]
        operator: SocketAddr,
    },
    /// List requests suspected of crashing backend servers, or release one from quarantine
    #[bpaf(command)]
    Quarantine {
        /// The operator address of a node that routes requests
        #[bpaf(argument("ADDR"))]
        operator: SocketAddr,
        /// Release this content, or part of prompts, from quarantine on all nodes
        #[bpaf(argument("CONTENT"))]
        release: Option<String>,
    },
    /// Explain the outcome of a routed request from the logs of nodes
    #[bpaf(command)]
    Explain {
        /// A node's log; can be repeated
        #[bpaf(argument("FILE"), some("at least one --log is required"))]
        log: Vec<PathBuf>,
        /// The request id that the caller sent
        #[bpaf(positional("ID"))]
        request: String,
    },
    /// Manage the keys of operators, workspaces and peers
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Change, review, sign and roll out bundles
    #[bpaf(command)]
    Bundle(#[bpaf(external(bundle_command))] BundleCommand),
}

/// Key commands
#[derive(Clone, Debug, Bpaf)]
pub enum KeyCommand {
    /// Generate an operator's key pair; prints the public key for operators.ini
    #[bpaf(command)]
    New {
        /// File to write the private key to
        #[bpaf(argument("FILE"))]
        out: PathBuf,
    },
    /// Print the hash of a workspace's key for workspaces.ini; the key is read from standard input
    #[bpaf(command)]
    Hash,
    /// Generate a key with which daemons authenticate each other, for their settings
    #[bpaf(command)]
    Peer,
}

/// Signing options
#[derive(Clone, Debug, Bpaf)]
pub struct Signer {
    /// The operator's name in operators.ini
    #[bpaf(long("as"), argument("NAME"))]
    pub operator: String,
    /// The operator's private key
    #[bpaf(argument("FILE"))]
    pub key: PathBuf,
}

/// Bundle commands
#[derive(Clone, Debug, Bpaf)]
pub enum BundleCommand {
    /// Write a directory with an example of each part
    #[bpaf(command)]
    New {
        /// The directory
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Check a directory and report all findings
    #[bpaf(command)]
    Check {
        /// The directory
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Show the differences between the bundle in force and a directory
    #[bpaf(command)]
    Diff {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// The directory
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Create a proposal from a directory and sign it as its author
    #[bpaf(command)]
    Propose {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// The operator who signs
        #[bpaf(external)]
        signer: Signer,
        /// Reason for the change
        #[bpaf(argument("TEXT"))]
        reason: String,
        /// File to write the proposal to
        #[bpaf(argument("FILE"))]
        out: PathBuf,
        /// The directory
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Show the signatures, reason and changes of a proposal
    #[bpaf(command)]
    Review {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// The proposal
        #[bpaf(positional("FILE"))]
        proposal: PathBuf,
    },
    /// Sign a proposal as its reviewer
    #[bpaf(command)]
    Sign {
        /// The operator who signs
        #[bpaf(external)]
        signer: Signer,
        /// The proposal
        #[bpaf(positional("FILE"))]
        proposal: PathBuf,
    },
    /// Submit a signed proposal; safe to repeat
    #[bpaf(command)]
    Submit {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// The proposal
        #[bpaf(positional("FILE"))]
        proposal: PathBuf,
    },
    /// List versions, newest first
    #[bpaf(command)]
    History {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// Maximum number of versions
        #[bpaf(argument("N"), fallback(20))]
        most: usize,
    },
    /// Create a proposal with the content of an earlier version, as a new version
    #[bpaf(command)]
    Rollback {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// The operator who signs
        #[bpaf(external)]
        signer: Signer,
        /// File to write the proposal to
        #[bpaf(argument("FILE"))]
        out: PathBuf,
        /// The version whose content is restored
        #[bpaf(positional("VERSION"))]
        version: u64,
    },
    /// Show the version in force on the platform and on each daemon
    #[bpaf(command)]
    Status {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// A daemon's operator address; can be repeated
        #[bpaf(argument("ADDR"), many)]
        operator: Vec<SocketAddr>,
    },
}
