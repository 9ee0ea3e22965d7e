//! Hears what backend servers say of themselves in the heads of their answers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use notchwalk_core::{Instant, LogEvent, LogEventKind};
use notchwalk_route::{Event, RateLimit, ServerKey, ServerWord};

use crate::{shell::Shell, AnswerFacts, AnswerWord, ComeBack, SaidLimit};

/// The longest time without requests that is taken from a server: one that says more
/// counts its time in another unit, and would be lost to this entry for as long as it
/// lives.
const LONGEST_REST: Duration = Duration::from_secs(3_600);

/// How often it is logged of one server that what it says can't be taken as said: it may
/// stand in each of its answers.
const FAULTY_LOGGED_EVERY: Duration = Duration::from_secs(60);

/// Who an answer came from, as far as the sender knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    /// The server that was meant, where it is on record.
    pub server: Option<ServerKey>,
    /// The address that was asked.
    pub addr: SocketAddr,
    /// When it was asked.
    pub at: Instant,
}

/// Takes what a server says of itself from the head of any answer: to a request, to
/// an order, also one that belongs to another request. Called as soon as the head is
/// read, before anything of the answer is passed on.
pub(crate) fn hear(shell: &Rc<Shell>, asked: Asked, facts: &AnswerFacts) {
    let Some(server) = speaker(shell, asked, facts) else {
        return;
    };
    if let Some(limit) = limit(shell, server, facts) {
        let asked = asked.at;
        say(shell, server, ServerWord::Limit { limit, asked });
    }
    if facts.leaving {
        say(shell, server, ServerWord::Leaving);
    }
    if let Some(rest) = rest(shell, server, &facts.wants_nothing_for) {
        say(shell, server, ServerWord::WantsNothing(rest));
    }
}

fn say(shell: &Rc<Shell>, server: ServerKey, word: ServerWord) {
    let label = match word {
        ServerWord::Leaving => Some("leaving"),
        ServerWord::WantsNothing(_) => Some("wants_nothing"),
        ServerWord::Limit { limit, .. } => limit.map(|_| "limit"),
    };
    if let Some(label) = label {
        shell.metrics.server_words.with_label_values(&[label]).inc();
    }
    shell.step(Event::ServerSaid { server, word });
}

/// Returns the server that an answer speaks of: the one it names, else the one that
/// was asked, unless the answer says that another one has the address by now.
fn speaker(shell: &Shell, asked: Asked, facts: &AnswerFacts) -> Option<ServerKey> {
    let router = shell.router.borrow();
    let fleet = router.fleet();
    if let Some(instance) = &facts.instance {
        return fleet.by_instance(instance);
    }
    if facts.word != AnswerWord::Moved {
        return asked.server.or_else(|| fleet.by_addr(asked.addr));
    }
    fleet.other_at(asked.addr, asked.server)
}

/// Returns the limit that an answer names, or that it names none where one was known;
/// `None` if it says nothing of it. An answer that is not the server's own says nothing.
fn limit(shell: &Shell, server: ServerKey, facts: &AnswerFacts) -> Option<Option<RateLimit>> {
    match &facts.limit {
        SaidLimit::Rate(rate) => Some(Some(*rate)),
        SaidLimit::Faulty { reason, taken } => {
            let rate = taken.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
            log_faulty(shell, server, reason, &format!("taken_per_second={rate}"));
            taken.map(Some)
        }
        SaidLimit::NotSaid => {
            let is_own = matches!(
                facts.word,
                AnswerWord::Success | AnswerWord::Failure | AnswerWord::NotRun
            );
            let router = shell.router.borrow();
            let known = router.fleet().get(server)?.limit();
            (is_own && known.is_some()).then_some(None)
        }
    }
}

/// Returns for how long a server wants no requests. A date, a negative number and
/// what is no number count as not said; more than [`LONGEST_REST`] as that.
fn rest(shell: &Shell, server: ServerKey, said: &ComeBack) -> Option<Duration> {
    match said {
        ComeBack::NotSaid => None,
        ComeBack::After(time) if *time > LONGEST_REST => {
            let reason = format!("{} s are too long", time.as_secs());
            let taken = format!("taken_ms={}", LONGEST_REST.as_millis());
            log_faulty(shell, server, &reason, &taken);
            Some(LONGEST_REST)
        }
        ComeBack::After(time) => Some(*time).filter(|time| !time.is_zero()),
        ComeBack::Faulty(reason) => {
            log_faulty(shell, server, reason, "taken_ms=0");
            None
        }
    }
}

/// Logs that what a server said can't be taken as said, and what is `taken` in its place.
fn log_faulty(shell: &Shell, server: ServerKey, reason: &str, taken: &str) {
    let now = shell.now();
    let mut logged = shell.faulty_words.borrow_mut();
    let last = logged.get(server);
    if last.is_some_and(|&last| now.since(last) < FAULTY_LOGGED_EVERY) {
        return;
    }
    logged.insert(server, now);
    let facts = format!("server={} reason={reason:?} {taken}", name(shell, server));
    LogEvent::new(LogEventKind::ServerWordFaulty, facts).emit();
}

/// Logs what is new of a server.
pub(crate) fn log_heard(shell: &Shell, server: ServerKey, word: ServerWord, by_peer: bool) {
    let (kind, facts) = match word {
        ServerWord::Leaving => {
            let router = shell.router.borrow();
            let stage = router.fleet().get(server).map(|known| known.record.stage);
            let running = router.board().load(server, shell.now()).occupied();
            let facts = format!("by_peer={by_peer} record={stage:?} running={running}");
            (LogEventKind::ServerSaysLeaving, facts)
        }
        ServerWord::WantsNothing(time) => {
            let facts = format!("for_ms={}", time.as_millis());
            (LogEventKind::ServerWantsNothing, facts)
        }
        ServerWord::Limit { limit, asked } => {
            let age = shell.now().since(asked).as_millis();
            match limit {
                Some(limit) => {
                    let facts = format!("by_peer={by_peer} per_second={limit} asked_ms={age}");
                    (LogEventKind::ServerLimited, facts)
                }
                None => {
                    let facts = format!("by_peer={by_peer} asked_ms={age}");
                    (LogEventKind::ServerLimitEnded, facts)
                }
            }
        }
    };
    let facts = format!("server={} {facts}", name(shell, server));
    LogEvent::new(kind, facts).emit();
}

/// Logs that a server's limit is used up.
pub(crate) fn log_used_up(shell: &Shell, server: ServerKey) {
    let router = shell.router.borrow();
    let Some(known) = router.fleet().get(server) else {
        return;
    };
    let now = shell.now();
    let limit = known.limit().map_or(0.0, RateLimit::rate);
    let facts = format!(
        "server={} per_second={limit} allowance={:.2} users={} sent={}",
        known.record.instance,
        known.allowance(now).unwrap_or_default(),
        known.limit_users(now),
        known.sent()
    );
    LogEvent::new(LogEventKind::ServerLimitUsedUp, facts).emit();
}

fn name(shell: &Shell, server: ServerKey) -> String {
    let router = shell.router.borrow();
    let known = router.fleet().get(server);
    known.map_or_else(|| "gone".to_owned(), |known| known.record.instance.clone())
}
