//! Merges the tokens of several attempts into one answer that has each offset exactly once.

use std::collections::BTreeMap;

use crate::engine::TokenChunk;

/// Maximum number of out-of-order tokens that are buffered until the gap before them is filled.
pub const MAX_BUFFERED_TOKENS: usize = 64;

/// What the stream did with a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// These tokens can be relayed now, in order.
    Ready(Vec<TokenChunk>),
    /// The token was relayed before.
    Duplicate,
    /// The token is buffered until earlier ones arrive.
    Buffered,
    /// The buffer is full: the attempt lost earlier tokens.
    Overflow,
}

/// The relayed part of a model's answer, and buffered tokens after it.
#[derive(Clone, Debug, Default)]
pub struct AnswerStream {
    next_offset: u32,
    text: String,
    buffered: BTreeMap<u32, String>,
}

impl AnswerStream {
    /// Continues after tokens that this host or another relayed before.
    pub fn resume(next_offset: u32, text: String) -> Self {
        Self { next_offset, text, buffered: BTreeMap::new() }
    }

    /// Returns the offset of the next token to relay.
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }

    /// Returns the joined text of all relayed tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Drops buffered tokens, because a new attempt may produce different ones.
    pub fn start_attempt(&mut self) {
        self.buffered.clear();
    }

    /// Accepts one token of the current attempt.
    pub fn accept(&mut self, chunk: TokenChunk) -> ChunkOutcome {
        if chunk.offset < self.next_offset {
            return ChunkOutcome::Duplicate;
        }
        if chunk.offset > self.next_offset {
            return self.buffer(chunk);
        }
        let mut ready = vec![self.append(chunk)];
        while let Some(text) = self.buffered.remove(&self.next_offset) {
            let chunk = TokenChunk { offset: self.next_offset, text };
            ready.push(self.append(chunk));
        }
        ChunkOutcome::Ready(ready)
    }

    fn append(&mut self, chunk: TokenChunk) -> TokenChunk {
        self.text.push_str(&chunk.text);
        self.next_offset += 1;
        chunk
    }

    fn buffer(&mut self, chunk: TokenChunk) -> ChunkOutcome {
        if self.buffered.len() >= MAX_BUFFERED_TOKENS {
            return ChunkOutcome::Overflow;
        }
        self.buffered.insert(chunk.offset, chunk.text);
        ChunkOutcome::Buffered
    }
}
