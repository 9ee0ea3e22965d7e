//! The arguments of all commands.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// What stands at the end of the help.
const EXAMPLES: &str = "Examples:
    
    notchwalk check --settings entry.ini --bundle bundle/
    notchwalk status --operator 10.0.0.1:7300 --operator 10.0.0.2:7300
    notchwalk explain --log entry-1.log --log entry-2.log 9c41d07be2a35f68
    notchwalk bundle propose bundle/ --platform 10.0.0.9:7000 --as amna
        --key amna.key --reason 'more for rig checks' --out change.json
    Exit codes:
    0 done, 1 a file can't be used, 2 faulty input, 3 another operator
    was faster, 4 the platform or a daemon did not answer";

/// Operates notchwalk.
///
///
/// Settings are checked, daemons looked at, and bundles changed, reviewed and
/// rolled out. Shell completion: `notchwalk --bpaf-complete-style-bash`, and
/// likewise for zsh, fish and elvish.
///
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXAMPLES))]
pub enum Command {
    /// Check a daemon's settings or a bundle's folder; all findings at once
    #[bpaf(command)]
    Check {
        /// A daemon's settings file
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
        /// A folder with a bundle's parts
        #[bpaf(argument("DIR"))]
        bundle: Option<PathBuf>,
    },
    /// Show each daemon: ready, bundle version, load, peers
    #[bpaf(command)]
    Status {
        /// A daemon's operator address; may be repeated
        #[bpaf(argument("ADDR"), some("at least one --operator is needed"))]
        operator: Vec<SocketAddr>,
    },
    /// Print a daemon's whole state as JSON
    #[bpaf(command)]
    Dump {
        /// The daemon's operator address
        #[bpaf(argument("ADDR"))]
        operator: SocketAddr,
    },
    /// Tell a daemon to finish its work and end
    #[bpaf(command)]
    Drain {
        /// The daemon's operator address
        #[bpaf(argument("ADDR"))]
        operator: SocketAddr,
    },
    /// Show the requests that servers end under, or send one to servers again
    #[bpaf(command)]
    Quarantine {
        /// The operator address of an entry for routed requests
        #[bpaf(argument("ADDR"))]
        operator: SocketAddr,
        /// End the quarantine of this content, on all entries
        #[bpaf(argument("CONTENT"))]
        release: Option<String>,
    },
    /// Tell why a routed request ended as it did, out of entries' logs
    #[bpaf(command)]
    Explain {
        /// An entry's log; may be repeated
        #[bpaf(argument("FILE"), some("at least one --log is needed"))]
        log: Vec<PathBuf>,
        /// The request's id as its caller sent it
        #[bpaf(positional("ID"))]
        request: String,
    },
    /// Keys of operators and workspaces
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Bundles: change, review, sign, roll out
    #[bpaf(command)]
    Bundle(#[bpaf(external(bundle_command))] BundleCommand),
}

/// Commands about keys.
#[derive(Clone, Debug, Bpaf)]
pub enum KeyCommand {
    /// Make an operator's key; prints the public key for operators.ini
    #[bpaf(command)]
    New {
        /// Where the private key is written
        #[bpaf(argument("FILE"))]
        out: PathBuf,
    },
    /// Print the hash of a workspace's key for workspaces.ini; the key is read from standard input
    #[bpaf(command)]
    Hash,
    /// Make a key for daemons to know each other by, for their settings
    #[bpaf(command)]
    Peer,
}

/// Who signs.
#[derive(Clone, Debug, Bpaf)]
pub struct Signer {
    /// The operator's name in operators.ini
    #[bpaf(long("as"), argument("NAME"))]
    pub operator: String,
    /// The operator's private key
    #[bpaf(argument("FILE"))]
    pub key: PathBuf,
}

/// Commands about bundles.
#[derive(Clone, Debug, Bpaf)]
pub enum BundleCommand {
    /// Write a folder with an example of each part
    #[bpaf(command)]
    New {
        /// The folder
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Check a folder; all findings at once
    #[bpaf(command)]
    Check {
        /// The folder
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Show how a folder differs from what is in force
    #[bpaf(command)]
    Diff {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// The folder
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Make a proposal of a folder and sign it as its author
    #[bpaf(command)]
    Propose {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// Who signs
        #[bpaf(external)]
        signer: Signer,
        /// Why the change is made
        #[bpaf(argument("TEXT"))]
        reason: String,
        /// Where the proposal is written
        #[bpaf(argument("FILE"))]
        out: PathBuf,
        /// The folder
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Show a proposal: who signed, why, and what changes
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
        /// Who signs
        #[bpaf(external)]
        signer: Signer,
        /// The proposal
        #[bpaf(positional("FILE"))]
        proposal: PathBuf,
    },
    /// Bring a signed proposal into force; safe to repeat
    #[bpaf(command)]
    Submit {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// The proposal
        #[bpaf(positional("FILE"))]
        proposal: PathBuf,
    },
    /// List the versions, the newest first
    #[bpaf(command)]
    History {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// How many at the most
        #[bpaf(argument("N"), fallback(20))]
        most: usize,
    },
    /// Make a proposal with the content of an earlier version; the version still rises
    #[bpaf(command)]
    Rollback {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// Who signs
        #[bpaf(external)]
        signer: Signer,
        /// Where the proposal is written
        #[bpaf(argument("FILE"))]
        out: PathBuf,
        /// The version whose content comes back
        #[bpaf(positional("VERSION"))]
        version: u64,
    },
    /// Show which version is in force where
    #[bpaf(command)]
    Status {
        /// The platform's address
        #[bpaf(argument("ADDR"))]
        platform: SocketAddr,
        /// A daemon's operator address; may be repeated
        #[bpaf(argument("ADDR"), many)]
        operator: Vec<SocketAddr>,
    },
}
