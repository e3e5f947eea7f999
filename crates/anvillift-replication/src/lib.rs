//! Runs consensus replicas: their timers, storage and messages.
