//! What engines and strangers send can't make the readers panic, and sealed
//! frames can be neither forged nor replayed.

use notchwalk_core::{BootNumber, VmId};
use notchwalkd::{
    peer_proof::{open, proof_of, same, seal, session_key, Challenge, Hello},
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
fn another_key_gives_another_proof() {
    let (ours, theirs) = (session(PeerKey::random()), session(PeerKey::random()));
    assert!(same(&proof_of(&ours).mac, &proof_of(&ours).mac));
    assert!(!same(&proof_of(&ours).mac, &proof_of(&theirs).mac));
}

#[test]
fn a_frame_opens_once_in_its_place_only() {
    let session = session(PeerKey::random());
    let sealed = seal(&session, 7, b"heartbeat");
    assert_eq!(open(&session, 7, &sealed), Some(&b"heartbeat"[..]));
    assert_eq!(open(&session, 8, &sealed), None, "replayed");
    let mut forged = sealed;
    let last = forged.len() - 1;
    forged[last] ^= 1;
    assert_eq!(open(&session, 7, &forged), None, "changed");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(15), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_open_as_a_frame(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        let session = [9; 32];
        prop_assert_eq!(open(&session, 0, &bytes), None);
    }

    #[test]
    fn events_add_up_however_they_arrive(
        lines in prop::collection::vec("[a-z:{}]{1,20}", 0..10),
        step in 1usize..20,
    ) {
        let wire: String = lines.iter().map(|line| format!("data: {line}\r\n\r\n")).collect();
        let mut reader = SseReader::default();
        let mut got = Vec::new();
        for piece in wire.as_bytes().chunks(step) {
            prop_assert!(reader.push(piece));
            while let Some(data) = reader.next_data() {
                got.push(String::from_utf8_lossy(data).into_owned());
            }
        }
        prop_assert_eq!(got, lines);
    }

    #[test]
    fn no_bytes_make_the_event_reader_panic(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 0..8),
    ) {
        let mut reader = SseReader::default();
        for piece in &pieces {
            reader.push(piece);
            while reader.next_data().is_some() {}
        }
    }
}
