//! Sends a request to one backend server and passes its answer on.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{header, HeaderMap, Method, StatusCode};
use notchwalk_core::Instant;
use notchwalk_http::{chunk_into, prelude::*, request_head};
use notchwalk_route::{Assignment, AttemptEnd, Event};

use crate::{
    served::Served,
    server_words::{self, Asked},
    shell::Shell,
    stream_events::EventSplitter,
    AnswerWord, BackendRequest,
};

/// The largest answer that is read whole before it is passed on, in bytes.
const MAX_WHOLE_ANSWER_BYTES: usize = 1 << 20;
/// Answers to other requests that are passed over on one connection.
const MAX_FOREIGN_ANSWERS: usize = 3;
/// How long an answer is waited for after the request could not be written: a
/// server may have answered before it read the body.
const EARLY_ANSWER_WAIT: Duration = Duration::from_millis(50);

/// How an attempt ended.
pub(crate) enum Attempted {
    /// Without a whole answer; the router decides what follows.
    Ended(AttemptEnd),
    /// The caller has the whole answer.
    Delivered(AttemptEnd),
    /// The caller left.
    CallerLeft,
    /// The request's time is over.
    TimedOut,
}

/// A server's own error, kept until it is known that no other server serves
/// the request.
pub(crate) struct KeptFailure {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// What the caller has of the answer.
pub(crate) struct Delivery {
    /// Whether the answer's head was sent.
    pub head_sent: bool,
    /// When the first event or the whole answer was sent.
    pub first_at: Option<Instant>,
    /// When something was sent last.
    pub last_at: Option<Instant>,
    /// The longest pause between two events.
    pub longest_pause: Duration,
    /// Times that events were passed on.
    pub passes: u32,
    /// Time from arrival to the first event, as predicted at the first send.
    pub predicted_first: Option<Duration>,
    /// Sends to servers.
    pub sends: u32,
    /// An error of a server's own.
    pub failure: Option<KeptFailure>,
    /// Cuts the stream at the ends of events.
    pub splitter: EventSplitter,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

impl Delivery {
    /// Starts an answer; `last_event` is what the caller has from before.
    pub fn new(last_event: Option<u64>) -> Self {
        Self {
            head_sent: false,
            first_at: None,
            last_at: None,
            longest_pause: Duration::ZERO,
            passes: 0,
            predicted_first: None,
            sends: 0,
            failure: None,
            splitter: EventSplitter::default(),
            last_event,
        }
    }

