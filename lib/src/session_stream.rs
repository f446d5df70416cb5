//! Fits the tokens of several attempts into one answer, each offset exactly once.

use std::collections::BTreeMap;

use crate::engine::TokenChunk;

/// Tokens ahead of the next offset that are kept until the gap is filled.
pub const MAX_AHEAD_TOKENS: usize = 64;

/// What became of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkFit {
    /// These tokens are next, in order.
    Next(Vec<TokenChunk>),
    /// The token was relayed before.
    Duplicate,
    /// The token waits for earlier ones.
    Ahead,
    /// Too many tokens wait: the attempt lost some.
    Broken,
}

/// The answer of a model as far as it was relayed.
#[derive(Clone, Debug, Default)]
pub struct AnswerStream {
    next_offset: u32,
    text: String,
    ahead: BTreeMap<u32, String>,
}

impl AnswerStream {
    /// Starts from tokens that were relayed before, by this host or another.
    pub fn resume(next_offset: u32, text: String) -> Self {
        Self { next_offset, text, ahead: BTreeMap::new() }
    }

    /// Returns the offset of the next token to relay.
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }

    /// Returns the joined text of all relayed tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Forgets tokens that wait; those of a new attempt may differ.
    pub fn start_attempt(&mut self) {
        self.ahead.clear();
    }

    /// Takes one token of the current attempt.
    pub fn fit(&mut self, chunk: TokenChunk) -> ChunkFit {
        if chunk.offset < self.next_offset {
            return ChunkFit::Duplicate;
        }
        if chunk.offset > self.next_offset {
            return self.keep_ahead(chunk);
        }
        let mut ready = vec![self.take(chunk)];
        while let Some(text) = self.ahead.remove(&self.next_offset) {
            let chunk = TokenChunk { offset: self.next_offset, text };
            ready.push(self.take(chunk));
        }
        ChunkFit::Next(ready)
    }

    fn take(&mut self, chunk: TokenChunk) -> TokenChunk {
        self.text.push_str(&chunk.text);
        self.next_offset += 1;
        chunk
    }

    fn keep_ahead(&mut self, chunk: TokenChunk) -> ChunkFit {
        if self.ahead.len() >= MAX_AHEAD_TOKENS {
            return ChunkFit::Broken;
        }
        self.ahead.insert(chunk.offset, chunk.text);
        ChunkFit::Ahead
    }
}
