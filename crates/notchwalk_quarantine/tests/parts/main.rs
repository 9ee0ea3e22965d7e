//! The rules by which a part of prompts is quarantined, and what clears one.

mod explanations;
mod many;
mod node;
mod rules;
mod trials;