    fn note_sent(&mut self, now: Instant) {
        self.first_at.get_or_insert(now);
        self.passes += 1;
        if let Some(last) = self.last_at {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
        self.last_at = Some(now);
    }
}

/// Returns a word for logs and metrics.
pub(crate) fn end_word(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Delivered { .. } => "delivered",
        AttemptEnd::NotConnected => "not_connected",
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::NotRun { moved: true, .. } => "moved",
        AttemptEnd::NotRun { .. } => "not_run",
        AttemptEnd::Failed => "failed",
        AttemptEnd::Silent => "silent",
        AttemptEnd::Broken => "broken",
        AttemptEnd::Unusable => "unusable",
    }
}

/// What an attempt waits for beside its server.
enum Awaited<T> {
    Done(T),
    CallerLeft,
    TimedOut,
    Silent,
}

/// Waits for as long as a server may be silent; for ever without a bound. Time in
/// which the machine was suspended doesn't count: nothing could be heard then.
async fn silent_for(silence: Option<Duration>) {
    match silence {
        Some(silence) => monoio::time::sleep(silence).await,
        None => std::future::pending().await,
    }
}

/// Waits for `future`, for the caller to leave, for the request's deadline and
/// for a silence of the server that is too long. The silence ends the wait only
/// if another server could be tried.
async fn await_server<T>(
    shell: &Shell,
    exchange: &mut Exchange,
    served: &Served,
    silence: Option<Duration>,
    future: impl std::future::Future<Output = T>,
) -> Awaited<T> {
    let mut future = std::pin::pin!(future);
    let mut silence = silence;
    loop {
        monoio::select! {
            done = &mut future => return Awaited::Done(done),
            () = exchange.peer_closed() => return Awaited::CallerLeft,
            () = shell.sleep_until(served.deadline) => return Awaited::TimedOut,
            () = silent_for(silence) => {}
        }
        if shell
            .router
            .borrow()
            .may_try_another(served.key, shell.now())
        {
            return Awaited::Silent;
        }
        silence = None;
    }
}

/// Sends the request and passes the answer on.
pub(crate) async fn run(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    served: &Served,
    delivery: &mut Delivery,
    to: &Assignment,
) -> Attempted {
    delivery.sends += 1;
    let waited = shell.now().since(served.arrived);
    delivery
        .predicted_first
        .get_or_insert(waited + to.predicted_first);
    let request = send_and_read_head(shell, served, delivery.last_event, to, exchange);
    let request = request.await;
    let answer = match request {
        Awaited::Done(Ok(Some(answer))) => answer,
        Awaited::Done(Ok(None)) => return Attempted::Ended(AttemptEnd::NotSent),
        Awaited::Done(Err(e)) if e.nothing_sent() => {
            return Attempted::Ended(AttemptEnd::NotConnected);
        }
        Awaited::Done(Err(_)) => return Attempted::Ended(AttemptEnd::Broken),
        Awaited::Silent => return Attempted::Ended(AttemptEnd::Silent),
        Awaited::CallerLeft => return Attempted::CallerLeft,
        Awaited::TimedOut => return Attempted::TimedOut,
    };
    let facts = shell
        .dialect
        .backend_answer(&served.caller.id, answer.status, &answer.headers);
    let not_run = |moved| AttemptEnd::NotRun {
        at_fault: facts.at_fault,
        moved,
    };
    match facts.word {
        AnswerWord::Unusable | AnswerWord::Foreign => Attempted::Ended(AttemptEnd::Unusable),
        AnswerWord::NotRun => {
            discard(answer).await;
            Attempted::Ended(not_run(false))
        }
        AnswerWord::Moved => Attempted::Ended(not_run(true)),
        AnswerWord::Success if served.streaming => {
            pass_stream(shell, exchange, served, delivery, to, answer).await
        }
        AnswerWord::Success | AnswerWord::Failure => {
            pass_whole(shell, exchange, served, delivery, answer, facts.word).await
        }
    }
}

/// Reads a short answer to its end, so that the connection can be used again.
async fn discard(answer: StreamedResponse) {
    const WAIT: Duration = Duration::from_millis(20);
    // If the rest does not come at once, the connection is closed instead.
    let _ = monoio::time::timeout(WAIT, answer.whole(MAX_WHOLE_ANSWER_BYTES)).await;
}

/// Tells whether a server still wants the request that is about to be written: while
/// its connection came up, another answer may have said otherwise.
fn is_still_wanted(shell: &Shell, to: &Assignment) -> bool {
    let router = shell.router.borrow();
    let server = router.fleet().get(to.server);
    server.is_some_and(|server| server.wants_work(shell.now()))
}

/// Sends a request and reads the head of its answer; `None` if the server no longer
/// wants it and nothing was sent.
async fn send_and_read_head(
    shell: &Rc<Shell>,
    served: &Served,
    last_event: Option<u64>,
    to: &Assignment,
    exchange: &mut Exchange,
) -> Awaited<Result<Option<StreamedResponse>, HttpError>> {
    let head = exchange.head.clone();
    let send = async {
        let mut conn = shell.client.connection(to.addr, Reuse::Pooled).await?;
        if !is_still_wanted(shell, to) {
            return Ok(None);
        }
        let headers = shell.dialect.backend_request(&BackendRequest {
            caller: &head.headers,
            assignment: to,
            workspace: served.workspace.as_deref(),
            patience: served.deadline.since(shell.now()),
            last_event,
        });
        let host = head.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let length = Some(served.body.len());
        let mut buf = request_head(&head.method, path, host, &headers, length);
        buf.extend_from_slice(&served.body);
        let asked = Asked {
            server: Some(to.server),
            addr: to.addr,
            at: shell.now(),
        };
        let written = conn.write_all(&buf).await;
        drop(buf);
        let receive = receive_own(shell, served, &head.method, asked, conn);
        let Err(e) = written else {
            return receive.await.map(Some);
        };
        match monoio::time::timeout(EARLY_ANSWER_WAIT, receive).await {
            Ok(Ok(mut answer)) => {
                answer.forbid_reuse();
                Ok(Some(answer))
            }
            _ => Err(e.into()),
        }
    };
    await_server(shell, exchange, served, to.first_silence, send).await
}

/// Reads the head of the answer to this request, passing over answers to
/// others.
async fn receive_own(
    shell: &Rc<Shell>,
    served: &Served,
    method: &Method,
    asked: Asked,
    conn: notchwalk_http::Connection,
) -> Result<StreamedResponse, HttpError> {
    let client = &shell.client;
    let mut answer = client
        .receive(asked.addr, conn, method, Reuse::Pooled)
        .await?;
    for _ in 0..MAX_FOREIGN_ANSWERS {
        let id = &served.caller.id;
        let facts = shell
            .dialect
            .backend_answer(id, answer.status, &answer.headers);
        server_words::hear(shell, asked, &facts);
        if facts.word != AnswerWord::Foreign {
            break;
        }
        answer = answer.next_response(method).await?;
    }
    Ok(answer)
}

/// Removes the headers that concern one connection only.
fn end_to_end_headers(headers: &mut HeaderMap) -> HeaderMap {
    let mut headers = std::mem::take(headers);
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
    ] {
        headers.remove(name);
    }
    headers
}

async fn pass_whole(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    served: &Served,
    delivery: &mut Delivery,
    mut answer: StreamedResponse,
    word: AnswerWord,
) -> Attempted {
    let status = answer.status;
    let headers = end_to_end_headers(&mut answer.headers);
    let read = answer.whole(MAX_WHOLE_ANSWER_BYTES);
    let body = match await_server(shell, exchange, served, None, read).await {
        Awaited::Done(Ok(whole)) => whole.body,
        Awaited::Done(Err(_)) | Awaited::Silent => return Attempted::Ended(AttemptEnd::Broken),
        Awaited::CallerLeft => return Attempted::CallerLeft,
        Awaited::TimedOut => return Attempted::TimedOut,
    };
    if word == AnswerWord::Failure && status.is_server_error() {
        delivery.failure = Some(KeptFailure {
            status,
            headers,
            body,
        });
        return Attempted::Ended(AttemptEnd::Failed);
    }
    if delivery.head_sent {
        // An answer of another kind can't follow events already delivered.
        return Attempted::Ended(AttemptEnd::Unusable);
    }
    exchange.respond(status, headers, &body).await;
    delivery.note_sent(shell.now());
    Attempted::Delivered(AttemptEnd::Delivered {
        healthy: word == AnswerWord::Success,
    })
}

async fn pass_stream(
    shell: &Rc<Shell>,
    exchange: &mut Exchange,
    served: &Served,
    delivery: &mut Delivery,
    to: &Assignment,
    mut answer: StreamedResponse,
) -> Attempted {
    let status = answer.status;
    let headers = end_to_end_headers(&mut answer.headers);
    let mut silence = to.first_silence;
    let mut started = false;
    loop {
        let next = answer.next();
        let piece = match await_server(shell, exchange, served, silence, next).await {
            Awaited::Done(Ok(piece)) => piece,
            Awaited::Done(Err(_)) => {
                delivery.splitter.drop_partial();
                return Attempted::Ended(AttemptEnd::Broken);
            }
            Awaited::Silent => {
                delivery.splitter.drop_partial();
                return Attempted::Ended(AttemptEnd::Silent);
            }
            Awaited::CallerLeft => return Attempted::CallerLeft,
            Awaited::TimedOut => return Attempted::TimedOut,
        };
        let Some(piece) = piece else { break };
        let mut events = delivery.splitter.push(&piece).to_vec();
        while let Ok(Some(piece)) = answer.buffered() {
            events.extend_from_slice(&delivery.splitter.push(&piece));
        }
        if events.is_empty() {
            continue;
        }
        if !started {
            started = true;
            silence = to.pause_silence;
            shell.step(Event::Started {
                request: served.key,
            });
        }
        if pass_events(exchange, delivery, status, &headers, &events)
            .await
            .is_err()
        {
            return Attempted::CallerLeft;
        }
        delivery.last_event = delivery.splitter.last_id().or(delivery.last_event);
        delivery.note_sent(shell.now());
    }
    let rest = delivery.splitter.take_rest();
    if (!rest.is_empty() || !delivery.head_sent)
        && pass_events(exchange, delivery, status, &headers, &rest)
            .await
            .is_err()
    {
        return Attempted::CallerLeft;
    }
    if exchange.finish_stream().await.is_err() {
        return Attempted::CallerLeft;
    }
    answer.release();
    Attempted::Delivered(AttemptEnd::Delivered { healthy: true })
}

async fn pass_events(
    exchange: &mut Exchange,
    delivery: &mut Delivery,
    status: StatusCode,
    headers: &HeaderMap,
    events: &[u8],
) -> Result<(), HttpError> {
    if !delivery.head_sent {
        delivery.head_sent = true;
        return exchange.start_stream(status, headers.clone(), events).await;
    }
    let mut framed = Vec::with_capacity(events.len() + 16);
    chunk_into(&mut framed, events);
    exchange.write_framed(&framed).await
}
