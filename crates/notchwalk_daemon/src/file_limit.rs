//! The limit of open files: each connection needs one.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// Raises the process's limit of open files as far as the system allows, so
/// that thousands of idle connections fit. Returns the limit in force.
pub fn raise_file_limit() -> Option<u64> {
    let limit = getrlimit(Resource::Nofile);
    let wanted = Rlimit {
        current: limit.maximum,
        maximum: limit.maximum,
    };
    let _ = setrlimit(Resource::Nofile, wanted);
    getrlimit(Resource::Nofile).current
}
