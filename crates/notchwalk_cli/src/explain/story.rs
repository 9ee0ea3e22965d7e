//! What a log says of one request and of the servers that it went to.

use std::collections::{HashSet, VecDeque};

use super::log_line::LogLine;

/// Lines about one server that are shown before a request's own: the latest matter.
const LINES_OF_A_SERVER: usize = 3;

/// Events about servers, and about contents, that may have decided over a request.
const OF_SERVERS: [u16; 9] = [4002, 4101, 4102, 4103, 4104, 4105, 4106, 4107, 4108];
/// Events about limits, which decide over requests that went to no server.
const OF_LIMITS: [u16; 3] = [4106, 4107, 4108];
const OF_CONTENTS: [u16; 3] = [5201, 5202, 5203];

/// The lines of one log that concern a request, in their order.
#[derive(Clone, Debug, Default)]
pub struct Story {
    /// With their numbers in the log, from 1.
    pub lines: Vec<(usize, LogLine)>,
    /// How the request ended, if the log says it.
    pub end: Option<LogLine>,
}

impl Story {
    /// Collects the story of a request; `None` if the log doesn't name it.
    pub fn of(request: &str, log: &str) -> Option<Self> {
        let lines = log.lines().enumerate();
        let lines = lines.filter_map(|(at, text)| Some((at + 1, LogLine::parse(text)?)));
        let lines: Vec<(usize, LogLine)> = lines.collect();
        let is_own = |line: &LogLine| line.fact("request") == Some(request);
        let last = lines.iter().rposition(|(_, line)| is_own(line))?;
        let until_end = &lines[..=last];
        let own = || until_end.iter().filter(|(_, line)| is_own(line));
        let named = |name| -> HashSet<&str> { own().filter_map(|(_, l)| l.fact(name)).collect() };
        let (servers, contents) = (named("server"), named("content"));
        let mut shown: HashSet<usize> = own().map(|(at, _)| *at).collect();
        for server in servers {
            let is_of = |line: &LogLine| line.fact("server") == Some(server);
            shown.extend(latest(until_end, &OF_SERVERS, is_of));
        }
        for content in contents {
            let is_of = |line: &LogLine| line.fact("content") == Some(content);
            shown.extend(latest(until_end, &OF_CONTENTS, is_of));
        }
        let is_end = |line: &LogLine| matches!(line.event, 5103 | 5104);
        let end = own().map(|(_, line)| line).rfind(|line| is_end(line));
        let end = end.cloned();
        if end.as_ref().and_then(|end| end.fact("outcome")) == Some("limited") {
            shown.extend(latest(until_end, &OF_LIMITS, |_| true));
        }
        let lines = until_end.iter().filter(|(at, _)| shown.contains(at));
        Some(Self {
            lines: lines.cloned().collect(),
            end,
        })
    }

    /// Says in a sentence why the request ended as it did.
    pub fn cause(&self) -> String {
        let Some(end) = &self.end else {
            return "The log ends before the request did, or its lines were dropped (NW1007)."
                .to_owned();
        };
        if end.event == 5104 {
            let reason = end.fact("reason").unwrap_or("no reason told");
            return format!("It was not accepted: {reason}.");
        }
        let outcome = end.fact("outcome").unwrap_or("");
        let sends = end.fact("sends").unwrap_or("?");
        match outcome {
            "delivered" => self.of_delivered(end),
            "caller_left" => "Its caller left before the answer's end.".to_owned(),
            "broken_off" => format!("Its stream broke and was cut off; sends: {sends}."),
            "not_ready" => "The entry had no configuration yet.".to_owned(),
            "draining" => "The entry was told to stop more than three seconds before.".to_owned(),
            "no_server" => {
                "No server of the service took requests: gone, leaving (NW4103), closed for \
                 failures (NW4002), or wanting nothing (NW4104)."
                    .to_owned()
            }
            "limited" => {
                "Its servers name limits (NW4106), and what they allow was gone before its \
                 turn; its Retry-After told when that would be."
                    .to_owned()
            }
            "overloaded" => {
                "No engine could have read its prompt before its caller gives up.".to_owned()
            }
            "not_run" => format!("Servers turned it away before work; sends: {sends}."),
            "unknown" => format!(
                "It may have run: its last send ended without a whole answer; sends: {sends}."
            ),
            "timed_out" => format!("Its time was over; sends: {sends}."),
            "suspected" => {
                "Servers ended under its content; whether by its fault was not known yet."
                    .to_owned()
            }
            "quarantined" => {
                "Its content is quarantined: servers that ran it ended (NW5202).".to_owned()
            }
            other => format!("It ended as {other:?}, which this version does not know."),
        }
    }

    /// Says of an answer that was delivered what took the longest.
    fn of_delivered(&self, end: &LogLine) -> String {
        let number = |line: &LogLine, name: &str| -> u64 {
            let text = line.fact(name).unwrap_or("");
            text.parse().unwrap_or(0)
        };
        if end.fact("first_ms") == Some("-1") {
            return "A server's own error was delivered (NW5102 end=failed).".to_owned();
        }
        let (sends, first) = (number(end, "sends"), number(end, "first_ms"));
        let sent = self.lines.iter().map(|(_, line)| line);
        let waited = sent
            .map(|line| number(line, "waited_ms"))
            .max()
            .unwrap_or(0);
        let pause = number(end, "longest_pause_ms");
        format!(
            "It was delivered; sends: {sends}, first event after {first} ms, of which it waited \
             {waited} ms here; longest pause {pause} ms."
        )
    }
}

/// Returns the latest lines of some events about one thing.
fn latest(
    lines: &[(usize, LogLine)],
    events: &[u16],
    is_of: impl Fn(&LogLine) -> bool,
) -> VecDeque<usize> {
    let mut latest = VecDeque::new();
    for (at, line) in lines {
        if !events.contains(&line.event) || !is_of(line) {
            continue;
        }
        latest.push_back(*at);
        if latest.len() > LINES_OF_A_SERVER {
            latest.pop_front();
        }
    }
    latest
}
