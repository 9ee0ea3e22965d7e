//! Deterministic completions of the stand-in engines. A completion is a function of its
//! prompt, so a caller can verify that it is complete and belongs to its request.

use notchwalk_core::leading_u64;
use notchwalk_wire::Prompt;

/// The seed that determines a prompt's completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletionSeed(u64);

impl CompletionSeed {
    /// Returns the seed of a text prompt.
    pub fn of_text(text: &str) -> Self {
        Self::of_bytes(text.as_bytes())
    }

    /// Returns the seed of any prompt.
    pub fn of_prompt(prompt: &Prompt) -> Self {
        match prompt {
            Prompt::Text(text) => Self::of_text(text),
            Prompt::Tokens(tokens) => {
                let bytes: Vec<u8> = tokens.iter().flat_map(|t| t.to_le_bytes()).collect();
                Self::of_bytes(&bytes)
            }
        }
    }

    fn of_bytes(bytes: &[u8]) -> Self {
        Self(leading_u64(blake3::hash(bytes).as_bytes()))
    }

    /// Returns the completion token at index `i`.
    pub fn token(self, i: u32) -> String {
        let mut x = self.0 ^ u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        format!(" {:06x}", (x >> 40) as u32)
    }

    /// Returns the first `n` tokens of the completion as one text.
    pub fn text(self, n: u32) -> String {
        (0..n).map(|i| self.token(i)).collect()
    }
}
