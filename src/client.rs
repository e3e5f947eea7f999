//! HTTP client for an entry host.
//!
//! A [`Client`] sends each request once and never retries; each command decides
//! whether to send a request again. The body of an answer with an unsuccessful
//! status is parsed as problem details.

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

/// Number of characters of an unreadable answer that its error message quotes.
const MAX_QUOTED_CHARS: usize = 200;

/// Address, key and timeout for the requests of a [`Client`].
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientSettings {
    /// Base URL of the entry host.
    pub(crate) url: String,
    /// Key sent with each request.
    pub(crate) key: String,
    /// Timeout for connecting and for each pause in an answer, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// PEM file with the authority that signs the hosts' certificates.
    pub(crate) authority_file: Option<String>,
}

/// Sends requests with a key to one entry host.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    settings: ClientSettings,
    http: reqwest::Client,
}

impl Client {
    /// Creates a client; fails if the authority file cannot be read or parsed.
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

    /// Returns a client with the same key and timeout for the host at another base URL.
    pub(crate) fn with_url(&self, url: &str) -> Self {
        let settings = ClientSettings { url: url.to_owned(), ..self.settings.clone() };
        Self { settings, http: self.http.clone() }
    }

    /// Base URL of the host.
    pub(crate) fn url(&self) -> &str {
        &self.settings.url
    }

    /// Prepares a request with the key to a path of the host.
    pub(crate) fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.settings.url.trim_end_matches('/'));
        self.http.request(method, url).bearer_auth(&self.settings.key)
    }

    /// Sends a GET request and parses the JSON answer.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.request(Method::GET, path);
        self.read_json(self.send(request).await?).await
    }

    /// Sends a POST request with a JSON body and parses the JSON answer.
    pub(crate) async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Error> {
        let request = self.request(Method::POST, path).json(body);
        self.read_json(self.send(request).await?).await
    }

    /// Sends a request; an answer with an unsuccessful status becomes an error.
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
            Err(_) => Err(self.unreadable(format!("status {status}: {}", truncated(&text)))),
        }
    }

    /// Parses the body of an answer as JSON.
    pub(crate) async fn read_json<T: DeserializeOwned>(
        &self,
        response: Response,
    ) -> Result<T, Error> {
        let text = response.text().await.context(NoAnswerSnafu { url: &self.settings.url })?;
        serde_json::from_str(&text).map_err(|error| self.unreadable(error.to_string()))
    }

    /// Error for an answer of this host that does not have the documented format.
    pub(crate) fn unreadable(&self, reason: String) -> Error {
        Error::Unreadable { url: self.settings.url.clone(), reason }
    }
}

/// First [`MAX_QUOTED_CHARS`] characters of a text, for an error message.
fn truncated(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}

/// Whether a failed request may have taken effect on the host.
pub(crate) fn may_have_taken_effect(error: &Error) -> bool {
    match error {
        Error::NoAnswer { source, .. } => !source.is_connect(),
        Error::Unreadable { .. } => true,
        Error::Refused { problem } => problem.code == Code::CommitUnknown.number(),
        _ => false,
    }
}
