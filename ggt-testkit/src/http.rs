//! A small blocking HTTP client.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use ureq::Agent;
use ureq::http::Request;

/// Bound on one request; only a hanging test reaches it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);

/// A request under construction.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    method: String,
    address: SocketAddr,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

/// A response, of which the body may be incomplete.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The part of the body that was received; bytes that are not UTF-8 are replaced.
    pub body: String,
    /// Whether the body was received completely.
    pub is_complete: bool,
}

impl HttpRequest {
    /// A request to `address` without headers and body.
    pub fn new(method: &str, address: SocketAddr, path: &str) -> Self {
        Self {
            method: method.to_owned(),
            address,
            path: path.to_owned(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds an `authorization` header with a bearer key.
    pub fn bearer(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets the key of the customer on the users' platform, in place of another one.
    pub fn token(mut self, key: &str) -> Self {
        self.headers.retain(|(name, _)| name != "authorization");
        self.header("authorization", &format!("Token {key}"))
    }

    /// Sets the body.
    pub fn body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    /// Sends the request on a new connection; `None` when no response head arrived.
    pub fn send(&self) -> Option<HttpResponse> {
        self.send_on(&fresh_agent())
    }

    /// Sends the request with `agent`, which may reuse connections; `None` when no response head arrived.
    pub fn send_on(&self, agent: &Agent) -> Option<HttpResponse> {
        let (response, mut reader) = self.open_on(agent)?;
        let mut bytes = Vec::new();
        let is_complete = reader.read_to_end(&mut bytes).is_ok();
        Some(HttpResponse {
            body: String::from_utf8_lossy(&bytes).into_owned(),
            is_complete,
            ..response
        })
    }

    /// Sends the request on a new connection; returns the response without a body, and a reader of the body.
    pub fn open(&self) -> Option<(HttpResponse, impl Read + use<>)> {
        self.open_on(&fresh_agent())
    }

    fn open_on(&self, agent: &Agent) -> Option<(HttpResponse, impl Read + use<>)> {
        let uri = format!("http://{}{}", self.address, self.path);
        let mut builder = Request::builder().method(self.method.as_str()).uri(uri);
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        let response = agent.run(builder.body(self.body.as_bytes().to_vec()).ok()?).ok()?;
        let (parts, body) = response.into_parts();
        let headers = parts.headers.iter().map(|(name, value)| {
            (name.as_str().to_owned(), value.to_str().unwrap_or_default().to_owned())
        });
        let response = HttpResponse {
            status: parts.status.as_u16(),
            headers: headers.collect(),
            body: String::new(),
            is_complete: false,
        };
        Some((response, body.into_reader()))
    }
}

impl HttpResponse {
    /// The value of the first header of this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The value of `x-run-verdict`; empty when the header is absent.
    pub fn verdict(&self) -> &str {
        self.header("x-run-verdict").unwrap_or_default()
    }

    /// The body as JSON; `null` when it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Creates an HTTP agent with no open connections.
pub fn fresh_agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .new_agent()
}
