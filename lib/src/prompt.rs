//! Splits prompts into tokens and chained block hashes.
//!
//! The platform's engines identify cached prefixes by the hash of each block of
//! [`TOKENS_PER_BLOCK`] tokens, chained over all blocks before it. Two prompts share a cached
//! prefix exactly as far as their block hashes agree. A token is one whitespace-delimited word
//! with the white space that follows it.

use serde::Deserialize;
use serde::Serialize;

/// Tokens in one block of the engines' prefix cache.
pub const TOKENS_PER_BLOCK: usize = 16;

/// Hash of one block of tokens, chained over all blocks before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BlockHash(pub u64);

/// Splits text into tokens; joining them gives the text back.
pub fn split_tokens(text: &str) -> Vec<&str> {
    let mut tokens = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (token, tail) = rest.split_at(token_length(rest));
        tokens.push(token);
        rest = tail;
    }
    tokens
}

/// Returns the length of the first token of `text` in bytes: leading space, word, trailing space.
fn token_length(text: &str) -> usize {
    let word_start = text.find(|c: char| !c.is_whitespace()).unwrap_or(text.len());
    let word = &text[word_start..];
    let Some(word_end) = word.find(char::is_whitespace) else { return text.len() };
    let space = &word[word_end..];
    let space_end = space.find(|c: char| !c.is_whitespace()).unwrap_or(space.len());
    word_start + word_end + space_end
}

/// Returns the number of tokens in `text`.
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(split_tokens(text).len()).unwrap_or(u32::MAX)
}

/// Returns the chained hash of each full block of `text`; a trailing partial block has none.
pub fn hash_blocks(text: &str) -> Vec<BlockHash> {
    hash_token_blocks(&split_tokens(text))
}

/// Returns the chained hash of each full block of `tokens`.
pub fn hash_token_blocks(tokens: &[&str]) -> Vec<BlockHash> {
    let mut previous = BlockHash::default();
    tokens
        .chunks_exact(TOKENS_PER_BLOCK)
        .map(|block| {
            previous = chain_hash(previous, block);
            previous
        })
        .collect()
}

fn chain_hash(previous: BlockHash, block: &[&str]) -> BlockHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&previous.0.to_le_bytes());
    for token in block {
        hasher.update(token.as_bytes());
    }
    let digest = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    BlockHash(u64::from_le_bytes(first))
}
