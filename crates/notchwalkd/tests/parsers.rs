//! Guards against panics of the parsers on untrusted input, and against forged or
//! replayed peer frames.

use notchwalk_core::{BootNumber, VmId};
use notchwalkd::{
    peer_auth::{macs_equal, open, seal, session_key, session_proof, Challenge, Hello},
    sse::SseReader,
    PeerKey,
};
use proptest::prelude::*;

fn session(key: PeerKey) -> [u8; 32] {
    let hello = Hello {
        vm: VmId(1),
        boot: BootNumber(2),
        nonce: [3; 32],
    };
    session_key(key, &hello, &Challenge { nonce: [4; 32] })
}

#[test]
fn proofs_of_different_keys_differ() {
    let (ours, theirs) = (session(PeerKey::random()), session(PeerKey::random()));
    assert!(macs_equal(
        &session_proof(&ours).mac,
        &session_proof(&ours).mac
    ));
    assert!(!macs_equal(
        &session_proof(&ours).mac,
        &session_proof(&theirs).mac
    ));
}

#[test]
fn replayed_or_modified_frames_are_rejected() {
    let session = session(PeerKey::random());
    let sealed = seal(&session, 7, b"heartbeat");
    assert_eq!(open(&session, 7, &sealed), Some(&b"heartbeat"[..]));
    assert_eq!(
        open(&session, 8, &sealed),
        None,
        "accepted a replayed frame"
    );
    let mut forged = sealed;
    let last = forged.len() - 1;
    forged[last] ^= 1;
    assert_eq!(
        open(&session, 7, &forged),
        None,
        "accepted a modified frame"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(15), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_are_rejected_as_frames(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        let session = [9; 32];
        prop_assert_eq!(open(&session, 0, &bytes), None);
    }

    #[test]
    fn events_are_parsed_regardless_of_chunk_boundaries(
        lines in prop::collection::vec("[a-z:{}]{1,20}", 0..10),
        chunk_size in 1usize..20,
    ) {
        let wire: String = lines.iter().map(|line| format!("data: {line}\r\n\r\n")).collect();
        let mut reader = SseReader::default();
        let mut got = Vec::new();
        for chunk in wire.as_bytes().chunks(chunk_size) {
            prop_assert!(reader.push(chunk));
            while let Some(data) = reader.next_data() {
                got.push(String::from_utf8_lossy(data).into_owned());
            }
        }
        prop_assert_eq!(got, lines);
    }

    #[test]
    fn sse_reader_does_not_panic_on_random_bytes(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 0..8),
    ) {
        let mut reader = SseReader::default();
        for chunk in &chunks {
            reader.push(chunk);
            while reader.next_data().is_some() {}
        }
    }
}
