//! Links between hosts: WebSocket and CBOR, streams with credits.
