//! A model of an engine in simulated time.
//!
//! An engine works in steps. An engine step covers
//! [`EngineParameters::decode_steps_per_engine_step`] decode steps while any request decodes,
//! otherwise one. It also prefills: segments for other engines first, newest first, then the
//! engine's own prompts in order of arrival. An engine step yields one event for each request
//! that decodes.

use std::collections::{BTreeMap, VecDeque};

use notchwalk_route::{EngineCost, EngineParameters};

/// Index of a request.
pub type RequestIndex = usize;

/// A prompt, or a segment of one, to prefill.
#[derive(Clone, Copy, Debug)]
pub struct Segment {
    /// The request.
    pub request: RequestIndex,
    /// Remaining tokens to prefill on this engine.
    pub remaining_tokens: f64,
    /// Tokens of the complete prompt.
    pub prompt_tokens: f64,
    /// Whether another engine decodes.
    pub is_remote: bool,
}

/// Progress of a request in an engine step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The prefill of a segment is complete.
    Prefilled(RequestIndex),
    /// A decoding request produced an event.
    Decoded(RequestIndex),
}

/// An engine step in progress.
#[derive(Debug)]
struct EngineStep {
    /// Requests whose segment is complete at the end of the step.
    prefilled: Vec<RequestIndex>,
    decoding: Vec<RequestIndex>,
}

/// One engine.
#[derive(Debug)]
pub struct SimulatedEngine {
    parameters: EngineParameters,
    /// Segments in the order in which they are prefilled.
    prefill_queue: VecDeque<Segment>,
    /// Prompts that wait for a slot or memory, with the tokens of memory that they need, in
    /// order of arrival.
    waiting: VecDeque<(Segment, f64)>,
    /// Context of each decoding request, in tokens.
    decoding: BTreeMap<RequestIndex, f64>,
    /// Memory allocated to each request, in tokens.
    memory: BTreeMap<RequestIndex, f64>,
    step: Option<EngineStep>,
}

impl SimulatedEngine {
    /// Creates an idle engine.
    pub fn new(parameters: EngineParameters) -> Self {
        Self {
            parameters,
            prefill_queue: VecDeque::new(),
            waiting: VecDeque::new(),
            decoding: BTreeMap::new(),
            memory: BTreeMap::new(),
            step: None,
        }
    }

    /// Enqueues a segment of a request that decodes on another engine.
    pub fn enqueue_remote_segment(&mut self, segment: Segment) {
        self.prefill_queue.push_front(segment);
    }

    /// Enqueues a prompt, or this engine's segment of one, that decodes on this engine and
    /// needs `memory` tokens.
    pub fn enqueue_prompt(&mut self, segment: Segment, memory: f64) {
        self.waiting.push_back((segment, memory));
        self.admit();
    }

    fn admit(&mut self) {
        while let Some(&(segment, memory)) = self.waiting.front() {
            let used: f64 = self.memory.values().sum();
            let prefilling = self
                .prefill_queue
                .iter()
                .filter(|segment| !segment.is_remote)
                .count();
            let full = self.decoding.len() + prefilling >= self.parameters.slots as usize;
            if full || used + memory > self.parameters.memory_tokens as f64 {
                return;
            }
            self.waiting.pop_front();
            self.memory.insert(segment.request, memory);
            self.prefill_queue.push_back(segment);
        }
    }

    /// Reserves memory for a segment of an oversized prompt. Returns whether it was free.
    pub fn reserve(&mut self, request: RequestIndex, tokens: f64) -> bool {
        let used: f64 = self.memory.values().sum();
        let fits = used + tokens <= self.parameters.memory_tokens as f64;
        if fits {
            self.memory.insert(request, tokens);
        }
        fits
    }

    /// Starts to decode a request whose prefill is complete, with a context of `context`
    /// tokens on this engine.
    pub fn begin_decode(&mut self, request: RequestIndex, context: f64) {
        self.decoding.insert(request, context);
    }

    /// Removes a request that ended or was abandoned by its caller.
    pub fn drop_request(&mut self, request: RequestIndex) {
        self.prefill_queue
            .retain(|segment| segment.request != request);
        self.waiting
            .retain(|(segment, _)| segment.request != request);
        self.decoding.remove(&request);
        self.memory.remove(&request);
        self.admit();
    }

    /// Begins the next engine step if there is work and none is in progress. Returns its
    /// duration in milliseconds.
    pub fn begin_step(&mut self) -> Option<f64> {
        if self.step.is_some() || (self.decoding.is_empty() && self.prefill_queue.is_empty()) {
            return None;
        }
        let p = &self.parameters;
        let steps = match self.decoding.is_empty() {
            true => 1.0,
            false => p.decode_steps_per_engine_step,
        };
        let context: f64 = self.decoding.values().sum();
        let cost = EngineCost::new(p);
        let decode_ms = cost.engine_step_ms(self.decoding.len(), context) * steps
            / p.decode_steps_per_engine_step;
        let budget = f64::from(p.chunk_tokens) * steps;
        let (prefilled, prefill_ms) = self.prefill_within(budget);
        self.step = Some(EngineStep {
            prefilled,
            decoding: self.decoding.keys().copied().collect(),
        });
        Some(decode_ms + prefill_ms)
    }

    /// Prefills up to `budget` tokens. Returns the requests whose segment is complete, and
    /// the time taken in milliseconds.
    fn prefill_within(&mut self, mut budget: f64) -> (Vec<RequestIndex>, f64) {
        let cost = EngineCost::new(&self.parameters);
        let (mut prefilled, mut ms) = (Vec::new(), 0.0);
        while let Some(segment) = self.prefill_queue.front_mut() {
            let tokens = segment.remaining_tokens.min(budget);
            if tokens <= 0.0 {
                break;
            }
            ms += cost.prefill_ms(tokens, segment.prompt_tokens);
            budget -= tokens;
            segment.remaining_tokens -= tokens;
            if segment.remaining_tokens <= 0.0 {
                prefilled.push(segment.request);
                self.prefill_queue.pop_front();
            }
        }
        (prefilled, ms)
    }

    /// Ends the engine step in progress. Returns its progress; events of requests that were
    /// removed meanwhile are omitted.
    pub fn end_step(&mut self) -> Vec<Progress> {
        let Some(step) = self.step.take() else {
            return Vec::new();
        };
        let prefilled = step.prefilled.into_iter().map(Progress::Prefilled);
        let decoding = step.decoding.into_iter();
        let decoded = decoding.filter(|request| self.decoding.contains_key(request));
        prefilled.chain(decoded.map(Progress::Decoded)).collect()
    }
}
