//! Carries out what the reducer asks of engines.

use std::{rc::Rc, time::Duration};

use http::{Method, StatusCode};
use notchwalk_core::{Attempt, RequestId, ServerId};
use notchwalk_decide::{AttemptEnd, Dispatch, Event, RequestKey, SegmentOrder};
use notchwalk_http::prelude::*;
use notchwalk_wire::{
    CancelAnswer, CancelRequest, EngineFinish, EngineFrame, EngineRefusal, GenerateRequest,
    Holdings, Prompt, SegmentAnswer, SegmentRequest,
};

use crate::{
    shell::{GeneratePayload, Shell},
    sse::SseReader,
};

/// How long small calls to engines may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest answer to a small call, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Runs one attempt of a generation to its end.
pub async fn generate(shell: Rc<Shell>, dispatch: Dispatch, payload: Rc<GeneratePayload>) {
    let end = stream_attempt(&shell, &dispatch, &payload).await;
    shell.step(Event::AttemptEnded {
        request: dispatch.request,
        attempt: dispatch.attempt,
        end,
    });
}

async fn stream_attempt(
    shell: &Rc<Shell>,
    dispatch: &Dispatch,
    payload: &GeneratePayload,
) -> AttemptEnd {
    let Some(addr) = shell.server_address(dispatch.server) else {
        return AttemptEnd::NotSent;
    };
    let Some(id) = shell.with_node(|node| node.request_id(dispatch.request)) else {
        return AttemptEnd::NotSent;
    };
    let body = GenerateRequest::<&Prompt> {
        request: id,
        attempt: dispatch.attempt,
        model: payload.model.clone(),
        adapter: payload.adapter.clone(),
        version: payload.version.clone(),
        priority: dispatch.priority,
        offset: dispatch.offset,
        max_tokens: payload.max_tokens,
        imports: shell.tickets(dispatch.request),
        sampling: payload.sampling.clone(),
        stop: payload.stop.clone(),
        prompt: &payload.prompt,
    };
    let req = OutgoingRequest::new(Method::POST, "/v1/generate").with_json(&body);
    match shell.client.stream(addr, req).await {
        Ok(answer) if answer.status == StatusCode::OK => {
            read_frames(shell, dispatch.request, payload, answer).await
        }
        Ok(answer) => read_refusal(answer).await,
        Err(e) if e.nothing_sent() => AttemptEnd::NotSent,
        Err(_) => AttemptEnd::Broken,
    }
}

/// Reads an engine's answer that is no stream: a refusal before any work, if
/// it says so itself.
async fn read_refusal(answer: StreamedResponse) -> AttemptEnd {
    let Ok(whole) = answer.whole(MAX_ANSWER).await else {
        return AttemptEnd::Broken;
    };
    match whole.json::<EngineRefusal>() {
        Ok(refusal) => AttemptEnd::Refused { code: refusal.code },
        Err(_) => AttemptEnd::Broken,
    }
}

async fn read_frames(
    shell: &Rc<Shell>,
    request: RequestKey,
    payload: &GeneratePayload,
    mut answer: StreamedResponse,
) -> AttemptEnd {
    let mut sse = SseReader::default();
    loop {
        match answer.next().await {
            Ok(Some(piece)) if sse.push(&piece) => {}
            _ => return AttemptEnd::Broken,
        }
        // Everything that has arrived is passed on in one go.
        while let Ok(Some(piece)) = answer.buffered() {
            if !sse.push(&piece) {
                return AttemptEnd::Broken;
            }
        }
        if let Some(end) = take_lines(shell, request, payload, &mut sse) {
            drain_tail(answer).await;
            return end;
        }
    }
}

/// Feeds all whole frames; consecutive ones go to the reducer as one. Returns
/// the attempt's end if it was among them.
fn take_lines(
    shell: &Rc<Shell>,
    request: RequestKey,
    payload: &GeneratePayload,
    sse: &mut SseReader,
) -> Option<AttemptEnd> {
    let own = shell.with_node(|node| node.request_id(request))?;
    let mut batch: Option<EngineFrame> = None;
    while let Some(line) = sse.next_data() {
        let Ok(mut frame) = serde_json::from_slice::<EngineFrame>(line) else {
            return Some(AttemptEnd::Broken);
        };
        let finish = frame.finish.take().filter(|_| frame.request == own);
        match &mut batch {
            Some(before) if follows(before, &frame) => before.tokens.append(&mut frame.tokens),
            _ => {
                if let Some(before) = batch.replace(frame) {
                    shell.frame(request, before);
                }
            }
        }
        if let Some(finish) = finish {
            feed(shell, request, batch);
            return Some(finished(shell, request, payload, finish));
        }
    }
    feed(shell, request, batch);
    None
}

