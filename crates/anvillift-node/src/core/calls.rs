//! Calls to the control plane and the directory.

use std::time::Duration;

use anvillift_fleet::{directory, document};
use anvillift_http::RequestHead;
use anvillift_replication::ProposeError;
use anvillift_schema::code::Code;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{EvacuateDataCentre, FleetCommand, ReplaceConfiguration};
use tokio::time;

use crate::clock;
use crate::core::Core;
use crate::dialect::{CallError, ControlCall};
use crate::respond::Reply;

/// Longest time for which an operator's call waits for the log.
const LOG_WITHIN: Duration = Duration::from_millis(2_000);
/// When to come back while there is no leader, in milliseconds.
const NO_LEADER_RETRY_MS: u64 = 300;

impl Core {
    /// Answers a call.
    pub(super) async fn answer(&self, head: &RequestHead, body: &[u8]) -> Reply {
        let started_ms = clock::now_ms();
        let call = match (self.node.dialect.decode_call)(head, body) {
            Ok(call) => call,
            Err(error) => return self.refuse(head, &error),
        };
        let named = name(&call);
        let mut reply = self.perform(call, head, body).await;
        reply.closes |= self.node.is_leaving();
        let took_ms = clock::now_ms() - started_ms;
        metrics::histogram!("anvillift_call_ms", "call" => named).record(took_ms as f64);
        log::info!(
            event = Event::CallAnswered.number(), call = named, status = reply.status,
            target = head.target.as_str(), took_ms = took_ms,
            version = self.node.known.borrow().control.version;
            "call answered"
        );
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
                    Err(error) => self.node.coded(Code::Internal, &error.to_string()),
                }
            }
            ControlCall::Evacuate { data_centre, active } => {
                let evacuate = EvacuateDataCentre { data_centre, active };
                self.commit(head, FleetCommand::Evacuate(evacuate)).await
            }
            ControlCall::Read => self.read(head).await,
            ControlCall::Resolve { region } => self.resolve(&region),
            ControlCall::Readiness if self.node.is_leaving() => {
                self.unavailable(Code::Draining, Code::Draining.title())
            }
            ControlCall::Readiness => Reply::new(200, b"{}".to_vec()),
        }
    }

    async fn commit(&self, head: &RequestHead, command: FleetCommand) -> Reply {
        match time::timeout(LOG_WITHIN, self.log.propose(&command)).await {
            Ok(Ok(())) => Reply::new(200, b"{}".to_vec()),
            Ok(Err(error)) => self.elsewhere(head, &error),
            Err(_) => self.node.coded(Code::CommitUnknown, Code::CommitUnknown.title()),
        }
    }

    async fn read(&self, head: &RequestHead) -> Reply {
        match time::timeout(LOG_WITHIN, self.log.read_barrier()).await {
            Ok(Ok(_)) => {
                let state = self.log.state();
                if state.version == 0 {
                    return self.unavailable(Code::NotReady, "there is no configuration yet");
                }
                match document::unpack(&state.document) {
                    Ok(document) => Reply::new(200, document),
                    Err(error) => self.node.coded(Code::Internal, &error.to_string()),
                }
            }
            Ok(Err(error)) => self.elsewhere(head, &error),
            Err(_) => {
                self.unavailable(Code::NoLeader, "the newest configuration is not known here")
            }
        }
    }

    /// Sends the caller to the leader, if there is one.
    fn elsewhere(&self, head: &RequestHead, error: &ProposeError) -> Reply {
        let ProposeError::NotLeader { leader } = error else {
            return self.unavailable(Code::NoLeader, &error.to_string());
        };
        let known = self.node.known.borrow();
        let address = known.hosts.get(leader).map(|host| host.operator_address.clone());
        let Some(address) = address.filter(|address| !address.is_empty()) else {
            return self.unavailable(Code::NoLeader, "the leader's address is not known");
        };
        let mut reply = Reply::new(307, b"{}".to_vec());
        reply.headers.push("Location", format!("http://{address}{}", head.target));
        reply
    }

    fn resolve(&self, region: &str) -> Reply {
        let addresses =
            directory::addresses(&self.node.known.borrow().hosts, clock::now_ms(), region);
        if addresses.is_empty() {
            return self.unavailable(Code::NotReady, "no entry host is ready");
        }
        let ttl_s = self.node.settings.directory_ttl_s;
        Reply::new(200, (self.node.dialect.encode_addresses)(&addresses, ttl_s))
    }

    fn unavailable(&self, code: Code, detail: &str) -> Reply {
        self.node.coded(code, detail).retry_after_ms(NO_LEADER_RETRY_MS)
    }

    fn refuse(&self, head: &RequestHead, error: &CallError) -> Reply {
        let code = match error {
            CallError::Unknown => Code::NotFound,
            CallError::Unreadable { .. } => Code::MalformedRequest,
            CallError::Invalid { .. } => Code::ChangeInvalid,
        };
        log::info!(
            event = Event::CallAnswered.number(), code = code.number(), status = code.status(),
            target = head.target.as_str();
            "call refused: {error}"
        );
        self.node.coded(code, &error.to_string())
    }
}

fn name(call: &ControlCall) -> &'static str {
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
