//! Calls between daemons, carried by JSON-RPC and authenticated by the fleet's keys.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use snafu::Snafu;

use crate::platform::FileDigest;
use crate::platform::FolderKind;
use crate::platform::FolderManifest;
use crate::seal::FleetKeys;
use crate::seal::from_hex;
use crate::seal::to_hex;
use ggt_core::clock::WallTime;
use ggt_core::ident::DaemonName;
use ggt_core::ident::TargetName;

/// Asks a holder for a key.
pub const CLAIM: &str = "claim";
/// Asks a holder to seal a key.
pub const SEAL: &str = "seal";
/// Tells a holder what became of an attempt.
pub const SETTLE: &str = "settle";
/// Fetches a published folder.
pub const FETCH: &str = "fetch";

/// Milliseconds after which a call is too old to be taken, clock error included.
const MAX_CALL_AGE_MS: u64 = 60_000;

/// Why a call or an answer is refused.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// Its tag was not made with a key of the fleet.
    #[snafu(display("the tag does not verify"))]
    Foreign,
    /// It is older than any call still under way.
    #[snafu(display("the call is too old"))]
    Stale,
    /// Its body does not decode.
    #[snafu(display("the body does not decode: {source}"), context(false))]
    Body {
        /// The cause.
        source: serde_json::Error,
    },
}

/// The parameter of each call.
#[derive(Debug, Serialize, Deserialize)]
pub struct SignedCall {
    /// The daemon that calls.
    pub from: DaemonName,
    /// When it called.
    pub at: WallTime,
    /// The call's own parameters.
    pub body: Box<RawValue>,
    /// Tag over all of it and the method.
    pub tag: String,
}

/// The result of each call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SignedAnswer {
    /// The result itself.
    pub body: Box<RawValue>,
    /// Tag over it and the call's tag, so that it answers this call only.
    pub tag: String,
}

/// Signs a call.
///
/// # Errors
/// [`CallError::Body`] when the parameters cannot be written as JSON.
pub fn sign_call<T>(
    keys: &FleetKeys,
    from: &DaemonName,
    at: WallTime,
    method: &str,
    params: &T,
) -> Result<SignedCall, CallError>
where
    T: Serialize,
{
    let body = serde_json::value::to_raw_value(params)?;
    let at_bytes = at.as_millis().to_le_bytes();
    let parts = [from.as_str().as_bytes(), &at_bytes, body.get().as_bytes()];
    let tag = to_hex(&keys.sign(method, &parts));
    Ok(SignedCall { from: from.clone(), at, body, tag })
}

/// Verifies a call and reads its parameters.
///
/// # Errors
/// [`CallError`] says why it must be refused.
pub fn open_call<T>(
    keys: &FleetKeys,
    method: &str,
    call: &SignedCall,
    now: WallTime,
) -> Result<T, CallError>
where
    T: DeserializeOwned,
{
    let tag = from_hex(&call.tag).unwrap_or_default();
    let at_bytes = call.at.as_millis().to_le_bytes();
    let parts = [call.from.as_str().as_bytes(), &at_bytes, call.body.get().as_bytes()];
    if !keys.verify(method, &parts, &tag) {
        return Err(CallError::Foreign);
    }
    if now.as_millis().abs_diff(call.at.as_millis()) > MAX_CALL_AGE_MS {
        return Err(CallError::Stale);
    }
    Ok(serde_json::from_str(call.body.get())?)
}

/// Signs the answer to a call.
///
/// # Errors
/// [`CallError::Body`] when the result cannot be written as JSON.
pub fn sign_answer<T>(
    keys: &FleetKeys,
    call: &SignedCall,
    result: &T,
) -> Result<SignedAnswer, CallError>
where
    T: Serialize,
{
    let body = serde_json::value::to_raw_value(result)?;
    let tag = to_hex(&keys.sign("answer", &[call.tag.as_bytes(), body.get().as_bytes()]));
    Ok(SignedAnswer { body, tag })
}

/// Verifies the answer to the call with `call_tag` and reads its result.
///
/// # Errors
/// [`CallError`] says why it must be dropped.
pub fn open_answer<T>(
    keys: &FleetKeys,
    call_tag: &str,
    answer: &SignedAnswer,
) -> Result<T, CallError>
where
    T: DeserializeOwned,
{
    let tag = from_hex(&answer.tag).unwrap_or_default();
    if !keys.verify("answer", &[call_tag.as_bytes(), answer.body.get().as_bytes()], &tag) {
        return Err(CallError::Foreign);
    }
    Ok(serde_json::from_str(answer.body.get())?)
}

/// Parameters of [`FETCH`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FetchParams {
    /// The folder.
    pub folder: FolderKind,
    /// Only a revision above this one is wanted.
    pub above: u64,
    /// Digests of the files that the caller has.
    pub have: Vec<FileDigest>,
}

/// Result of [`FETCH`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FetchResult {
    /// The folder's manifest, or `None` when there is no revision above.
    pub manifest: Option<FolderManifest>,
    /// Texts of the files that the caller does not have.
    pub texts: BTreeMap<FileDigest, String>,
    /// Targets known to be leaving, with their incarnations, when the host list was asked for.
    #[serde(default)]
    pub leaving: Vec<(TargetName, u64)>,
}
