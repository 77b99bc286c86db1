//! Bodies of requests: read into one buffer each, within the room that all of them may take.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::front::response::FrontRefusal;
use crate::logging::quoted;
use ggt_core::bodies::BodyDenial;
use ggt_core::bodies::BodyKey;
use ggt_core::bodies::BodyTable;
use ggt_core::ident::stable_hash;

/// Room in bytes that is first set aside for a body without a stated length.
const FIRST_STEP_BYTES: usize = 4 * 1024;
/// `retry-after` in milliseconds of a request whose body finds no room.
const NO_ROOM_RETRY_MS: u64 = 1_000;
/// Longest time for which the body of a refused request is read and dropped, so that its caller gets the response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of bytes of such a body that are read.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// What a body may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimit {
    /// Maximum length in bytes.
    pub max_bytes: usize,
    /// Longest pause between two pieces.
    pub max_pause: Duration,
}

/// The bodies of requests that this daemon holds.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    table: Arc<Mutex<BodyTable>>,
    /// Notified when bodies have given way to others.
    revoked: Arc<Notify>,
}

impl BodyBudget {
    /// A budget of so many bytes.
    pub fn new(room: usize) -> Self {
        Self { table: Arc::new(Mutex::new(BodyTable::new(room))), revoked: Arc::default() }
    }

    /// Sets the room of all bodies, and the longest that one may be.
    pub fn set_room(&self, room: usize, max_body_bytes: usize) {
        self.lock().set_room(room, max_body_bytes);
    }

    /// Bytes that are set aside for bodies.
    pub fn held(&self) -> usize {
        self.lock().held()
    }

    fn lock(&self) -> MutexGuard<'_, BodyTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Room for the first bytes of a body.
    fn admit(&self, customer: u64, bytes: usize) -> Result<BodyBuffer, BodyDenial> {
        let key = self.settle(|table| table.admit(customer, bytes, mono_now()))?;
        Ok(BodyBuffer { budget: self.clone(), key, bytes: Vec::new(), room: bytes })
    }

    /// Applies a change that may take room from other bodies, and wakes those that read them if it has.
    fn settle<R, A>(&self, act: A) -> R
    where
        A: FnOnce(&mut BodyTable) -> R,
    {
        let mut table = self.lock();
        let before = table.revocations();
        let result = act(&mut table);
        if table.revocations() > before {
            self.revoked.notify_waiters();
        }
        result
    }
}

/// The bytes of a body; its room is returned when it is dropped.
struct BodyBuffer {
    budget: BodyBudget,
    key: BodyKey,
    bytes: Vec<u8>,
    /// Bytes that are set aside for it.
    room: usize,
}

impl BodyBuffer {
    /// Appends bytes that have arrived.
    fn push(&mut self, bytes: &[u8]) -> Result<(), BodyDenial> {
        let length = self.bytes.len() + bytes.len();
        if length > self.room {
            let room = length.max(2 * self.room);
            self.budget.settle(|table| table.grow(self.key, room, mono_now()))?;
            self.room = room;
        }
        if self.bytes.capacity() < length {
            self.bytes.reserve_exact(self.room - self.bytes.len());
        }
        self.budget.lock().record_bytes(self.key, bytes.len(), mono_now());
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// The whole body; its room is held until the last reference to it is dropped.
    fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.budget.lock().finish(self.key, self.bytes.capacity());
        Bytes::from_owner(self)
    }

    /// Returns once the room of this body has been given to another one.
    async fn wait_for_revocation(&self) {
        loop {
            let revoked = self.budget.revoked.notified();
            if self.budget.lock().is_revoked(self.key) {
                return;
            }
            revoked.await;
        }
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.budget.lock().release(self.key);
    }
}

/// Why a body has not been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFailure {
    /// It is longer than allowed.
    TooLong,
    /// Its connection broke.
    BrokenOff,
    /// Nothing of it arrived for too long.
    Paused,
    /// It has no room.
    Denied(BodyDenial),
}

