//! Naive version of how tokens of several attempts make up one answer.
//!
//! Keeps everything that ever arrived and looks for the next token anew after each arrival.

use pomelostack_lib::engine::TokenChunk;
use pomelostack_lib::ids::AttemptNumber;

/// The answer of one request, by the plainest rule.
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

    /// Takes a token of any attempt.
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

    /// The last arrival wins among tokens that wait at one offset.
    fn find_next(&self) -> Option<String> {
        let next = self.relayed.len() as u32;
        let mut fitting = self.arrived.iter().rev();
        let found = fitting.find(|(attempt, c)| *attempt == self.current && c.offset == next);
        found.map(|(_, chunk)| chunk.text.clone())
    }
}
