//! Numbered log events. `docs/EVENTS.md` catalogues them; a test holds the two
//! together.

use log::Level;

/// Declares the events once: name, number, level and the catalogue's text.
macro_rules! log_events {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// What happened, by name.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum LogEventKind {
            $(#[doc = $text] $name,)*
        }

        impl LogEventKind {
            /// Returns the event's number in the catalogue.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the level it is logged at.
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }

            /// Returns the catalogue's one-line text.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }

        /// Every event, in the catalogue's order.
        pub const ALL_LOG_EVENTS: &[LogEventKind] = &[$(LogEventKind::$name,)*];
    };
}

log_events! {
    DaemonStarted = 1001, Info, "the daemon listens on its addresses";
    DaemonReady = 1002, Info, "a bundle is in force; the daemon is ready";
    DrainStarted = 1003, Info, "the daemon was told to stop and drains";
    DaemonStopped = 1004, Info, "the last request ended; the daemon ends";
    RequestPanicked = 1005, Error, "a task panicked; its request failed and the daemon goes on";
    SettingsReloaded = 1006, Info, "the settings file was read again";
    MachineResumed = 1008, Info, "the machine was suspended and runs again";
    LogLinesDropped = 1007, Warn, "log lines were dropped";
    BundleInForce = 2001, Info, "a bundle version came into force";
    BundleRefused = 2002, Warn, "an offered bundle was refused: older, unsigned or faulty";
    PlatformDown = 2003, Warn, "a call to the platform failed";
    PlatformUp = 2004, Info, "the platform answers again";
    ConfigInForce = 2101, Info, "the operator's configuration came into force";
    ConfigRefused = 2102, Warn, "a configuration was refused: older or faulty";
    StoreLost = 2103, Warn, "the platform's store no longer answers";
    StoreRegained = 2104, Info, "the platform's store answers again";
    HistoryGone = 2105, Info, "the store's history is gone; the table is read whole";
    ServerRecordFaulty = 2106, Warn, "a backend server's record can't be read";
    PresenceWritten = 2107, Info, "this entry is on record";
    QuestionGivenUp = 2108, Info, "a question for changes was given up: a peer knows of newer ones and no answer came";
    StoreRestored = 2109, Warn, "the store came back from an older copy";
    WrittenAgain = 2110, Info, "what an older copy of the store lacked was written again";
    PeerAlive = 3001, Info, "a peer daemon answers";
    PeerSuspect = 3002, Info, "a peer's heartbeat is late; others are asked";
    PeerDead = 3003, Warn, "a peer daemon is taken for dead";
    PeerRejected = 3004, Warn, "a connection failed to prove itself with a peer key";
    PeerGarbage = 3005, Warn, "a peer sent a frame that can't be read; the connection was closed";
    ServerLeaving = 4001, Info, "a backend server leaves; it gets no new work";
    CircuitOpened = 4002, Warn, "a backend server failed repeatedly; it gets no work for a while";
    CircuitClosed = 4003, Info, "a backend server serves again";
    MemorySwept = 4004, Info, "memory of ended requests was freed on an engine";
    ServerRegistered = 4101, Info, "a backend server is on record";
    ServerGone = 4102, Info, "a backend server is gone from the record";
    ServerSaysLeaving = 4103, Info, "a backend server says in an answer that it leaves";
    ServerWantsNothing = 4104, Info, "a backend server turned a request away and wants none for a while";
    ServerWordFaulty = 4105, Warn, "what a backend server says of itself can't be taken as said";
    ServerLimited = 4106, Info, "a backend server names how many requests a second it takes from all entries";
    ServerLimitEnded = 4107, Info, "a backend server names no limit any more";
    ServerLimitUsedUp = 4108, Info, "a backend server's limit is used up; requests go elsewhere, wait or are told when to come back";
    AttemptRetried = 5001, Info, "an attempt broke; the request goes on with another";
    RequestTimedOut = 5002, Info, "a request reached its deadline";
    RequestRefused = 5003, Debug, "a request was refused before it ran";
    ClaimUnknown = 5004, Warn, "a claim's fate could not be learned in time";
    FrameDropped = 5005, Info, "a late or crossed frame was dropped";
    RequestSent = 5101, Info, "a request went to a backend server";
    AttemptFailed = 5102, Info, "sending to a backend server did not succeed";
    RequestEnded = 5103, Info, "a request ended";
    RequestRejected = 5104, Info, "a request was not accepted";
    CrashSuspected = 5201, Info, "a backend server seems to have ended under a request";
    RequestQuarantined = 5202, Warn, "requests of one content end the servers that run them; they are sent to none for a while";
    QuarantineEnded = 5203, Info, "a quarantine ended";
    OrderSent = 6001, Info, "an order went to an engine";
    OrderRefused = 6002, Warn, "an engine refused an order";
    LeaseHeld = 6003, Info, "this daemon holds the order lease";
    LeaseLost = 6004, Warn, "the order lease lapsed or was taken";
    ReservationFailed = 6101, Info, "memory could not be set aside on an engine";
}

/// One event to log: its kind and the facts that belong to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// What happened.
    pub kind: LogEventKind,
    /// The facts, as `key=value` pairs.
    pub facts: String,
}

impl LogEvent {
    /// Builds an event.
    pub fn new(kind: LogEventKind, facts: impl Into<String>) -> Self {
        Self {
            kind,
            facts: facts.into(),
        }
    }

    /// Writes the event to the process's log.
    pub fn emit(&self) {
        let number = self.kind.number();
        log::log!(target: "notchwalk", self.kind.level(), "NW{number} {} {}", self.kind.text(), self.facts);
    }
}
