//! Streams are split at event boundaries, and the id of the last complete event is known.

use notchwalk_relay::EventSplitter;

fn push_all(splitter: &mut EventSplitter, stream: &str, piece_bytes: usize) -> Vec<u8> {
    let pieces = stream.as_bytes().chunks(piece_bytes);
    pieces.flat_map(|piece| splitter.push(piece)).collect()
}

/// Guards against a resumption that repeats events: their ids were lost.
#[test]
fn id_of_the_last_event_is_known_in_all_line_endings_and_pieces() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = |id: u64| format!("id: {id}{line_end}data: token{line_end}{line_end}");
        let stream: String = (1..=5).map(event).collect();
        for piece_bytes in 1..stream.len() {
            let mut splitter = EventSplitter::default();
            let events = push_all(&mut splitter, &stream, piece_bytes);
            assert_eq!(events, stream.as_bytes(), "{line_end:?} {piece_bytes}");
            assert_eq!(splitter.last_id(), Some(5), "{line_end:?} {piece_bytes}");
        }
    }
}

/// The same for an event of which a part is passed on before it ends.
#[test]
fn id_of_a_large_event_is_known_once_it_is_complete() {
    let data = "x".repeat(300 * 1024);
    for large in [
        format!("id: 2\ndata: {data}\n\n"),
        format!("data: {data}\nid: 2\n\n"),
        format!("id: 2\rdata: {data}\r\r"),
    ] {
        let mut splitter = EventSplitter::default();
        push_all(&mut splitter, "id: 1\ndata: a\n\n", 5);
        let (start, end) = large.split_at(large.len() - 1);
        push_all(&mut splitter, start, 16 * 1024);
        assert_eq!(splitter.last_id(), Some(1));
        push_all(&mut splitter, end, 1);
        assert_eq!(splitter.last_id(), Some(2));
        assert!(splitter.is_resumable());
    }
}

/// Guards against an id of an event that the caller does not have.
#[test]
fn id_of_an_incomplete_event_does_not_count() {
    let mut splitter = EventSplitter::default();
    push_all(&mut splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n", 7);
    assert_eq!(splitter.last_id(), Some(1));
    splitter.drop_partial();
    push_all(&mut splitter, "id: 2\ndata: b\n\n", 3);
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn other_fields_and_data_are_no_ids() {
    let mut splitter = EventSplitter::default();
    let stream = "id: 3\ndata: id: 9\nidx: 8\n: id: 7\nid: none\n\ndata: a\n\n";
    push_all(&mut splitter, stream, 4);
    assert_eq!(splitter.last_id(), Some(3));
}
