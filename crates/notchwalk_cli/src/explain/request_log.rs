//! The log lines of one request and of the servers it was sent to.

use std::collections::{HashSet, VecDeque};

use super::log_line::LogLine;

/// Maximum number of lines shown for one server, content or limit; the latest are shown.
const MAX_CONTEXT_LINES: usize = 3;

/// Numbers of server events that can affect a request.
const SERVER_EVENTS: [u16; 9] = [4002, 4101, 4102, 4103, 4104, 4105, 4106, 4107, 4108];
/// Numbers of limit events, shown for a rejected request even if it was sent to no server.
const LIMIT_EVENTS: [u16; 3] = [4106, 4107, 4108];
/// Numbers of events about lost links, shown for a request without a server.
const LINK_EVENTS: [u16; 2] = [4109, 4110];
/// Numbers of events about contents, and parts of prompts, that are suspected of crashing
/// servers.
const CONTENT_EVENTS: [u16; 3] = [5201, 5202, 5203];
/// Number of the event that names what a request is refused for.
const REQUEST_BLOCKED: u16 = 5204;

/// The lines of one log that are relevant to a request, in log order.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    /// The lines with their line numbers in the log, from 1.
    pub lines: Vec<(usize, LogLine)>,
    /// The line with the outcome of the request, if the log contains it.
    pub end: Option<LogLine>,
}

impl RequestLog {
    /// Collects the lines relevant to a request; returns `None` if the log does not contain
    /// the request.
    pub fn for_request(request: &str, log: &str) -> Option<Self> {
        let lines = log.lines().enumerate();
        let lines = lines.filter_map(|(number, text)| Some((number + 1, LogLine::parse(text)?)));
        let lines: Vec<(usize, LogLine)> = lines.collect();
        let is_own = |line: &LogLine| line.fact("request") == Some(request);
        let last = lines.iter().rposition(|(_, line)| is_own(line))?;
        let lines_to_end = &lines[..=last];
        let own_lines = || lines_to_end.iter().filter(|(_, line)| is_own(line));
        let values_of =
            |name| -> HashSet<&str> { own_lines().filter_map(|(_, l)| l.fact(name)).collect() };
        let (servers, contents) = (values_of("server"), values_of("content"));
        let parts = values_of("part");
        let mut shown: HashSet<usize> = own_lines().map(|(number, _)| *number).collect();
        for server in servers {
            let is_match = |line: &LogLine| line.fact("server") == Some(server);
            shown.extend(latest(lines_to_end, &SERVER_EVENTS, is_match));
        }
        for content in contents {
            let is_match = |line: &LogLine| line.fact("content") == Some(content);
            shown.extend(latest(lines_to_end, &CONTENT_EVENTS, is_match));
        }
        for part in parts {
            let is_match = |line: &LogLine| line.fact("part") == Some(part);
            shown.extend(latest(lines_to_end, &CONTENT_EVENTS, is_match));
        }
        let is_end = |line: &LogLine| matches!(line.event, 5103 | 5104);
        let end = own_lines().map(|(_, line)| line).rfind(|line| is_end(line));
        let end = end.cloned();
        match end.as_ref().and_then(|end| end.fact("outcome")) {
            Some("limited") => shown.extend(latest(lines_to_end, &LIMIT_EVENTS, |_| true)),
            Some("no_server" | "not_run") => {
                shown.extend(latest(lines_to_end, &LINK_EVENTS, |_| true));
            }
            _ => {}
        }
        let lines = lines_to_end
            .iter()
            .filter(|(number, _)| shown.contains(number));
        Some(Self {
            lines: lines.cloned().collect(),
            end,
        })
    }

