//! Tests of the gateway, with real sockets and fake upstreams.

mod admission;
mod announcements;
mod bad_requests;
mod broken_streams;
mod caller_tls;
mod cluster;
mod commands;
mod control;
mod control_cluster;
mod control_loss;
mod control_orders;
mod control_timeout;
mod end_to_end;
mod endless_answers;
mod fake_upstream;
mod late_answers;
mod leaving;
mod loops;
mod memory_folder;
mod odd_answers;
mod placement;
mod planned_stop;
mod request_kind;
mod unread_answers;
mod wait;
