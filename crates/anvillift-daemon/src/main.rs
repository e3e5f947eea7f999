//! The anvillift daemon.
//!
//! It loads its settings, runs one gateway, and drains it on SIGTERM or SIGINT
//! before it exits.

use std::path::PathBuf;
use std::process::ExitCode;

use anvillift_gateway::Gateway;
use anvillift_schema::code::Code;
use anvillift_schema::event::Event;
use anvillift_schema::settings::HostSettings;
use argh::FromArgs;
use tokio::signal::unix::{SignalKind, signal};

/// Run one entry host of an anvillift system.
#[derive(FromArgs)]
struct Arguments {
    /// path of the settings file
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match anvillift_settings::load_settings(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(Code::SettingsInvalid, &error),
    };
    if let Err(error) = anvillift_telemetry::init_logging(&settings.log) {
        return fail(Code::SettingsInvalid, &error);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => fail(Code::Internal, &error),
    }
}

async fn run(settings: HostSettings) -> ExitCode {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(error) => return fail(Code::Internal, &error),
    };
    if let Err(error) = anvillift_gateway::install_metrics() {
        return fail(Code::Internal, &error);
    }
    let gateway = match Gateway::start(settings).await {
        Ok(gateway) => gateway,
        Err(error) => return fail(error.code(), &error),
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    gateway.drain().await;
    ExitCode::SUCCESS
}

/// Logs and prints an error with its chain of causes, and returns the daemon's exit code.
fn fail(code: Code, error: &dyn std::error::Error) -> ExitCode {
    let mut text = format!("anvilliftd: error {}: {error}", code.number());
    let mut source = error.source();
    while let Some(cause) = source {
        text += &format!(": {cause}");
        source = cause.source();
    }
    log::error!(event = Event::SettingsRefused.number(); "{text}");
    eprintln!("{text}");
    ExitCode::FAILURE
}
