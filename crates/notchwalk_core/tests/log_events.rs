//! The facts of log events.

use notchwalk_core::{LogEvent, LogEventKind};

/// Guards against log lines that a name from another program forges.
#[test]
fn facts_stay_on_one_line() {
    let facts = "server=x\nNW1004 the daemon is exiting name=\u{1b}é";
    let event = LogEvent::new(LogEventKind::ServerRegistered, facts);
    let expected = "server=x\\nNW1004 the daemon is exiting name=\\u{1b}é";
    assert_eq!(event.facts, expected);
}