    /// Returns one sentence that explains the outcome of the request.
    pub fn cause(&self) -> String {
        let Some(end) = &self.end else {
            return "The log contains no outcome: it ends before the request, or lines were dropped \
                    (NW1007)."
                .to_owned();
        };
        if end.event == 5104 {
            let reason = end.fact("reason").unwrap_or("no reason logged");
            return format!("The request was not accepted: {reason}.");
        }
        let outcome = end.fact("outcome").unwrap_or("");
        let sends = end.fact("sends").unwrap_or("?");
        match outcome {
            "delivered" => self.delivered_cause(end),
            "caller_left" => "The caller disconnected before the response was complete.".to_owned(),
            "broken_off" => format!("The response stream broke and was truncated; sends: {sends}."),
            "not_ready" => "The node had no configuration yet.".to_owned(),
            "draining" => "The node had been draining for more than three seconds.".to_owned(),
            "no_server" => {
                "No server of the service was available (NW5106 counts them): removed, draining \
                 (NW4103), with an open circuit (NW4002), within a backoff that it requested \
                 (NW4104), or behind lost links (NW4109) with no peer that reaches them."
                    .to_owned()
            }
            "limited" => {
                "Its servers report rate limits (NW4106), and these were exhausted; Retry-After \
                 gave the time until a request would be allowed."
                    .to_owned()
            }
            "overloaded" => {
                "No engine could complete the prefill within the caller timeout, or its workspace \
                 exceeded its share while the queue was full."
                    .to_owned()
            }
            "not_run" => format!(
                "No server ran the request: servers rejected it, or it could not be sent; \
                 sends: {sends}."
            ),
            "unknown" => format!(
                "The request may have run: at least one failed send may have reached a server; \
                 sends: {sends}."
            ),
            "timed_out" => format!("The request timed out; sends: {sends}."),
            "peer_busy" => {
                "The node serves as many requests for its peers as it may; the peer that \
                 forwarded this one logs what followed."
                    .to_owned()
            }
            "suspected" => format!(
                "{} is suspected of crashing servers; this is not confirmed yet.",
                self.blocked_subject()
            ),
            "quarantined" => format!(
                "{} is quarantined: servers that ran it crashed (NW5202).",
                self.blocked_subject()
            ),
            other => format!("The outcome {other:?} is not known to this version of notchwalk."),
        }
    }

    /// Names what a refused request is suspected for.
    fn blocked_subject(&self) -> String {
        let mut lines = self.lines.iter().map(|(_, line)| line);
        let blocked = lines.rfind(|line| line.event == REQUEST_BLOCKED);
        match blocked.and_then(|line| line.fact("part")) {
            Some(part) => format!("A part of its prompt ({part}), which other requests share,"),
            None => "Its content".to_owned(),
        }
    }

    /// Explains where the time of a delivered response was spent.
    fn delivered_cause(&self, end: &LogLine) -> String {
        let number = |line: &LogLine, name: &str| -> u64 {
            let text = line.fact(name).unwrap_or("");
            text.parse().unwrap_or(0)
        };
        if end.fact("first_ms") == Some("-1") {
            return "An error response of the server itself was delivered (NW5102 end=failed)."
                .to_owned();
        }
        let (sends, first_ms) = (number(end, "sends"), number(end, "first_ms"));
        let lines = self.lines.iter().map(|(_, line)| line);
        let waited_ms = lines
            .map(|line| number(line, "waited_ms"))
            .max()
            .unwrap_or(0);
        let max_gap_ms = number(end, "longest_pause_ms");
        format!(
            "The response was delivered; sends: {sends}, the last one {waited_ms} ms after the \
             request arrived; first event after {first_ms} ms; longest gap between events \
             {max_gap_ms} ms."
        )
    }
}

/// Returns the numbers of the latest lines with one of these events for which `matches`
/// returns `true`.
fn latest(
    lines: &[(usize, LogLine)],
    events: &[u16],
    matches: impl Fn(&LogLine) -> bool,
) -> VecDeque<usize> {
    let mut latest = VecDeque::new();
    for (number, line) in lines {
        if !events.contains(&line.event) || !matches(line) {
            continue;
        }
        latest.push_back(*number);
        if latest.len() > MAX_CONTEXT_LINES {
            latest.pop_front();
        }
    }
    latest
}
