//! Decisions, provoked one by one.

mod attempts;
mod claims;
mod common;
mod orders;
mod policy;
mod suspects;
