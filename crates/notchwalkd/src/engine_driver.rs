//! Sends the reducer's requests to engines and feeds their responses back.

use std::{rc::Rc, time::Duration};

use http::{Method, StatusCode};
use notchwalk_core::{Attempt, RequestId, ServerId};
use notchwalk_decide::{AttemptEnd, Dispatch, Event, RequestKey, SegmentPrefill};
use notchwalk_http::prelude::*;
use notchwalk_wire::{
    Allocations, CancelRequest, CancelResponse, EngineFinish, EngineFrame, EngineRejection,
    GenerateRequest, Prompt, SegmentRequest, SegmentResponse,
};

use crate::{
    shell::{GeneratePayload, Shell},
    sse::SseReader,
};

/// Timeout of cancel and allocation calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response that isn't streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Runs one attempt of a generation and reports its end to the reducer.
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
        Ok(response) if response.status == StatusCode::OK => {
            read_frames(shell, dispatch.request, payload, response).await
        }
        Ok(response) => read_rejection(response).await,
        Err(e) if e.is_unsent() => AttemptEnd::NotSent,
        Err(_) => AttemptEnd::Broken,
    }
}

/// Reads a response that isn't a stream. The attempt counts as refused only if the
/// body is an explicit rejection.
async fn read_rejection(response: StreamedResponse) -> AttemptEnd {
    let Ok(body) = response.collect(MAX_RESPONSE_BYTES).await else {
        return AttemptEnd::Broken;
    };
    match body.json::<EngineRejection>() {
        Ok(rejection) => AttemptEnd::Refused {
            code: rejection.code,
        },
        Err(_) => AttemptEnd::Broken,
    }
}

async fn read_frames(
    shell: &Rc<Shell>,
    request: RequestKey,
    payload: &GeneratePayload,
    mut response: StreamedResponse,
) -> AttemptEnd {
    let mut sse = SseReader::default();
    loop {
        match response.next().await {
            Ok(Some(chunk)) if sse.push(&chunk) => {}
            _ => return AttemptEnd::Broken,
        }
        // Drains the receive buffer, so that consecutive frames are fed as one.
        while let Ok(Some(chunk)) = response.buffered() {
            if !sse.push(&chunk) {
                return AttemptEnd::Broken;
            }
        }
        if let Some(end) = process_frames(shell, request, payload, &mut sse) {
            drain_tail(response).await;
            return end;
        }
    }
}

/// Feeds all complete frames to the reducer, merging consecutive ones. Returns the
/// end of the attempt if one of the frames finishes it.
fn process_frames(
    shell: &Rc<Shell>,
    request: RequestKey,
    payload: &GeneratePayload,
    sse: &mut SseReader,
) -> Option<AttemptEnd> {
    let own_id = shell.with_node(|node| node.request_id(request))?;
    let mut batch: Option<EngineFrame> = None;
    while let Some(line) = sse.next_data() {
        let Ok(mut frame) = serde_json::from_slice::<EngineFrame>(line) else {
            return Some(AttemptEnd::Broken);
        };
        let finish = frame.finish.take().filter(|_| frame.request == own_id);
        match &mut batch {
            Some(previous) if is_continuation(previous, &frame) => {
                previous.tokens.append(&mut frame.tokens)
            }
            _ => {
                if let Some(previous) = batch.replace(frame) {
                    shell.feed_frame(request, previous);
                }
            }
        }
        if let Some(finish) = finish {
            feed_batch(shell, request, batch);
            return Some(record_finish(shell, request, payload, finish));
        }
    }
    feed_batch(shell, request, batch);
    None
}

fn feed_batch(shell: &Rc<Shell>, request: RequestKey, batch: Option<EngineFrame>) {
    if let Some(frame) = batch.filter(|f| !f.tokens.is_empty()) {
        shell.feed_frame(request, frame);
    }
}

/// Returns whether the tokens of `frame` directly follow those of `previous`.
fn is_continuation(previous: &EngineFrame, frame: &EngineFrame) -> bool {
    previous.request == frame.request
        && previous.attempt == frame.attempt
        && u64::from(previous.offset) + previous.tokens.len() as u64 == u64::from(frame.offset)
}

