//! The bundle subcommands against a stand-in fleet.

use std::path::{Path, PathBuf};

use notchwalk_bundle::Part;
use notchwalk_cli::{
    arguments::{BundleCommand, Command, Signer},
    run, CliError,
};
use notchwalk_standin::{
    fleet::{Fleet, FleetConfig},
    operators::WorkspaceSpec,
};

/// Seeds of the operator keys of the stand-in fleet.
const AUTHOR_SEED: u8 = 7;
const REVIEWER_SEED: u8 = 8;

struct Fixture {
    fleet: Fleet,
    dir: tempfile::TempDir,
}

impl Fixture {
    fn new() -> Self {
        let config = FleetConfig::new(vec![WorkspaceSpec::new("desk", 1.0)]).with_sizes(1, 1, 0);
        let fixture = Self {
            fleet: Fleet::start(config),
            dir: tempfile::tempdir().expect("a directory"),
        };
        for (name, seed) in [("author", AUTHOR_SEED), ("reviewer", REVIEWER_SEED)] {
            let key = format!("{seed:02x}").repeat(32);
            std::fs::write(fixture.path(name), key).expect("a key");
        }
        fixture.write_parts(2.0);
        fixture
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes the parts with this weight of the only workspace.
    fn write_parts(&self, weight: f64) {
        let mut spec = self.fleet.config.bundle.clone();
        spec.workspaces[0].weight = weight;
        for Part { name, text } in self.fleet.operators.parts(&spec) {
            std::fs::write(self.path(&name.file_name()), text).expect("a part");
        }
    }

    fn signer(&self, operator: &str) -> Signer {
        Signer {
            operator: operator.to_owned(),
            key: self.path(operator),
        }
    }

    fn bundle(&self, command: BundleCommand) -> Result<(), CliError> {
        run(Command::Bundle(command))
    }

    fn propose(&self, file: &str) -> Result<(), CliError> {
        self.bundle(BundleCommand::Propose {
            platform: self.fleet.platform,
            signer: self.signer("author"),
            reason: "more for the desk".to_owned(),
            out: self.path(file),
            dir: self.dir.path().to_owned(),
        })
    }

    fn sign(&self, file: &str) -> Result<(), CliError> {
        self.bundle(BundleCommand::Sign {
            signer: self.signer("reviewer"),
            proposal: self.path(file),
        })
    }

    fn submit(&self, file: &str) -> Result<(), CliError> {
        self.bundle(BundleCommand::Submit {
            platform: self.fleet.platform,
            proposal: self.path(file),
        })
    }
}

#[track_caller]
fn assert_exit_code(result: Result<(), CliError>, code: u8) {
    let error = result.expect_err("the command must fail");
    assert_eq!(error.exit_code(), code, "{error}");
}

#[test]
fn submit_requires_both_signatures_and_is_idempotent() {
    let fixture = Fixture::new();
    fixture.propose("change").expect("proposed");
    assert_exit_code(fixture.submit("change"), 2);
    fixture.sign("change").expect("signed");
    fixture.submit("change").expect("accepted");
    fixture.submit("change").expect("submitted again");
    let (platform, most) = (fixture.fleet.platform, 5);
    fixture
        .bundle(BundleCommand::History { platform, most })
        .expect("listed");
}

#[test]
fn concurrent_submit_fails_with_its_exit_code_and_rollback_creates_a_version() {
    let fixture = Fixture::new();
    fixture.propose("first").expect("proposed");
    fixture.write_parts(3.0);
    fixture
        .propose("second")
        .expect("proposed on the same version");
    for file in ["first", "second"] {
        fixture.sign(file).expect("signed");
    }
    fixture.submit("first").expect("accepted");
    assert_exit_code(fixture.submit("second"), 3);
    fixture
        .bundle(BundleCommand::Rollback {
            platform: fixture.fleet.platform,
            signer: fixture.signer("author"),
            out: fixture.path("back"),
            version: 1,
        })
        .expect("proposed");
    fixture.sign("back").expect("signed");
    fixture.submit("back").expect("accepted");
}

#[test]
fn proposal_changed_after_signing_is_rejected() {
    let fixture = Fixture::new();
    fixture.propose("change").expect("proposed");
    let path = fixture.path("change");
    let text = std::fs::read_to_string(&path).expect("a proposal");
    std::fs::write(&path, text.replace("weight = 2", "weight = 9")).expect("changed");
    assert_exit_code(fixture.sign("change"), 2);
}

#[test]
fn invalid_input_and_unreachable_daemons_have_distinct_exit_codes() {
    let missing_file = Path::new("no-such-file.ini").to_owned();
    let check = Command::Check {
        settings: Some(missing_file),
        bundle: None,
    };
    assert_exit_code(run(check), 2);
    let without_paths = Command::Check {
        settings: None,
        bundle: None,
    };
    assert_exit_code(run(without_paths), 2);
    // A port without a listener.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let operator = listener.local_addr().expect("an address");
    drop(listener);
    assert_exit_code(run(Command::Dump { operator }), 4);
}
