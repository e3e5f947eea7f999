//! What is read of a chat-completions body.

use anvillift_routing::prefix;
use anvillift_schema::name::Name;
use serde::Deserialize;

/// Answer tokens assumed when the body names no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 512;

/// Facts of a question to a model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChatFacts {
    /// Model asked for.
    pub model: Option<Name>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Longest answer, in tokens.
    pub answer_tokens: u64,
    /// Hashes of the prompt's prefix blocks, shortest prefix first.
    pub prefix_blocks: Vec<u64>,
}

#[derive(Deserialize)]
struct ChatBody {
    model: Option<Name>,
    #[serde(default)]
    stream: Option<bool>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: serde_json::Value,
}

/// Reads a chat-completions body.
pub fn parse(body: &[u8]) -> Result<ChatFacts, serde_json::Error> {
    let body: ChatBody = serde_json::from_slice(body)?;
    let mut prompt = String::new();
    for message in &body.messages {
        add_text(&mut prompt, &message.content);
    }
    let limit = body.max_completion_tokens.or(body.max_tokens);
    Ok(ChatFacts {
        model: body.model,
        stream: body.stream.unwrap_or(false),
        answer_tokens: limit.unwrap_or(DEFAULT_ANSWER_TOKENS),
        prefix_blocks: prefix::blocks(&prompt),
    })
}

/// Adds the text of a content that is a string or a list of parts.
fn add_text(prompt: &mut String, content: &serde_json::Value) {
    match content {
        serde_json::Value::String(text) => prompt.push_str(text),
        serde_json::Value::Array(parts) => {
            let texts = parts.iter().filter_map(|part| part.get("text")?.as_str());
            texts.for_each(|text| prompt.push_str(text));
        }
        _ => {}
    }
}
