//! Body decoding is independent of how bytes are split, and no input makes it panic.

use bytes::BytesMut;
use http::{header, HeaderMap, HeaderValue};
use notchwalk_http::{encode_chunk, BodyReader, CHUNK_END};
use proptest::prelude::*;

fn chunked_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::TRANSFER_ENCODING,
        HeaderValue::from_static("chunked"),
    );
    headers
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn chunked_body_is_decoded_for_any_split_of_the_bytes(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
        step in 1usize..30,
    ) {
        let mut wire = Vec::new();
        for piece in &pieces {
            encode_chunk(&mut wire, piece);
        }
        wire.extend_from_slice(CHUNK_END);
        let mut body = BodyReader::for_request(&chunked_headers()).expect("chunked framing");
        let (mut buf, mut decoded) = (BytesMut::new(), Vec::new());
        for bytes in wire.chunks(step) {
            buf.extend_from_slice(bytes);
            while let Some(piece) = body.decode(&mut buf).expect("valid chunks") {
                if piece.is_empty() {
                    break;
                }
                decoded.extend_from_slice(&piece);
            }
        }
        prop_assert!(body.is_done());
        prop_assert_eq!(decoded, pieces.concat());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_the_chunk_decoder(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut body = BodyReader::for_request(&chunked_headers()).expect("chunked framing");
        let mut buf = BytesMut::from(&bytes[..]);
        for _ in 0..bytes.len() + 1 {
            if !matches!(body.decode(&mut buf), Ok(Some(_))) || body.is_done() {
                break;
            }
        }
    }

    #[test]
    fn arbitrary_framing_headers_do_not_panic(length in "[ -~]{0,24}", coding in "[ -~]{0,12}") {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from_str(&length).expect("visible"));
        let _ = BodyReader::for_request(&headers);
        headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_str(&coding).expect("visible"));
        prop_assert!(BodyReader::for_request(&headers).is_err(), "accepted both Content-Length and Transfer-Encoding");
    }
}

/// Guards against a size without end, which occupied memory up to the largest chunk.
#[test]
fn size_of_a_chunk_is_bounded() {
    let mut body = BodyReader::for_request(&chunked_headers()).expect("framing");
    let mut buf = BytesMut::from(&b"0".repeat(2_000)[..]);
    assert!(body.decode(&mut buf).is_err());
}

#[test]
fn chunk_that_arrives_in_pieces_is_decoded_whatever_it_holds() {
    let mut body = BodyReader::for_request(&chunked_headers()).expect("framing");
    let data = b"0".repeat(5_000);
    let mut text = b"1388\r\n".to_vec();
    text.extend_from_slice(&data);
    text.extend_from_slice(b"\r\n0\r\n\r\n");
    let mut buf = BytesMut::new();
    let mut decoded = Vec::new();
    for byte in text {
        buf.extend_from_slice(&[byte]);
        while let Some(piece) = body.decode(&mut buf).expect("framing") {
            decoded.extend_from_slice(&piece);
            if body.is_done() {
                break;
            }
        }
    }
    assert!(body.is_done());
    assert_eq!(decoded, data);
}
