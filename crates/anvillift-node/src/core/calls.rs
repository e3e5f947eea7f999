//! Answers calls to the control plane and the directory on a core host.

use std::time::Duration;

use anvillift_fleet::document;
use anvillift_http::RequestHead;
use anvillift_replication::ProposeError;
use anvillift_schema::code::Code;
use anvillift_schema::fleet::{EvacuateDataCentre, FleetCommand, ReplaceConfiguration};
use tokio::time;

use crate::clock;
use crate::core::Core;
use crate::dialect::ControlCall;
use crate::respond::Reply;

/// Longest time for which an operator's call waits for the control log.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2_000);

impl Core {
    /// Decodes a call, performs it and logs the answer.
    pub(super) async fn answer(&self, head: &RequestHead, body: &[u8]) -> Reply {
        let began_ms = clock::now_ms();
        let call = match (self.node.dialect.decode_call)(head, body) {
            Ok(call) => call,
            Err(error) => return self.node.reject_call(head, &error),
        };
        let name = call_name(&call);
        let mut reply = self.perform(call, head, body).await;
        reply.closes_connection |= self.node.is_leaving();
        self.node.record_call(name, head, reply.status, began_ms);
        reply
    }

    async fn perform(&self, call: ControlCall, head: &RequestHead, body: &[u8]) -> Reply {
        match call {
            ControlCall::Report(report) => {
                self.on_report(report).await;
                Reply::new(200, b"{}".to_vec())
            }
            ControlCall::Leave { worker } => {
                self.on_leave(&worker).await;
                Reply::new(200, b"{}".to_vec())
            }
            ControlCall::Replace { version } => {
                if version <= self.log.state().version {
                    return Reply::new(200, b"{}".to_vec());
                }
                match document::pack(body) {
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
                match document::unpack(&state.document) {
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
