//! Limit of open files.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// Raises the process's soft limit of open files to the hard limit, since each
/// connection needs a descriptor. Returns the limit in force.
pub fn raise_file_limit() -> Option<u64> {
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: limit.maximum,
        maximum: limit.maximum,
    };
    let _ = setrlimit(Resource::Nofile, raised);
    getrlimit(Resource::Nofile).current
}
