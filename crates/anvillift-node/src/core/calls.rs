//! Answers calls to the control plane and the directory on a core host.

use std::io;
use std::time::Duration;

use anvillift_fleet::document;
use anvillift_http::RequestHead;
use anvillift_replication::ProposeError;
use anvillift_schema::code::Code;
use anvillift_schema::fleet::{EvacuateDataCentre, FleetCommand, ReplaceConfiguration};
use anvillift_schema::payload::Payload;
use bytes::Bytes;
use tokio::time;

use crate::core::Core;
use crate::core::departures::Effect;
use crate::dialect::{CallError, ControlCall};
use crate::off_thread::LARGE_BYTES;
use crate::respond::Reply;
use crate::{clock, off_thread};

/// Longest time for which an operator's call waits for the control log.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2_000);

impl Core {
    /// Decodes a call, performs it and logs the answer.
    pub(super) async fn answer(&self, head: &RequestHead, body: Bytes) -> Reply {
        let began_ms = clock::now_ms();
        let call = match self.decode_call(head, &body).await {
            Ok(call) => call,
            Err(error) => return self.node.reject_call(head, &error),
        };
        let name = call_name(&call);
        let mut reply = self.perform(call, head, body).await;
        reply.closes_connection |= self.node.is_leaving();
        self.node.record_call(name, head, reply.status, began_ms);
        reply
    }

    /// Decodes a call; one with a large body on a thread of its own.
    async fn decode_call(
        &self,
        head: &RequestHead,
        body: &Bytes,
    ) -> Result<ControlCall, CallError> {
        let decode = self.node.dialect.decode_call;
        if body.len() < LARGE_BYTES {
            return decode(head, body);
        }
        let (sent_head, sent_body) = (head.clone(), body.clone());
        let decoded = off_thread::result("validate", move || decode(&sent_head, &sent_body)).await;
        // Without a thread, the call is decoded here.
        decoded.unwrap_or_else(|_| decode(head, body))
    }

    async fn perform(&self, call: ControlCall, head: &RequestHead, body: Bytes) -> Reply {
        match call {
            ControlCall::Report(report) => {
                let effect = self.on_report(report).await;
                self.acknowledge(effect)
            }
            ControlCall::Leave { worker } => {
                let effect = self.on_leave(&worker).await;
                self.acknowledge(effect)
            }
            ControlCall::Replace { version } => {
                if version <= self.log.version() {
                    return Reply::new(200, b"{}".to_vec());
                }
                match pack(body).await {
                    Ok(packed) => {
                        let replace = ReplaceConfiguration { version, document: packed.into() };
                        self.commit(head, FleetCommand::Replace(replace)).await
                    }
                    Err(error) => self.node.error_reply(Code::Internal, &error.to_string()),
                }
            }
            ControlCall::Evacuate { data_centre, active } => {
                let evacuate = EvacuateDataCentre { data_centre, active };
                self.commit(head, FleetCommand::Evacuate(evacuate)).await
            }
            ControlCall::Read => self.read_configuration(head).await,
            ControlCall::Resolve { region, data_centre } => {
                self.node.resolve(&region, &data_centre)
            }
            ControlCall::Readiness if self.node.is_leaving() => {
                self.retry_later_reply(Code::Draining, Code::Draining.title())
            }
            ControlCall::Readiness => Reply::new(200, b"{}".to_vec()),
        }
    }

    /// Acknowledges the call of a worker that is in effect.
    fn acknowledge(&self, effect: Effect) -> Reply {
        match effect {
            Effect::InEffect => Reply::new(200, b"{}".to_vec()),
            Effect::NotInEffect(reason) => self.retry_later_reply(Code::ReportNotInEffect, reason),
        }
    }

    async fn commit(&self, head: &RequestHead, command: FleetCommand) -> Reply {
        match time::timeout(COMMIT_TIMEOUT, self.log.propose(&command)).await {
            Ok(Ok(())) => Reply::new(200, b"{}".to_vec()),
            Ok(Err(error)) => self.redirect_to_leader(head, &error),
            Err(_) => self.node.error_reply(Code::CommitUnknown, Code::CommitUnknown.title()),
        }
    }

    async fn read_configuration(&self, head: &RequestHead) -> Reply {
        match time::timeout(COMMIT_TIMEOUT, self.log.read_barrier()).await {
            Ok(Ok(_)) => {
                let state = self.log.state();
                if state.version == 0 {
                    return self.retry_later_reply(Code::NotReady, "there is no configuration yet");
                }
                match unpack(state.document).await {
                    Ok(document) => Reply::new(200, document),
                    Err(error) => self.node.error_reply(Code::Internal, &error.to_string()),
                }
            }
            Ok(Err(error)) => self.redirect_to_leader(head, &error),
            Err(_) => self.retry_later_reply(
                Code::NoLeader,
                "the control group did not confirm the newest configuration in time",
            ),
        }
    }

    /// Redirects the caller to the leader of the control group, or asks it to
    /// retry if there is no leader or its address is unknown.
    fn redirect_to_leader(&self, head: &RequestHead, error: &ProposeError) -> Reply {
        let ProposeError::NotLeader { leader } = error else {
            return self.retry_later_reply(Code::NoLeader, &error.to_string());
        };
        let view = self.node.view.borrow();
        let address = view.hosts.get(leader).map(|host| host.operator_address.clone());
        let Some(address) = address.filter(|address| !address.is_empty()) else {
            return self
                .retry_later_reply(Code::NoLeader, "the leader's operator address is unknown");
        };
        let mut reply = Reply::new(307, b"{}".to_vec());
        reply.headers.push("Location", format!("http://{address}{}", head.target));
        reply
    }

    fn retry_later_reply(&self, code: Code, detail: &str) -> Reply {
        self.node.retry_later_reply(code, detail)
    }
}

fn call_name(call: &ControlCall) -> &'static str {
    match call {
        ControlCall::Report(_) => "report",
        ControlCall::Leave { .. } => "leave",
        ControlCall::Replace { .. } => "replace",
        ControlCall::Read => "read",
        ControlCall::Evacuate { .. } => "evacuate",
        ControlCall::Resolve { .. } => "resolve",
        ControlCall::Readiness => "readiness",
    }
}

/// Compresses a document; a large one on a thread of its own. It takes the document, so that its
/// memory is free by the time the configuration is decoded.
async fn pack(body: Bytes) -> io::Result<Vec<u8>> {
    if body.len() < LARGE_BYTES {
        return document::pack(&body);
    }
    off_thread::result("pack", move || document::pack(&body)).await?
}

/// Decompresses a document; a large one on a thread of its own.
async fn unpack(packed: Payload) -> io::Result<Vec<u8>> {
    if packed.len() < LARGE_BYTES {
        return document::unpack(&packed);
    }
    off_thread::result("unpack", move || document::unpack(&packed)).await?
}
