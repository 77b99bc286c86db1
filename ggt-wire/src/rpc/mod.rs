//! JSON-RPC calls between daemons, authenticated with the fleet's keys.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use snafu::Snafu;

use crate::auth::FleetKeys;
use crate::auth::from_hex;
use crate::auth::to_hex;
use crate::platform::FileDigest;
use crate::platform::FolderKind;
use crate::platform::FolderManifest;
use ggt_core::clock::WallTime;
use ggt_core::ident::DaemonName;
use ggt_core::ident::TargetName;

/// Method that requests a key from a holder.
pub const CLAIM: &str = "claim";
/// Method that requests a holder to seal a key.
pub const SEAL: &str = "seal";
/// Method that reports the outcome of an attempt to a holder.
pub const SETTLE: &str = "settle";
/// Method that fetches a published folder.
pub const FETCH: &str = "fetch";

/// Maximum difference between a call's time and the receiver's clock, clock error included.
const MAX_CALL_AGE_MS: u64 = 60_000;

/// Why a call or a reply is refused.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No key of the fleet verifies its tag.
    #[snafu(display("the tag does not verify"))]
    Unauthenticated,
    /// Its time differs too much from the receiver's clock.
    #[snafu(display("the call is too old"))]
    Stale,
    /// Its body does not decode.
    #[snafu(display("the body does not decode: {source}"), context(false))]
    Body {
        /// Underlying JSON error.
        source: serde_json::Error,
    },
}

/// Signed envelope of a call, the only parameter of each method.
#[derive(Debug, Serialize, Deserialize)]
pub struct SignedCall {
    /// Calling daemon.
    pub from: DaemonName,
    /// Time of the call on the caller's clock.
    pub at: WallTime,
    /// Parameters of the method.
    pub body: Box<RawValue>,
    /// Hexadecimal tag over the method and the other fields.
    pub tag: String,
}

/// Signed envelope of a reply, the result of each method.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SignedReply {
    /// Result of the method.
    pub body: Box<RawValue>,
    /// Hexadecimal tag over the body and the call's tag, which binds the reply to the call.
    pub tag: String,
}

/// Signs a call.
///
/// # Errors
/// [`CallError::Body`] when the parameters cannot be serialized.
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

/// Verifies a call and decodes its parameters.
///
/// # Errors
/// [`CallError`] states why the call must be refused.
pub fn verify_call<T>(
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
        return Err(CallError::Unauthenticated);
    }
    if now.as_millis().abs_diff(call.at.as_millis()) > MAX_CALL_AGE_MS {
        return Err(CallError::Stale);
    }
    Ok(serde_json::from_str(call.body.get())?)
}

/// Signs the reply to a call.
///
/// # Errors
/// [`CallError::Body`] when the result cannot be serialized.
pub fn sign_reply<T>(
    keys: &FleetKeys,
    call: &SignedCall,
    result: &T,
) -> Result<SignedReply, CallError>
where
    T: Serialize,
{
    let body = serde_json::value::to_raw_value(result)?;
    let tag = to_hex(&keys.sign("answer", &[call.tag.as_bytes(), body.get().as_bytes()]));
    Ok(SignedReply { body, tag })
}

/// Verifies the reply to the call with `call_tag` and decodes its result.
///
/// # Errors
/// [`CallError`] states why the reply must be dropped.
pub fn verify_reply<T>(
    keys: &FleetKeys,
    call_tag: &str,
    reply: &SignedReply,
) -> Result<T, CallError>
where
    T: DeserializeOwned,
{
    let tag = from_hex(&reply.tag).unwrap_or_default();
    if !keys.verify("answer", &[call_tag.as_bytes(), reply.body.get().as_bytes()], &tag) {
        return Err(CallError::Unauthenticated);
    }
    Ok(serde_json::from_str(reply.body.get())?)
}

/// Parameters of [`FETCH`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FetchParams {
    /// Folder to fetch.
    pub folder: FolderKind,
    /// Only a revision above this one is returned.
    pub above: u64,
    /// Digests of the files that the caller has already.
    pub have: Vec<FileDigest>,
}

/// Result of [`FETCH`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FetchResult {
    /// Manifest of the folder, or `None` if there is no later revision.
    pub manifest: Option<FolderManifest>,
    /// Texts of the files that the caller does not have, by digest.
    pub texts: BTreeMap<FileDigest, String>,
    /// Targets that are leaving, with their incarnations, if the host list was requested.
    #[serde(default)]
    pub leaving: Vec<(TargetName, u64)>,
}
