//! Which requests have the same fingerprint.

use notchwalk_quarantine::{Fingerprint, FingerprintBuilder, RequestHead};

const HEAD: RequestHead<'static> = RequestHead {
    workspace: Some("riggers"),
    method: "POST",
    host: "a.example",
    target: "/short/1?page=2",
};

fn fingerprint(head: &RequestHead<'_>, chunks: &[&str]) -> Fingerprint {
    let mut builder = FingerprintBuilder::new(head);
    for chunk in chunks {
        builder.update(chunk.as_bytes());
    }
    builder.finish()
}

#[test]
fn fingerprint_does_not_depend_on_body_chunks() {
    let whole = fingerprint(&HEAD, &["a body"]);
    assert_eq!(whole, fingerprint(&HEAD, &["a ", "", "body"]));
}

#[test]
fn requests_that_differ_in_one_property_have_different_fingerprints() {
    let others = [
        RequestHead {
            workspace: Some("booking"),
            ..HEAD
        },
        RequestHead {
            workspace: None,
            ..HEAD
        },
        RequestHead {
            method: "GET",
            ..HEAD
        },
        RequestHead {
            host: "b.example",
            ..HEAD
        },
        RequestHead {
            target: "/short/1?page=3",
            ..HEAD
        },
        // The same text, split at another position.
        RequestHead {
            host: "a.example/short",
            target: "/1?page=2",
            ..HEAD
        },
    ];
    let mut all: Vec<Fingerprint> = others.iter().map(|c| fingerprint(c, &["x"])).collect();
    all.push(fingerprint(&HEAD, &["x"]));
    all.push(fingerprint(&HEAD, &["y"]));
    all.push(fingerprint(&HEAD, &[]));
    let count = all.len();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), count);
}

/// Guards against a caller without a workspace whose requests get those of another workspace
/// quarantined.
#[test]
fn empty_workspace_name_differs_from_no_workspace() {
    let none = RequestHead {
        workspace: None,
        ..HEAD
    };
    let empty = RequestHead {
        workspace: Some(""),
        ..HEAD
    };
    assert_ne!(fingerprint(&none, &[]), fingerprint(&empty, &[]));
}

#[test]
fn fingerprint_is_parsed_from_its_text() {
    let whole = fingerprint(&HEAD, &["a body"]);
    assert_eq!(whole.to_string().parse(), Ok(whole));
    for wrong in [
        "",
        "12",
        "not hexadecimal digits at all....",
        &"0".repeat(34),
    ] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
}
