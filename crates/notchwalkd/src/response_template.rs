//! Response bodies of both dialects: stream chunks and complete JSON bodies.

use std::time::SystemTime;

use notchwalk_decide::Completion;
use notchwalk_wire::Usage;
use serde_json::{json, Value};

use crate::completion_request::Dialect;

/// Renders the response to one completion request.
pub struct ResponseTemplate {
    dialect: Dialect,
    id: String,
    model: String,
    created: u64,
    /// The chunk of a token up to the token's text.
    token_prefix: String,
}

impl ResponseTemplate {
    /// Creates the template. `id` is the request's id.
    pub fn new(dialect: Dialect, id: &str, model: &str) -> Self {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let created = since.map_or(0, |d| d.as_secs());
        let (prefix, object, field) = match dialect {
            Dialect::Completions => ("cmpl", "text_completion", "\"text\":"),
            Dialect::Chat => (
                "chatcmpl",
                "chat.completion.chunk",
                "\"delta\":{\"content\":",
            ),
        };
        let id = format!("{prefix}-{id}");
        let token_prefix = format!(
            "data: {{\"id\":{},\"object\":\"{object}\",\"created\":{created},\"model\":{},\
             \"choices\":[{{\"index\":0,{field}",
            json!(id),
            json!(model)
        );
        Self {
            dialect,
            id,
            model: model.to_owned(),
            created,
            token_prefix,
        }
    }

    /// Appends the chunk of a token to `buf`.
    pub fn write_token(&self, buf: &mut Vec<u8>, token: &str) {
        buf.extend_from_slice(self.token_prefix.as_bytes());
        let _ = serde_json::to_writer(&mut *buf, token);
        buf.extend_from_slice(match self.dialect {
            Dialect::Completions => b",\"logprobs\":null,\"finish_reason\":null}]}\n\n".as_slice(),
            Dialect::Chat => b"},\"logprobs\":null,\"finish_reason\":null}]}\n\n",
        });
    }

    fn chunk(&self, choices: Value, usage: Option<Usage>) -> Vec<u8> {
        let object = match self.dialect {
            Dialect::Completions => "text_completion",
            Dialect::Chat => "chat.completion.chunk",
        };
        let mut chunk = json!({
            "id": self.id, "object": object, "created": self.created,
            "model": self.model, "choices": choices,
        });
        if let Some(usage) = usage {
            chunk["usage"] = json!(usage);
        }
        format!("data: {chunk}\n\n").into_bytes()
    }

    /// Returns the first chunk of a stream; empty if the dialect has none.
    pub fn opening_chunk(&self) -> Vec<u8> {
        match self.dialect {
            Dialect::Completions => Vec::new(),
            Dialect::Chat => {
                let delta = json!({"role": "assistant", "content": ""});
                self.chunk(
                    json!([{"index": 0, "delta": delta, "logprobs": null, "finish_reason": null}]),
                    None,
                )
            }
        }
    }

    /// Returns the chunks that end a stream.
    pub fn closing_chunks(&self, reason: &str, usage: Option<Usage>) -> Vec<u8> {
        let choice = match self.dialect {
            Dialect::Completions => {
                json!({"index": 0, "text": "", "logprobs": null, "finish_reason": reason})
            }
            Dialect::Chat => {
                json!({"index": 0, "delta": {}, "logprobs": null, "finish_reason": reason})
            }
        };
        let mut buf = self.chunk(json!([choice]), None);
        if usage.is_some() {
            buf.extend_from_slice(&self.chunk(json!([]), usage));
        }
        buf.extend_from_slice(b"data: [DONE]\n\n");
        buf
    }

    /// Returns the body of a response that isn't streamed.
    pub fn full_body(&self, text: String, reason: &str, usage: Usage) -> Value {
        let (object, choice) = match self.dialect {
            Dialect::Completions => (
                "text_completion",
                json!({"index": 0, "text": text, "logprobs": null, "finish_reason": reason}),
            ),
            Dialect::Chat => (
                "chat.completion",
                json!({
                    "index": 0, "logprobs": null, "finish_reason": reason,
                    "message": {"role": "assistant", "content": text, "refusal": null},
                }),
            ),
        };
        json!({
            "id": self.id, "object": object, "created": self.created,
            "model": self.model, "choices": [choice], "usage": usage,
        })
    }
}

/// Returns the token usage of a completion.
pub fn usage_from(completion: &Completion) -> Usage {
    Usage {
        prompt_tokens: completion.prompt_tokens,
        completion_tokens: completion.completion_tokens,
        total_tokens: completion.prompt_tokens + completion.completion_tokens,
    }
}
