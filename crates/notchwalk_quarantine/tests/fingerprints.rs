//! Which requests have the same fingerprint.

use notchwalk_quarantine::{Content, Fingerprint, Fingerprinting};

const HEAD: Content<'static> = Content {
    workspace: Some("riggers"),
    method: "POST",
    host: "a.example",
    target: "/short/1?page=2",
};

fn fingerprint(content: &Content<'_>, chunks: &[&str]) -> Fingerprint {
    let mut fingerprinting = Fingerprinting::new(content);
    for chunk in chunks {
        fingerprinting.update(chunk.as_bytes());
    }
    fingerprinting.finish()
}

#[test]
fn fingerprint_does_not_depend_on_body_chunks() {
    let whole = fingerprint(&HEAD, &["a body"]);
    assert_eq!(whole, fingerprint(&HEAD, &["a ", "", "body"]));
}

#[test]
fn requests_that_differ_in_one_part_have_different_fingerprints() {
    let others = [
        Content {
            workspace: Some("booking"),
            ..HEAD
        },
        Content {
            workspace: None,
            ..HEAD
        },
        Content {
            method: "GET",
            ..HEAD
        },
        Content {
            host: "b.example",
            ..HEAD
        },
        Content {
            target: "/short/1?page=3",
            ..HEAD
        },
        // The same text, split at another position.
        Content {
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

/// Guards against a caller that gets requests of another workspace quarantined, also on a
/// route that requires no key.
#[test]
fn empty_workspace_name_differs_from_no_workspace() {
    let none = Content {
        workspace: None,
        ..HEAD
    };
    let empty = Content {
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
