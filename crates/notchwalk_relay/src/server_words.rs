//! Hears what backend servers say of themselves in the heads of their answers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use notchwalk_core::{LogEvent, LogEventKind};
use notchwalk_route::{Event, ServerKey, ServerWord};

use crate::{shell::Shell, AnswerFacts, AnswerWord, ComeBack};

/// The longest time without requests that is taken from a server: one that says more
/// counts its time in another unit, and would be lost to this entry for as long as it
/// lives.
const LONGEST_REST: Duration = Duration::from_secs(3_600);

/// Who an answer came from, as far as the sender knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    /// The server that was meant, where it is on record.
    pub server: Option<ServerKey>,
    /// The address that was asked.
    pub addr: SocketAddr,
}

/// Takes what a server says of itself from the head of any answer: to a request, to
/// an order, also one that belongs to another request. Called as soon as the head is
/// read, before anything of the answer is passed on.
pub(crate) fn hear(shell: &Rc<Shell>, asked: Asked, facts: &AnswerFacts) {
    if !facts.leaving && facts.wants_nothing_for == ComeBack::NotSaid {
        return;
    }
    let Some(server) = speaker(shell, asked, facts) else {
        return;
    };
    if facts.leaving {
        say(shell, server, ServerWord::Leaving);
    }
    if let Some(rest) = rest(shell, server, &facts.wants_nothing_for) {
        say(shell, server, ServerWord::WantsNothing(rest));
    }
}

fn say(shell: &Rc<Shell>, server: ServerKey, word: ServerWord) {
    let label = match word {
        ServerWord::Leaving => "leaving",
        ServerWord::WantsNothing(_) => "wants_nothing",
    };
    shell.metrics.server_words.with_label_values(&[label]).inc();
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

/// Returns for how long a server wants no requests. A date, a negative number and
/// what is no number count as not said; more than [`LONGEST_REST`] as that.
fn rest(shell: &Shell, server: ServerKey, said: &ComeBack) -> Option<Duration> {
    match said {
        ComeBack::NotSaid => None,
        ComeBack::After(time) if *time > LONGEST_REST => {
            let reason = format!("{} s are too long", time.as_secs());
            log_faulty(shell, server, &reason, Some(LONGEST_REST));
            Some(LONGEST_REST)
        }
        ComeBack::After(time) => Some(*time).filter(|time| !time.is_zero()),
        ComeBack::Faulty(reason) => {
            log_faulty(shell, server, reason, None);
            None
        }
    }
}

fn log_faulty(shell: &Shell, server: ServerKey, reason: &str, taken: Option<Duration>) {
    let facts = format!(
        "server={} reason={reason:?} taken_ms={}",
        name(shell, server),
        taken.unwrap_or_default().as_millis()
    );
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
    };
    let facts = format!("server={} {facts}", name(shell, server));
    LogEvent::new(kind, facts).emit();
}

fn name(shell: &Shell, server: ServerKey) -> String {
    let router = shell.router.borrow();
    let known = router.fleet().get(server);
    known.map_or_else(|| "gone".to_owned(), |known| known.record.instance.clone())
}
