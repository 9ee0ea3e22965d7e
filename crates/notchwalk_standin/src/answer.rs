//! The stand-in engines' answers: a known function of the prompt, so that a
//! caller can check that an answer is whole and its own.

use notchwalk_core::leading_u64;
use notchwalk_wire::Prompt;

/// The seed of a prompt's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSeed(u64);

impl AnswerSeed {
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

    /// Returns token number `i` of the answer.
    pub fn token(self, i: u32) -> String {
        let mut x = self.0 ^ u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        format!(" {:06x}", (x >> 40) as u32)
    }

    /// Returns the whole answer of `n` tokens.
    pub fn text(self, n: u32) -> String {
        (0..n).map(|i| self.token(i)).collect()
    }
}