impl BodyFailure {
    /// The response to the request, which has not run.
    const fn into_refusal(self) -> FrontRefusal {
        match self {
            Self::TooLong => FrontRefusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-long"),
            Self::BrokenOff => FrontRefusal::new(StatusCode::BAD_REQUEST, "body-broke-off"),
            Self::Paused => FrontRefusal::new(StatusCode::REQUEST_TIMEOUT, "body-too-slow"),
            Self::Denied(denial) => FrontRefusal::not_run(denial.as_str(), NO_ROOM_RETRY_MS),
        }
    }
}

/// Reads the body of a customer's request.
pub struct BodyReader<'a> {
    pub budget: &'a BodyBudget,
    pub limit: BodyLimit,
    /// The attempt id of the request, and its customer's name.
    pub owner: (&'a str, Option<&'a str>),
}

impl BodyReader<'_> {
    /// Reads the body unless the request has to give way, which `revoked` tells by its end.
    ///
    /// # Errors
    /// [`FrontRefusal`], the final response, when the body is too long, breaks off, pauses for too long, has no room or
    /// gives way.
    pub async fn read<V>(
        &self,
        mut body: Incoming,
        headers: &HeaderMap,
        revoked: V,
    ) -> Result<Bytes, FrontRefusal>
    where
        V: Future,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let collected = tokio::select! {
            biased;
            collected = self.collect(&mut body) => collected,
            _ = revoked => Err(BodyFailure::Denied(BodyDenial::Revoked)),
        };
        let failure = match collected {
            Ok(bytes) => return Ok(bytes),
            Err(failure) => failure,
        };
        if let BodyFailure::Denied(denial) = failure {
            self.log_denial(denial, &body);
        }
        discard_body(body, headers).await;
        Err(failure.into_refusal())
    }

    fn log_denial(&self, denial: BodyDenial, body: &Incoming) {
        let (id, customer) = self.owner;
        let (held, room) = {
            let table = self.budget.lock();
            (table.held(), table.room())
        };
        log::info!(
            "event=body request_id={} customer={} outcome={} stated={} held={held} room={room}",
            quoted(id),
            customer.unwrap_or("-"),
            denial.as_str(),
            body.size_hint().exact().map_or("-".to_owned(), |bytes| bytes.to_string()),
        );
    }

    async fn collect(&self, body: &mut Incoming) -> Result<Bytes, BodyFailure> {
        let Self { budget, limit, owner: (_, customer) } = self;
        let stated =
            body.size_hint().exact().map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if stated.is_some_and(|bytes| bytes > limit.max_bytes) {
            return Err(BodyFailure::TooLong);
        }
        let first_bytes = stated.unwrap_or(FIRST_STEP_BYTES);
        let customer = stable_hash(customer.unwrap_or_default().as_bytes());
        let mut buffer = budget.admit(customer, first_bytes).map_err(BodyFailure::Denied)?;
        loop {
            let frame = tokio::select! {
                biased;
                frame = timeout(limit.max_pause, body.frame()) => {
                    frame.map_err(|_| BodyFailure::Paused)?
                }
                () = buffer.wait_for_revocation() => {
                    return Err(BodyFailure::Denied(BodyDenial::Revoked));
                }
            };
            let Some(frame) = frame else { return Ok(buffer.into_bytes()) };
            let data = frame.map_err(|_| BodyFailure::BrokenOff)?.into_data().unwrap_or_default();
            if buffer.bytes.len() + data.len() > limit.max_bytes {
                return Err(BodyFailure::TooLong);
            }
            buffer.push(&data).map_err(BodyFailure::Denied)?;
        }
    }
}

/// Reads and drops what arrives of a refused request's body for a short time: a connection that is closed with unread
/// bytes is reset, and its caller may lose the response. One that waits to be asked for the body sends nothing.
pub async fn discard_body(mut body: Incoming, headers: &HeaderMap) {
    if body.is_end_stream() || headers.contains_key(header::EXPECT) {
        return;
    }
    let discard = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await
            && discarded < MAX_DISCARDED_BYTES
        {
            discarded += frame.into_data().unwrap_or_default().len();
        }
    };
    // What has not arrived by then is not read.
    let _ = timeout(DISCARD_TIMEOUT, discard).await;
}
