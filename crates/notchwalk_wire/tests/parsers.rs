//! Messages round-trip through their serialized form, and no input makes the parsers panic.

use notchwalk_core::{BootNumber, RequestId, ServerId, VmId};
use notchwalk_wire::{
    from_cbor, to_cbor, ChatRequest, CompletionRequest, EngineFrame, Heartbeat, LoadReport,
    LongReservation, PeerMessage, ServedCost, ServerShare, VmRecord,
};
use proptest::prelude::*;

fn heartbeat() -> PeerMessage {
    let request = RequestId {
        vm: VmId(1),
        boot: BootNumber(2),
        seq: 3,
    };
    PeerMessage::Heartbeat(Heartbeat {
        vm: VmId(1),
        boot: BootNumber(1_700_000_000_000_000),
        seq: 7,
        draining: false,
        bundle_version: 9,
        peer_contacts: Vec::new(),
        demand: vec![(u64::MAX, 4_000)],
        shares: vec![ServerShare {
            server: ServerId(5),
            per_mille: 500,
            pool_per_mille: 750,
        }],
        served: vec![ServedCost {
            workspace: 1,
            cost_us: 2,
        }],
        draining_servers: vec![ServerId(8)],
        long_reservations: vec![LongReservation {
            server: ServerId(5),
            request,
            tokens: 100_000,
            prefill_done: true,
        }],
    })
}

#[test]
fn heartbeat_round_trips_through_cbor() {
    let message = heartbeat();
    assert_eq!(from_cbor::<PeerMessage>(&to_cbor(&message)), Ok(message));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(12), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_do_not_panic_the_cbor_parser(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = from_cbor::<PeerMessage>(&bytes);
    }

    #[test]
    fn corrupted_heartbeat_does_not_panic_the_cbor_parser(at in 0usize..200, byte in any::<u8>(), cut in 0usize..200) {
        let mut bytes = to_cbor(&heartbeat());
        let index = at % bytes.len();
        bytes[index] = byte;
        bytes.truncate(bytes.len().saturating_sub(cut % 50));
        let _ = from_cbor::<PeerMessage>(&bytes);
    }

    #[test]
    fn arbitrary_text_does_not_panic_the_json_parsers(text in "[\\[\\]{}\",:a-z0-9 \\\\.-]{0,120}") {
        let _ = serde_json::from_str::<CompletionRequest>(&text);
        let _ = serde_json::from_str::<ChatRequest>(&text);
        let _ = serde_json::from_str::<EngineFrame>(&text);
        let _ = serde_json::from_str::<LoadReport>(&text);
        let _ = serde_json::from_str::<Vec<VmRecord>>(&text);
    }

    #[test]
    fn request_id_round_trips_through_text(vm in any::<u32>(), boot in any::<u64>(), seq in any::<u64>()) {
        let id = RequestId { vm: VmId(vm), boot: BootNumber(boot), seq };
        prop_assert_eq!(id.to_string().parse::<RequestId>(), Ok(id));
    }
}
