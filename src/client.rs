//! Requests to an entry host.
//!
//! A [`Client`] sends each request once; what may be sent again is decided by
//! the command. Answers that are not a success are read as problem details.

use std::fs;
use std::path::Path;
use std::time::Duration;

use anvillift_schema::code::Code;
use anvillift_schema::public::Problem;
use reqwest::{Certificate, Method, RequestBuilder, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{Error, FileSnafu, HttpClientSnafu, NoAnswerSnafu};

/// Longest text of an answer that is quoted in an error.
const MAX_QUOTED_CHARS: usize = 200;

/// Settings of a client.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientSettings {
    /// Base URL of the entry host.
    pub(crate) url: String,
    /// Key sent with each request.
    pub(crate) key: String,
    /// Longest time for connecting and for each silence in an answer.
    pub(crate) timeout_ms: u64,
    /// PEM file with the authority of the hosts.
    pub(crate) authority_file: Option<String>,
}

/// Asks entry hosts.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    settings: ClientSettings,
    http: reqwest::Client,
}

impl Client {
    /// A client of the host in the settings.
    pub(crate) fn new(settings: ClientSettings) -> Result<Self, Error> {
        let timeout = Duration::from_millis(settings.timeout_ms);
        let mut builder = reqwest::Client::builder()
            .retry(reqwest::retry::never())
            .no_proxy()
            .connect_timeout(timeout)
            .read_timeout(timeout);
        if let Some(file) = &settings.authority_file {
            let pem = fs::read(file).context(FileSnafu { path: Path::new(file) })?;
            let authority = Certificate::from_pem(&pem).context(HttpClientSnafu)?;
            builder = builder.add_root_certificate(authority);
        }
        let http = builder.build().context(HttpClientSnafu)?;
        Ok(Self { settings, http })
    }

    /// The same client for the host at another base URL.
    pub(crate) fn at(&self, url: &str) -> Self {
        let settings = ClientSettings { url: url.to_owned(), ..self.settings.clone() };
        Self { settings, http: self.http.clone() }
    }

    /// A request to a path of the host.
    pub(crate) fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.settings.url.trim_end_matches('/'));
        self.http.request(method, url).bearer_auth(&self.settings.key)
    }

    /// Reads a JSON answer.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.request(Method::GET, path);
        self.read_json(self.send(request).await?).await
    }

    /// Sends a JSON body and reads a JSON answer.
    pub(crate) async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Error> {
        let request = self.request(Method::POST, path).json(body);
        self.read_json(self.send(request).await?).await
    }

    /// Sends a request; an answer that is no success becomes an error.
    pub(crate) async fn send(&self, request: RequestBuilder) -> Result<Response, Error> {
        let url = &self.settings.url;
        let response = request.send().await.context(NoAnswerSnafu { url })?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let text = response.text().await.context(NoAnswerSnafu { url })?;
        match serde_json::from_str::<Problem>(&text) {
            Ok(problem) => Err(Error::Refused { problem: Box::new(problem) }),
            Err(_) => Err(self.unreadable(format!("status {status}: {}", quoted(&text)))),
        }
    }

    /// Reads the JSON of an answer.
    pub(crate) async fn read_json<T: DeserializeOwned>(
        &self,
        response: Response,
    ) -> Result<T, Error> {
        let text = response.text().await.context(NoAnswerSnafu { url: &self.settings.url })?;
        serde_json::from_str(&text).map_err(|error| self.unreadable(error.to_string()))
    }

    /// An answer of this host in another form than the published one.
    pub(crate) fn unreadable(&self, reason: String) -> Error {
        Error::Unreadable { url: self.settings.url.clone(), reason }
    }
}

/// The start of a text, for a message.
fn quoted(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}

/// Whether a failed request may yet have had its effect.
pub(crate) fn may_have_run(error: &Error) -> bool {
    match error {
        Error::NoAnswer { source, .. } => !source.is_connect(),
        Error::Unreadable { .. } => true,
        Error::Refused { problem } => problem.code == Code::CommitUnknown.number(),
        _ => false,
    }
}
