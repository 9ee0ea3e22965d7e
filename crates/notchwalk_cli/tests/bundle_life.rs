//! A bundle's life by the command line, against a stand-in fleet.

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

/// The seeds of the stand-in fleet's operators' keys.
const AUTHOR_SEED: u8 = 7;
const REVIEWER_SEED: u8 = 8;

struct Desk {
    fleet: Fleet,
    dir: tempfile::TempDir,
}

impl Desk {
    fn new() -> Self {
        let config = FleetConfig::new(vec![WorkspaceSpec::new("desk", 1.0)]).with_sizes(1, 1, 0);
        let desk = Self {
            fleet: Fleet::start(config),
            dir: tempfile::tempdir().expect("a folder"),
        };
        for (name, seed) in [("author", AUTHOR_SEED), ("reviewer", REVIEWER_SEED)] {
            let key = format!("{seed:02x}").repeat(32);
            std::fs::write(desk.path(name), key).expect("a key");
        }
        desk.write_parts(2.0);
        desk
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes the parts with a weight of the only workspace.
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
fn a_change_needs_both_signatures_and_can_be_submitted_again() {
    let desk = Desk::new();
    desk.propose("change").expect("proposed");
    assert_exit_code(desk.submit("change"), 2);
    desk.sign("change").expect("signed");
    desk.submit("change").expect("accepted");
    desk.submit("change").expect("safe to repeat");
    let (platform, most) = (desk.fleet.platform, 5);
    desk.bundle(BundleCommand::History { platform, most })
        .expect("listed");
}

#[test]
fn the_slower_operator_is_told_and_a_rollback_is_a_new_version() {
    let desk = Desk::new();
    desk.propose("first").expect("proposed");
    desk.write_parts(3.0);
    desk.propose("second")
        .expect("proposed on the same version");
    for file in ["first", "second"] {
        desk.sign(file).expect("signed");
    }
    desk.submit("first").expect("accepted");
    assert_exit_code(desk.submit("second"), 3);
    desk.bundle(BundleCommand::Rollback {
        platform: desk.fleet.platform,
        signer: desk.signer("author"),
        out: desk.path("back"),
        version: 1,
    })
    .expect("proposed");
    desk.sign("back").expect("signed");
    desk.submit("back").expect("accepted");
}

#[test]
fn a_proposal_that_was_changed_after_signing_is_refused() {
    let desk = Desk::new();
    desk.propose("change").expect("proposed");
    let path = desk.path("change");
    let text = std::fs::read_to_string(&path).expect("a proposal");
    std::fs::write(&path, text.replace("weight = 2", "weight = 9")).expect("changed");
    assert_exit_code(desk.sign("change"), 2);
}

#[test]
fn faulty_input_and_silent_daemons_have_their_exit_codes() {
    let missing = Path::new("no-such-file.ini").to_owned();
    let check = Command::Check {
        settings: Some(missing),
        bundle: None,
    };
    assert_exit_code(run(check), 2);
    let nothing = Command::Check {
        settings: None,
        bundle: None,
    };
    assert_exit_code(run(nothing), 2);
    // A port that was free a moment ago.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let operator = listener.local_addr().expect("an address");
    drop(listener);
    assert_exit_code(run(Command::Dump { operator }), 4);
}
