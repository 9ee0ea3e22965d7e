//! Numbered log events. `docs/EVENTS.md` lists them; a test compares the two.

use log::Level;

/// Declares the events with their name, number, level and text.
macro_rules! log_events {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// The kinds of log events.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum LogEventKind {
            $(#[doc = $text] $name,)*
        }

        impl LogEventKind {
            /// Returns the event's number.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the level at which the event is logged.
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }

            /// Returns the event's one-line text.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }

        /// All events, in the order of their declaration.
        pub const ALL_LOG_EVENTS: &[LogEventKind] = &[$(LogEventKind::$name,)*];
    };
}

log_events! {
    DaemonStarted = 1001, Info, "the daemon is listening on its addresses";
    DaemonReady = 1002, Info, "a bundle is active; the daemon is ready";
    DrainStarted = 1003, Info, "a shutdown was requested; the daemon is draining";
    DaemonStopped = 1004, Info, "the daemon is exiting";
    RequestPanicked = 1005, Error, "a task panicked; its request failed, and the daemon continues";
    SettingsReloaded = 1006, Info, "the settings file was reloaded";
    MachineResumed = 1008, Info, "the machine resumed from suspension";
    ProcessStalled = 1009, Warn, "the process did not run for a while";
    ClientsEvicted = 1010, Warn, "connections were closed in favour of others: memory or connections ran out";
    LogLinesDropped = 1007, Warn, "log lines were dropped";
    BundleActivated = 2001, Info, "a bundle version was activated";
    BundleRejected = 2002, Warn, "a bundle was rejected: outdated, unsigned or invalid";
    PlatformCallFailed = 2003, Warn, "a call to the platform failed";
    PlatformRecovered = 2004, Info, "the platform is available again";
    ConfigActivated = 2101, Info, "the operator's configuration was activated";
    ConfigRejected = 2102, Warn, "a configuration was rejected: outdated or invalid";
    StoreUnavailable = 2103, Warn, "the platform's store is unavailable";
    StoreRecovered = 2104, Info, "the platform's store is available again";
    ChangeHistoryExpired = 2105, Info, "the store's change history has expired; the whole table is read again";
    ServerRecordInvalid = 2106, Warn, "a backend server's record is invalid";
    NodeRegistered = 2107, Info, "this node is registered";
    ChangePollAbandoned = 2108, Info, "a poll for changes was abandoned: a peer has newer changes, and the store has not responded";
    StoreRestored = 2109, Warn, "the store was restored from an older snapshot";
    RecordsRewritten = 2110, Info, "records missing from the restored store were written again";
    ConfigValuesIgnored = 2111, Warn, "values of a configuration can't be used; the others are in force";
    PeerReachable = 3001, Info, "a peer daemon is reachable";
    PeerSuspect = 3002, Info, "a peer's heartbeat is late; other peers are queried";
    PeerDead = 3003, Warn, "a peer daemon was declared dead";
    PeerRejected = 3004, Warn, "a connection failed peer authentication";
    PeerFrameInvalid = 3005, Warn, "a peer sent an invalid frame; the connection was closed";
    ServerDraining = 4001, Info, "a backend server is draining; it receives no new requests";
    CircuitOpened = 4002, Warn, "a backend server failed repeatedly; it receives no requests for a while";
    CircuitClosed = 4003, Info, "a backend server has recovered; it receives requests again";
    MemoryReclaimed = 4004, Info, "an engine held memory for an ended request; the memory is released";
    ServerRegistered = 4101, Info, "a backend server is registered";
    ServerDeregistered = 4102, Info, "a backend server is no longer registered";
    ServerAnnouncedDraining = 4103, Info, "a backend server announced in a response that it is draining";
    ServerRequestedBackoff = 4104, Info, "a backend server rejected a request and requested a backoff (Retry-After)";
    ServerNoticeInvalid = 4105, Warn, "a backend server sent an invalid Retry-After or limit; a fallback value is applied";
    ServerLimitAnnounced = 4106, Info, "a backend server announced a limit on the requests per second from all nodes together";
    ServerLimitLifted = 4107, Info, "a backend server no longer announces a limit";
    ServerLimitExhausted = 4108, Info, "a backend server's limit is exhausted; requests are rerouted, queued or rejected with Retry-After";
    ServiceUnreachable = 4109, Warn, "a service is unreachable from this node; its requests are forwarded to peers";
    ServiceReachable = 4110, Info, "a service is reachable from this node again";
    AttemptRetried = 5001, Info, "an attempt failed; the request continues with another one";
    RequestTimedOut = 5002, Info, "a request reached its deadline";
    RequestRefused = 5003, Debug, "a request was refused before it ran";
    ClaimOutcomeUnknown = 5004, Warn, "the outcome of a claim could not be determined in time";
    FrameDropped = 5005, Info, "a late or mismatched frame from an engine was dropped";
    RequestSent = 5101, Info, "a request was sent to a backend server";
    AttemptFailed = 5102, Info, "an attempt on a backend server failed";
    RequestEnded = 5103, Info, "a request ended";
    RequestRejected = 5104, Info, "a request was rejected";
    RetryDecided = 5105, Info, "the retry budget allowed or denied a retry";
    NoServerAvailable = 5106, Info, "no backend server is available for a request";
    RequestForwarded = 5107, Info, "a request was forwarded to a peer";
    CrashSuspected = 5201, Info, "a backend server may have crashed while running a request";
    RequestQuarantined = 5202, Warn, "requests with the same content, or the same part in their prompts, crashed several servers; it is quarantined";
    QuarantineEnded = 5203, Info, "a quarantine ended";
    RequestBlocked = 5204, Info, "a request is refused for its content or a part of its prompt";
    OrderSent = 6001, Info, "an order was sent to an engine";
    OrderRefused = 6002, Warn, "an engine refused an order";
    LeaseHeld = 6003, Info, "this daemon holds the order lease";
    LeaseLost = 6004, Warn, "the order lease expired or was taken over";
    ReservationFailed = 6101, Info, "memory could not be reserved on an engine";
}

/// A log event with its facts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// The kind of the event.
    pub kind: LogEventKind,
    /// The facts, as `key=value` pairs.
    pub facts: String,
}

impl LogEvent {
    /// Creates an event. Control characters in its facts are escaped, since names may come
    /// from other programs and an event is one line.
    pub fn new(kind: LogEventKind, facts: impl Into<String>) -> Self {
        let facts = facts.into();
        let facts = match facts.contains(char::is_control) {
            true => escape_control_characters(&facts),
            false => facts,
        };
        Self { kind, facts }
    }

    /// Logs the event.
    pub fn emit(&self) {
        let number = self.kind.number();
        log::log!(target: "notchwalk", self.kind.level(), "NW{number} {} {}", self.kind.text(), self.facts);
    }
}

fn escape_control_characters(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len() + 8);
    for c in text.chars() {
        match c.is_control() {
            true => escaped.extend(c.escape_default()),
            false => escaped.push(c),
        }
    }
    escaped
}
