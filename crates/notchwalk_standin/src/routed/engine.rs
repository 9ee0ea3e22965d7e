//! A model engine in simulated time, as the users' pages describe theirs.
//!
//! It works in passes. A pass plays one token step, or
//! [`EngineParameters::decode_steps_per_engine_step`] while any request generates, and reads
//! prompts within these steps: parts for other engines before prompts of its
//! own, the newest part first (seen), prompts of its own in the order of their
//! arrival. A pass ends with one event for each request that generates.

use std::collections::{BTreeMap, VecDeque};

use notchwalk_route::{EngineCost, EngineParameters};

/// A request's number.
pub type Number = usize;

/// A prompt, or a part of one, to be read.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// The request.
    pub request: Number,
    /// Tokens to read here.
    pub tokens: f64,
    /// Tokens of the whole prompt.
    pub whole: f64,
    /// Whether another engine generates.
    pub helps: bool,
}

/// What a pass brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// A part was read to its end.
    Read(Number),
    /// A generating request wrote an event.
    Wrote(Number),
}

/// A pass that is being played.
#[derive(Debug)]
struct Pass {
    read: Vec<Number>,
    writers: Vec<Number>,
}

/// One engine.
#[derive(Debug)]
pub struct SimulatedEngine {
    parameters: EngineParameters,
    reads: VecDeque<Part>,
    /// Prompts whose memory is not free yet, in the order of arrival.
    waiting: VecDeque<(Part, f64)>,
    /// Context of each generating request, in tokens.
    writers: BTreeMap<Number, f64>,
    /// Memory of each request here, in tokens.
    held: BTreeMap<Number, f64>,
    pass: Option<Pass>,
}

impl SimulatedEngine {
    /// Builds an idle engine.
    pub fn new(parameters: EngineParameters) -> Self {
        Self {
            parameters,
            reads: VecDeque::new(),
            waiting: VecDeque::new(),
            writers: BTreeMap::new(),
            held: BTreeMap::new(),
            pass: None,
        }
    }

    /// Takes a part for a request that generates elsewhere.
    pub fn help(&mut self, part: Part) {
        self.reads.push_front(part);
    }

    /// Takes a prompt, or the own part of one, that will hold `memory` tokens
    /// here and generate here.
    pub fn take(&mut self, part: Part, memory: f64) {
        self.waiting.push_back((part, memory));
        self.admit();
    }

    fn admit(&mut self) {
        while let Some(&(part, memory)) = self.waiting.front() {
            let used: f64 = self.held.values().sum();
            let reading = self.reads.iter().filter(|part| !part.helps).count();
            let full = self.writers.len() + reading >= self.parameters.slots as usize;
            if full || used + memory > self.parameters.memory_tokens as f64 {
                return;
            }
            self.waiting.pop_front();
            self.held.insert(part.request, memory);
            self.reads.push_back(part);
        }
    }

    /// Sets memory aside for a prompt that exceeds one engine; tells whether it
    /// is free.
    pub fn reserve(&mut self, request: Number, tokens: f64) -> bool {
        let used: f64 = self.held.values().sum();
        let free = used + tokens <= self.parameters.memory_tokens as f64;
        if free {
            self.held.insert(request, tokens);
        }
        free
    }

    /// Has a request whose whole prompt is read generate; its passes pay for
    /// `context` tokens here.
    pub fn generate(&mut self, request: Number, context: f64) {
        self.writers.insert(request, context);
    }

    /// Drops a request that ended, or whose caller left.
    pub fn drop_request(&mut self, request: Number) {
        self.reads.retain(|part| part.request != request);
        self.waiting.retain(|(part, _)| part.request != request);
        self.writers.remove(&request);
        self.held.remove(&request);
        self.admit();
    }

    /// Begins the next pass, if there is anything to do and none is played;
    /// returns how long it takes, in milliseconds.
    pub fn begin_pass(&mut self) -> Option<f64> {
        if self.pass.is_some() || (self.writers.is_empty() && self.reads.is_empty()) {
            return None;
        }
        let p = &self.parameters;
        let steps = match self.writers.is_empty() {
            true => 1.0,
            false => p.decode_steps_per_engine_step,
        };
        let context: f64 = self.writers.values().sum();
        let cost = EngineCost::new(p);
        let steps_ms = cost.engine_step_ms(self.writers.len(), context) * steps
            / p.decode_steps_per_engine_step;
        let budget = f64::from(p.chunk_tokens) * steps;
        let (read, read_ms) = self.read_within(budget);
        self.pass = Some(Pass {
            read,
            writers: self.writers.keys().copied().collect(),
        });
        Some(steps_ms + read_ms)
    }

    /// Reads up to `budget` tokens; returns what was read to its end, and the
    /// time it takes.
    fn read_within(&mut self, mut budget: f64) -> (Vec<Number>, f64) {
        let cost = EngineCost::new(&self.parameters);
        let (mut read, mut ms) = (Vec::new(), 0.0);
        while let Some(part) = self.reads.front_mut() {
            let tokens = part.tokens.min(budget);
            if tokens <= 0.0 {
                break;
            }
            ms += cost.prefill_ms(tokens, part.whole);
            budget -= tokens;
            part.tokens -= tokens;
            if part.tokens <= 0.0 {
                read.push(part.request);
                self.reads.pop_front();
            }
        }
        (read, ms)
    }

    /// Ends the pass; returns what it brought, for requests that are still
    /// here.
    pub fn end_pass(&mut self) -> Vec<Progress> {
        let Some(pass) = self.pass.take() else {
            return Vec::new();
        };
        let read = pass.read.into_iter().map(Progress::Read);
        let writers = pass.writers.into_iter();
        let wrote = writers.filter(|request| self.writers.contains_key(request));
        read.chain(wrote.map(Progress::Wrote)).collect()
    }
}
