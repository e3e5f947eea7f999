//! The requests that a host has at each worker.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

use crate::prompt::Prompt;

/// Work that waits at a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InFlight {
    /// Requests sent and not ended.
    pub requests: u64,
    /// Prompt tokens of requests whose answer has not begun.
    pub unread_tokens: u64,
}

impl InFlight {
    /// Adds a request that is sent.
    pub fn begin(table: &mut BTreeMap<Name, Self>, worker: &Name, prompt: &Prompt) {
        let work = table.entry(worker.clone()).or_default();
        work.requests += 1;
        work.unread_tokens += prompt.input_tokens;
    }

    /// The prompt of a request has been read.
    pub fn answered(table: &mut BTreeMap<Name, Self>, worker: &Name, prompt: &Prompt) {
        if let Some(work) = table.get_mut(worker) {
            work.unread_tokens = work.unread_tokens.saturating_sub(prompt.input_tokens);
        }
    }

    /// Takes a request away that has ended.
    pub fn end(table: &mut BTreeMap<Name, Self>, worker: &Name) {
        if let Some(work) = table.get_mut(worker) {
            work.requests = work.requests.saturating_sub(1);
        }
    }
}
