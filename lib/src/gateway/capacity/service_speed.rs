//! Speed of the servers of a service, as far as it is learned.

use std::time::Duration;

/// Initial guess of the prompt tokens that a server prefills per millisecond, until it is learned.
pub const INITIAL_PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Initial guess of the prompt tokens that a server prefills per second when it does nothing else; used
/// for the size of a fleet until the speed of a service is learned.
pub const INITIAL_PREFILL_TOKENS_PER_S: f64 = 55_000.0;

/// Initial guess of the requested output tokens that one server serves per second with a half-full
/// batch; responses are shorter than the requested maximum.
pub const INITIAL_OUTPUT_TOKENS_PER_S: f64 = 16_000.0;

/// Initial guess of the time to the first event of a prompt of no length.
pub const INITIAL_FIRST_EVENT: Duration = Duration::from_millis(20);

/// Whether a value was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpeedBasis {
    /// It is an initial guess.
    #[default]
    Guessed,
    /// It was measured on the servers of the service.
    Learned,
}

/// Expected speed of one server of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceSpeed {
    /// Prompt tokens that it prefills per second.
    pub prefill_tokens_per_s: f64,
    /// Requested output tokens that it serves per second with a half-full batch.
    pub output_tokens_per_s: f64,
    /// Whether the prefill speed was measured.
    pub basis: SpeedBasis,
}

impl ServiceSpeed {
    /// The speed of a service of which nothing is known.
    pub const INITIAL: Self = Self {
        prefill_tokens_per_s: INITIAL_PREFILL_TOKENS_PER_S,
        output_tokens_per_s: INITIAL_OUTPUT_TOKENS_PER_S,
        basis: SpeedBasis::Guessed,
    };

    /// Returns the speed at which the fewest servers are needed: the decoding speed is the initial guess
    /// where less was learned. Decoding takes time that prefill leaves, so that the learned one is
    /// lower than what a lightly loaded fleet can do.
    pub fn optimistic(self) -> Self {
        let output_tokens_per_s = self.output_tokens_per_s.max(INITIAL_OUTPUT_TOKENS_PER_S);
        Self { output_tokens_per_s, ..self }
    }
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        Self::INITIAL
    }
}
