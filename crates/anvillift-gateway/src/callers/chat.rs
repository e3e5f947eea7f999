//! Parsing of chat-completions bodies, for the fields that routing and admission need.

use anvillift_routing::prefix;
use anvillift_schema::name::Name;
use serde::Deserialize;

/// Number of answer tokens assumed when the body sets no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 512;

/// Fields of a chat-completions request that routing and admission use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChatFacts {
    /// Requested model; `None` if the body names none.
    pub model: Option<Name>,
    /// Whether the caller asked for the answer as a stream of server-sent events.
    pub stream: bool,
    /// Maximum length of the answer in tokens, or an assumed length if the body sets no limit.
    pub answer_tokens: u64,
    /// Hashes of the prompt's prefix blocks, shortest prefix first. Routing uses them to find
    /// upstreams that have a prefix in their cache.
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

/// Parses a chat-completions body. A body that is not JSON or has fields of other types is an
/// error.
pub fn parse(body: &[u8]) -> Result<ChatFacts, serde_json::Error> {
    let body: ChatBody = serde_json::from_slice(body)?;
    let mut prompt = String::new();
    for message in &body.messages {
        append_text(&mut prompt, &message.content);
    }
    let limit = body.max_completion_tokens.or(body.max_tokens);
    Ok(ChatFacts {
        model: body.model,
        stream: body.stream.unwrap_or(false),
        answer_tokens: limit.unwrap_or(DEFAULT_ANSWER_TOKENS),
        prefix_blocks: prefix::blocks(&prompt),
    })
}

/// Appends the text of a message content, which is a string or a list of parts.
fn append_text(prompt: &mut String, content: &serde_json::Value) {
    match content {
        serde_json::Value::String(text) => prompt.push_str(text),
        serde_json::Value::Array(parts) => {
            let texts = parts.iter().filter_map(|part| part.get("text")?.as_str());
            texts.for_each(|text| prompt.push_str(text));
        }
        _ => {}
    }
}