fn feed(shell: &Rc<Shell>, request: RequestKey, batch: Option<EngineFrame>) {
    if let Some(frame) = batch.filter(|f| !f.tokens.is_empty()) {
        shell.frame(request, frame);
    }
}

/// Tells whether a frame carries the tokens right after those of another.
fn follows(before: &EngineFrame, frame: &EngineFrame) -> bool {
    before.request == frame.request
        && before.attempt == frame.attempt
        && u64::from(before.offset) + before.tokens.len() as u64 == u64::from(frame.offset)
}

fn finished(
    shell: &Rc<Shell>,
    request: RequestKey,
    payload: &GeneratePayload,
    finish: EngineFinish,
) -> AttemptEnd {
    if let Some(bytes) = payload.text_bytes {
        shell.with_node(|node| node.learn_tokens(&payload.model, bytes, finish.prompt_tokens));
    }
    shell.set_finish_reason(request, finish.reason);
    AttemptEnd::Complete {
        prompt_tokens: finish.prompt_tokens,
        cached_tokens: finish.cached_tokens,
        completion_tokens: finish.completion_tokens as u32,
    }
}

/// Reads the end of a finished stream, so that its connection can be used
/// again.
async fn drain_tail(mut answer: StreamedResponse) {
    const TAIL_TIMEOUT: Duration = Duration::from_millis(50);
    let rest = async { while let Ok(Some(_)) = answer.next().await {} };
    if monoio::time::timeout(TAIL_TIMEOUT, rest).await.is_ok() {
        answer.release();
    }
}

/// Has one segment of a huge prompt computed.
pub async fn compute_segment(shell: Rc<Shell>, order: SegmentOrder, payload: Rc<GeneratePayload>) {
    let event = match segment(&shell, &order, &payload).await {
        Ok(answer) => {
            shell.add_ticket(order.request, answer.ticket);
            Event::SegmentReady {
                request: order.request,
                attempt: order.attempt,
            }
        }
        Err(end) => Event::AttemptEnded {
            request: order.request,
            attempt: order.attempt,
            end,
        },
    };
    shell.step(event);
}

async fn segment(
    shell: &Rc<Shell>,
    order: &SegmentOrder,
    payload: &GeneratePayload,
) -> Result<SegmentAnswer, AttemptEnd> {
    let addr = shell
        .server_address(order.server)
        .ok_or(AttemptEnd::NotSent)?;
    let id = shell.with_node(|node| node.request_id(order.request));
    let body = SegmentRequest {
        request: id.ok_or(AttemptEnd::NotSent)?,
        attempt: order.attempt,
        model: payload.model.clone(),
        from: order.from,
        to: order.to,
        imports: shell.tickets(order.request),
    };
    let req = OutgoingRequest::new(Method::POST, "/v1/kv/prefill").with_json(&body);
    let timeout = Duration::from_millis(order.timeout_ms);
    let sent = shell.client.send(addr, req, timeout, MAX_ANSWER).await;
    let answer = sent.map_err(|e| match e.nothing_sent() {
        true => AttemptEnd::NotSent,
        false => AttemptEnd::Broken,
    })?;
    if let Ok(refusal) = answer.json::<EngineRefusal>() {
        return Err(AttemptEnd::Refused { code: refusal.code });
    }
    answer.json().map_err(|_| AttemptEnd::Broken)
}

/// Ends an engine's work for a request.
pub async fn cancel(shell: Rc<Shell>, server: ServerId, id: RequestId, up_to: Attempt) {
    let confirmed = match shell.server_address(server) {
        Some(addr) => {
            let body = CancelRequest { request: id, up_to };
            let req = OutgoingRequest::new(Method::POST, "/v1/cancel").with_json(&body);
            let answer = shell.client.send(addr, req, CALL_TIMEOUT, MAX_ANSWER).await;
            answer.is_ok_and(|a| a.status.is_success() && a.json::<CancelAnswer>().is_ok())
        }
        None => false,
    };
    shell.step(Event::CancelEnded {
        server,
        id,
        confirmed,
    });
}

/// Asks an engine what it holds.
pub async fn ask_holdings(shell: Rc<Shell>, server: ServerId) {
    let Some(addr) = shell.server_address(server) else {
        return;
    };
    let req = OutgoingRequest::new(Method::GET, "/v1/holdings");
    let Ok(answer) = shell.client.send(addr, req, CALL_TIMEOUT, MAX_ANSWER).await else {
        return;
    };
    if let Ok(holdings) = answer.json::<Holdings>() {
        shell.step(Event::Holdings {
            server,
            holdings: holdings.holdings,
        });
    }
}
