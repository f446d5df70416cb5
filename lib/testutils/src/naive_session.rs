//! Naive model of merging the tokens of several attempts into one answer.
//!
//! Keeps every token that arrived and searches all of them for the next one after each arrival.

use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::ids::AttemptNumber;

/// Naive model of one request's answer.
#[derive(Debug, Default)]
pub struct NaiveSession {
    current: AttemptNumber,
    arrived: Vec<(AttemptNumber, TokenChunk)>,
    relayed: Vec<String>,
}

impl NaiveSession {
    /// Makes an attempt the current one.
    pub fn start_attempt(&mut self, attempt: AttemptNumber) {
        self.current = attempt;
    }

    /// Adds a token of any attempt.
    pub fn on_chunk(&mut self, attempt: AttemptNumber, chunk: &TokenChunk) {
        if attempt != self.current {
            return;
        }
        self.arrived.push((attempt, chunk.clone()));
        while let Some(text) = self.find_next() {
            self.relayed.push(text);
        }
    }

    /// Returns the text relayed so far.
    pub fn text(&self) -> String {
        self.relayed.concat()
    }

    /// Returns the next token; among several with its offset, the last to arrive.
    fn find_next(&self) -> Option<String> {
        let next = self.relayed.len() as u32;
        let mut fitting = self.arrived.iter().rev();
        let found = fitting.find(|(attempt, c)| *attempt == self.current && c.offset == next);
        found.map(|(_, chunk)| chunk.text.clone())
    }
}