/// Records the finish reason and token counts of a completed attempt.
fn record_finish(
    shell: &Rc<Shell>,
    request: RequestKey,
    payload: &GeneratePayload,
    finish: EngineFinish,
) -> AttemptEnd {
    if let Some(bytes) = payload.text_bytes {
        shell.with_node(|node| {
            node.record_prompt_tokens(&payload.model, bytes, finish.prompt_tokens)
        });
    }
    shell.set_finish_reason(request, finish.reason);
    AttemptEnd::Complete {
        prompt_tokens: finish.prompt_tokens,
        cached_tokens: finish.cached_tokens,
        completion_tokens: finish.completion_tokens as u32,
    }
}

/// Reads the rest of a finished stream, so that its connection can be reused.
async fn drain_tail(mut response: StreamedResponse) {
    const TAIL_TIMEOUT: Duration = Duration::from_millis(50);
    let rest = async { while let Ok(Some(_)) = response.next().await {} };
    if monoio::time::timeout(TAIL_TIMEOUT, rest).await.is_ok() {
        response.release();
    }
}

/// Requests the prefill of one segment of a long prompt and reports the result to
/// the reducer.
pub async fn prefill_segment(
    shell: Rc<Shell>,
    segment: SegmentPrefill,
    payload: Rc<GeneratePayload>,
) {
    let event = match request_segment(&shell, &segment, &payload).await {
        Ok(response) => {
            shell.add_ticket(segment.request, response.ticket);
            Event::SegmentReady {
                request: segment.request,
                attempt: segment.attempt,
            }
        }
        Err(end) => Event::AttemptEnded {
            request: segment.request,
            attempt: segment.attempt,
            end,
        },
    };
    shell.step(event);
}

async fn request_segment(
    shell: &Rc<Shell>,
    segment: &SegmentPrefill,
    payload: &GeneratePayload,
) -> Result<SegmentResponse, AttemptEnd> {
    let addr = shell
        .server_address(segment.server)
        .ok_or(AttemptEnd::NotSent)?;
    let id = shell.with_node(|node| node.request_id(segment.request));
    let body = SegmentRequest {
        request: id.ok_or(AttemptEnd::NotSent)?,
        attempt: segment.attempt,
        model: payload.model.clone(),
        from: segment.from,
        to: segment.to,
        imports: shell.tickets(segment.request),
    };
    let req = OutgoingRequest::new(Method::POST, "/v1/kv/prefill").with_json(&body);
    let timeout = Duration::from_millis(segment.timeout_ms);
    let sent = shell
        .client
        .send(addr, req, timeout, MAX_RESPONSE_BYTES)
        .await;
    let response = sent.map_err(|e| match e.is_unsent() {
        true => AttemptEnd::NotSent,
        false => AttemptEnd::Broken,
    })?;
    if let Ok(rejection) = response.json::<EngineRejection>() {
        return Err(AttemptEnd::Refused {
            code: rejection.code,
        });
    }
    response.json().map_err(|_| AttemptEnd::Broken)
}

/// Cancels an engine's work for a request, up to and including attempt `up_to`.
pub async fn cancel(shell: Rc<Shell>, server: ServerId, id: RequestId, up_to: Attempt) {
    let confirmed = match shell.server_address(server) {
        Some(addr) => {
            let body = CancelRequest { request: id, up_to };
            let req = OutgoingRequest::new(Method::POST, "/v1/cancel").with_json(&body);
            let response = shell
                .client
                .send(addr, req, CALL_TIMEOUT, MAX_RESPONSE_BYTES)
                .await;
            response.is_ok_and(|r| r.status.is_success() && r.json::<CancelResponse>().is_ok())
        }
        None => false,
    };
    shell.step(Event::CancelEnded {
        server,
        id,
        confirmed,
    });
}

/// Queries the memory an engine holds for requests and reports it to the reducer.
pub async fn query_allocations(shell: Rc<Shell>, server: ServerId) {
    let Some(addr) = shell.server_address(server) else {
        return;
    };
    let req = OutgoingRequest::new(Method::GET, "/v1/holdings");
    let Ok(response) = shell
        .client
        .send(addr, req, CALL_TIMEOUT, MAX_RESPONSE_BYTES)
        .await
    else {
        return;
    };
    if let Ok(allocations) = response.json::<Allocations>() {
        shell.step(Event::Allocations {
            server,
            allocations: allocations.allocations,
        });
    }
}
