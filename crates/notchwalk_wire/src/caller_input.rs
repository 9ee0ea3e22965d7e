//! The parts of callers' requests whose JSON may be large. They are decoded without an
//! intermediate form, which would occupy many times the size of the text.

use std::fmt;

use serde::{
    de::{Error, IgnoredAny, MapAccess, SeqAccess, Visitor},
    Deserialize, Deserializer, Serialize,
};

/// Maximum length of a prompt in token ids, several times that of the longest that is served.
const MAX_PROMPT_TOKENS: usize = 4 << 20;
/// Maximum number of stop sequences.
const MAX_STOP_SEQUENCES: usize = 1_024;

/// The prompt of a completion request: a text, a list of token ids, or a batch that contains
/// exactly one of these.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum PromptInput {
    /// Text.
    Text(String),
    /// Token ids.
    Tokens(Vec<u32>),
    /// A batch of texts; only batches with one text are supported. Only the first two are kept.
    Texts(Vec<String>),
    /// A batch of token lists; only batches with one list are supported. Only the first two are
    /// kept.
    TokenLists(Vec<Vec<u32>>),
}

impl PromptInput {
    /// Adds an element of a list.
    fn push<E: Error>(&mut self, element: PromptElement) -> Result<(), E> {
        /// Enough to tell a batch from a single prompt.
        const KEPT: usize = 2;
        match (&mut *self, element) {
            (Self::Tokens(tokens), PromptElement::Token(token)) => push_token(tokens, token)?,
            (Self::Tokens(tokens), PromptElement::Text(text)) if tokens.is_empty() => {
                *self = Self::Texts(vec![text]);
            }
            (Self::Tokens(tokens), PromptElement::Tokens(list)) if tokens.is_empty() => {
                *self = Self::TokenLists(vec![list.0]);
            }
            (Self::Texts(texts), PromptElement::Text(text)) if texts.len() < KEPT => {
                texts.push(text);
            }
            (Self::TokenLists(lists), PromptElement::Tokens(list)) if lists.len() < KEPT => {
                lists.push(list.0);
            }
            (Self::Texts(_), PromptElement::Text(_))
            | (Self::TokenLists(_), PromptElement::Tokens(_)) => {}
            _ => return Err(E::custom("a prompt mixes texts, token ids and lists")),
        }
        Ok(())
    }
}

fn push_token<E: Error>(tokens: &mut Vec<u32>, token: u32) -> Result<(), E> {
    if tokens.len() == MAX_PROMPT_TOKENS {
        let reason = format_args!("a prompt has at most {MAX_PROMPT_TOKENS} tokens");
        return Err(E::custom(reason));
    }
    tokens.push(token);
    Ok(())
}

/// A list of token ids of bounded length.
struct TokenList(Vec<u32>);

impl<'de> Deserialize<'de> for TokenList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(TokenListVisitor)
    }
}

struct TokenListVisitor;

impl<'de> Visitor<'de> for TokenListVisitor {
    type Value = TokenList;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of token ids")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<TokenList, A::Error> {
        let mut tokens = Vec::new();
        while let Some(token) = seq.next_element()? {
            push_token(&mut tokens, token)?;
        }
        Ok(TokenList(tokens))
    }
}

/// An element of a prompt that is a list.
enum PromptElement {
    Token(u32),
    Text(String),
    Tokens(TokenList),
}

impl<'de> Deserialize<'de> for PromptElement {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(PromptElementVisitor)
    }
}

struct PromptElementVisitor;

impl<'de> Visitor<'de> for PromptElementVisitor {
    type Value = PromptElement;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a token id, a text or a list of token ids")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<PromptElement, E> {
        let token = u32::try_from(number).map_err(|_| E::custom("a token id has 32 bits"))?;
        Ok(PromptElement::Token(token))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<PromptElement, E> {
        Ok(PromptElement::Text(text.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<PromptElement, A::Error> {
        TokenListVisitor.visit_seq(seq).map(PromptElement::Tokens)
    }
}

impl<'de> Deserialize<'de> for PromptInput {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(PromptVisitor)
    }
}

struct PromptVisitor;

impl<'de> Visitor<'de> for PromptVisitor {
    type Value = PromptInput;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text, a list of token ids or a batch with one of these")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<PromptInput, E> {
        Ok(PromptInput::Text(text.to_owned()))
    }

    fn visit_string<E: Error>(self, text: String) -> Result<PromptInput, E> {
        Ok(PromptInput::Text(text))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<PromptInput, A::Error> {
        let mut input = PromptInput::Tokens(Vec::new());
        while let Some(element) = seq.next_element()? {
            input.push(element)?;
        }
        Ok(input)
    }
}

/// Stop sequences.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum StopInput {
    /// One sequence.
    One(String),
    /// Several sequences.
    Many(Vec<String>),
}

impl<'de> Deserialize<'de> for StopInput {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(StopVisitor)
    }
}

struct StopVisitor;

impl<'de> Visitor<'de> for StopVisitor {
    type Value = StopInput;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a stop sequence or a list of them")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<StopInput, E> {
        Ok(StopInput::One(text.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<StopInput, A::Error> {
        let mut sequences = Vec::new();
        while let Some(sequence) = seq.next_element()? {
            if sequences.len() == MAX_STOP_SEQUENCES {
                let reason = format_args!("at most {MAX_STOP_SEQUENCES} stop sequences are served");
                return Err(A::Error::custom(reason));
            }
            sequences.push(sequence);
        }
        Ok(StopInput::Many(sequences))
    }
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant`, `developer` or `tool`.
    pub role: String,
    /// Text, or a list of text parts.
    pub content: ChatContent,
}

impl ChatMessage {
    /// Returns the text of the message, or `None` if its content is not only text.
    pub fn text(&self) -> Option<&str> {
        self.content.0.as_deref()
    }
}

/// The text of a chat message; `None` if its content is not only text.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatContent(Option<String>);

/// One part of a message.
#[derive(Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: Option<String>,
}

impl<'de> Deserialize<'de> for ChatContent {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ContentVisitor)
    }
}

struct ContentVisitor;

impl<'de> Visitor<'de> for ContentVisitor {
    type Value = ChatContent;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text or a list of text parts")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<ChatContent, E> {
        Ok(ChatContent(Some(text.to_owned())))
    }

    fn visit_string<E: Error>(self, text: String) -> Result<ChatContent, E> {
        Ok(ChatContent(Some(text)))
    }

    fn visit_unit<E: Error>(self) -> Result<ChatContent, E> {
        Ok(ChatContent(Some(String::new())))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ChatContent, A::Error> {
        let mut text = Some(String::new());
        while let Some(part) = seq.next_element::<ContentPart>()? {
            text = text.zip(part.text).map(|(text, part)| text + &part);
        }
        Ok(ChatContent(text))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ChatContent, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(ChatContent(None))
    }
}
