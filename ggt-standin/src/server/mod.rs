//! Minimal HTTP/1.1 server that the stand-ins share.

use std::convert::Infallible;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Locks a mutex and ignores poisoning: the data stays valid if another thread panics.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// HTTP request with its body read into memory.
pub struct BufferedRequest {
    /// Request line and headers.
    pub parts: Parts,
    /// Complete body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Path without the query.
    pub fn path(&self) -> &str {
        self.parts.uri.path()
    }

    /// Value of a query parameter, not percent-decoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.parts.uri.query()?.split('&');
        pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|x| x.1)
    }

    /// Numeric query parameter; `default` if it is absent or not a number.
    pub fn number(&self, name: &str, default: u64) -> u64 {
        self.query(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    }

    /// Value of a header; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.parts.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Response body, sent at once or in chunks.
pub enum ResponseBody {
    /// Complete body; `None` once it is sent.
    Complete(Option<Bytes>),
    /// Chunks from a channel; the body ends when the sender is dropped.
    Streamed(mpsc::Receiver<Bytes>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(chunks) => {
                chunks.poll_recv(context).map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }
}

/// Response of a stand-in.
pub type StandinResponse = Response<ResponseBody>;

/// Builds a response with a text body.
pub fn text_response(status: u16, body: impl Into<Bytes>) -> StandinResponse {
    let bytes: Bytes = body.into();
    let length = bytes.len().to_string();
    let mut response = Response::new(ResponseBody::Complete(Some(bytes)));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    with_header(response, "content-length", &length)
}

/// Builds a response with status 200 and a JSON body.
pub fn json_response<T>(body: &T) -> StandinResponse
where
    T: Serialize,
{
    let body_text = serde_json::to_string(body).unwrap_or_default();
    with_header(text_response(200, body_text), "content-type", "application/json")
}

/// Sets a response header; an invalid name or value is ignored.
pub fn with_header(mut response: StandinResponse, name: &str, value: &str) -> StandinResponse {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
    response
}

/// Serves `handler` on `address` until the process ends.
///
/// Prints `listening ADDRESS` to standard output once the socket is bound.
///
/// # Errors
/// Returns the I/O error if the address cannot be bound or a connection cannot be accepted.
pub async fn serve<H, F>(address: SocketAddr, handler: H) -> std::io::Result<()>
where
    H: Fn(BufferedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = StandinResponse> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    // Ignored: the parent process may have closed the pipe.
    let _ = writeln!(std::io::stdout(), "listening {}", listener.local_addr()?);
    let handler = Arc::new(handler);
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let handler = handler.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = handler.clone();
            async move {
                let (parts, body) = request.into_parts();
                // A request with a truncated body is not handled.
                let body = body.collect().await?.to_bytes();
                Ok::<_, hyper::Error>(handler(BufferedRequest { parts, body }).await)
            }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}
