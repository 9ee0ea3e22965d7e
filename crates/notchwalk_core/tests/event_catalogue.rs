//! Compares the log events with their list in `docs/EVENTS.md`.

use std::collections::BTreeSet;

use notchwalk_core::ALL_LOG_EVENTS;

#[test]
fn every_event_is_listed_with_its_level_and_text() {
    let catalogue = include_str!("../../../docs/EVENTS.md");
    for event in ALL_LOG_EVENTS {
        let row = format!(
            "| {} | {} | {event:?} | {} |",
            event.number(),
            event.level().to_string().to_lowercase(),
            event.text()
        );
        assert!(catalogue.contains(&row), "docs/EVENTS.md lacks: {row}");
    }
    let rows = catalogue
        .lines()
        .filter(|line| line.starts_with("| "))
        .count();
    const HEADING_ROWS: usize = 1;
    assert_eq!(
        rows - HEADING_ROWS,
        ALL_LOG_EVENTS.len(),
        "docs/EVENTS.md lists events that the code lacks"
    );
}

#[test]
fn event_numbers_are_unique() {
    let numbers: BTreeSet<_> = ALL_LOG_EVENTS.iter().map(|e| e.number()).collect();
    assert_eq!(numbers.len(), ALL_LOG_EVENTS.len());
}
