//! The catalogue of log events and the code say the same.

use std::collections::BTreeSet;

use notchwalk_core::ALL_LOG_EVENTS;

#[test]
fn every_event_stands_in_the_catalogue_as_the_code_has_it() {
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
    const HEADING: usize = 1;
    assert_eq!(
        rows - HEADING,
        ALL_LOG_EVENTS.len(),
        "the catalogue names more events"
    );
}

#[test]
fn numbers_are_not_used_twice() {
    let numbers: BTreeSet<_> = ALL_LOG_EVENTS.iter().map(|e| e.number()).collect();
    assert_eq!(numbers.len(), ALL_LOG_EVENTS.len());
}
