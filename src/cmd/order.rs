//! `anvillift order`: sends an order to an upstream through the control log.

use anvillift_schema::configuration::ControlAnswer;
use anvillift_schema::upstream::{UpstreamOrder, UpstreamOrderAction};
use serde_json::Value;
use uuid::Uuid;

use crate::client::Client;
use crate::error::Error;
use crate::output::{self, Format};

/// Order an upstream to load a model, change its role or leave.
///
/// An order is written to the log before it is sent, and reaches the upstream
/// with a fencing number.
#[derive(argh::FromArgs, Debug)]
#[argh(subcommand, name = "order")]
pub(crate) struct Order {
    /// data centre of the upstream
    #[argh(positional)]
    data_centre: String,
    /// upstream that receives the order
    #[argh(positional)]
    upstream: String,
    /// load_model, unload_model, load_adapter, set_role or leave
    #[argh(positional)]
    action: UpstreamOrderAction,
    /// model, adapter or role
    #[argh(positional)]
    argument: Option<String>,
    /// id of an order that was sent before (default: a new id)
    #[argh(option)]
    order_id: Option<String>,
}

impl Order {
    /// Sends the order and prints its fencing number and the upstream's status.
    pub(crate) async fn execute(&self, client: &Client, format: Format) -> Result<(), Error> {
        let order_id = self.order_id.clone().unwrap_or_else(|| Uuid::now_v7().to_string());
        output::print_note(format_args!("order id: {order_id}"));
        let order = UpstreamOrder {
            order_id: order_id.as_str().into(),
            data_centre: self.data_centre.as_str().into(),
            upstream: self.upstream.as_str().into(),
            action: self.action,
            argument: self.argument.clone(),
        };
        let answer: Value = client.post("/v1/operator/orders", &order).await?;
        let text = match serde_json::from_value::<ControlAnswer>(answer.clone()) {
            Ok(ControlAnswer::Delivered { fencing, status: 0 }) => {
                format!("logged with fencing number {fencing}; the upstream did not answer")
            }
            Ok(ControlAnswer::Delivered { fencing, status }) => {
                format!("sent with fencing number {fencing}; the upstream answered {status}")
            }
            _ => answer.to_string(),
        };
        output::print(format, &answer, text)
    }
}
