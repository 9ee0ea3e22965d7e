//! Tests of the reducer's decisions, event by event.

mod attempts;
mod claims;
mod common;
mod orders;
mod policy;
mod suspects;
mod vm_list;
