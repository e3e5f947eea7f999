//! Robustness of the chat-completions parser against arbitrary bodies.

use anvillift_gateway::callers::chat;
use proptest::prelude::*;

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2048)) {
        let _ = chat::parse(&bytes);
    }

    #[test]
    fn a_changed_byte_does_not_panic(
        position in 0_usize..100,
        byte in any::<u8>(),
    ) {
        let mut body = br#"{"model":"m","stream":true,"max_tokens":7,
            "messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}"#.to_vec();
        let length = body.len();
        body[position % length] = byte;
        let _ = chat::parse(&body);
    }

    #[test]
    fn fields_of_a_body_are_parsed(stream in any::<bool>(), tokens in any::<u64>()) {
        let body = serde_json::json!({
            "model": "m", "stream": stream, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": "x".repeat(3000) }],
        });
        let facts = chat::parse(body.to_string().as_bytes()).expect("a valid body");
        prop_assert_eq!(facts.model.as_deref().map(|name| &**name), Some("m"));
        prop_assert_eq!((facts.stream, facts.answer_tokens), (stream, tokens));
        prop_assert_eq!(facts.prefix_blocks.len(), 2);
    }
}
