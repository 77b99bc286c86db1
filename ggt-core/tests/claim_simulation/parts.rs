//! Types of the claim simulation.

use std::collections::BTreeMap;

use ggt_core::claims::ClaimHolder;
use ggt_core::claims::ClaimReply;
use ggt_core::claims::ClaimRequest;
use ggt_core::claims::HolderSet;
use ggt_core::claims::SettleRequest;
use ggt_core::ident::DaemonName;

/// Fault injected into the protocol, which the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The protocol is unchanged.
    NoFault,
    /// A restarted holder grants keys at once, as if it had not lost its claims.
    GrantsAfterRestart,
    /// A single grant counts as a majority.
    SingleGrant,
    /// A new roster is used without waiting for the holders of the previous one.
    ImmediateRosterChange,
    /// An attempt that gives up reports `not-run` without a majority of seals.
    NotRunWithoutSeals,
}

#[derive(Clone, Debug)]
pub(super) enum Message {
    Claim { attempt: usize, to: usize },
    ClaimReply { attempt: usize, from: usize, reply: ClaimReply },
    Seal { attempt: usize, to: usize },
    SealReply { attempt: usize, from: usize, reply: ClaimReply },
    Settle { request: SettleRequest, to: usize },
    AskEpoch { from: usize, to: usize, incarnation: u64 },
    TellEpoch { from: usize, to: usize, incarnation: u64, epoch: u64 },
    Action { attempt: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Claiming,
    Won,
    Sent,
    Sealing,
    Ended,
}

#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) daemon: usize,
    pub(super) incarnation: u64,
    pub(super) request: ClaimRequest,
    pub(super) holders: HolderSet,
    pub(super) claims: BTreeMap<usize, ClaimReply>,
    pub(super) seals: BTreeMap<usize, ClaimReply>,
    pub(super) phase: Phase,
}

pub(super) struct Daemon {
    pub(super) name: DaemonName,
    pub(super) holder: ClaimHolder,
    pub(super) incarnation: u64,
    pub(super) epoch: u64,
    pub(super) clock_offset_ms: u64,
}

/// Counts of one run of the simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Keys whose action ran more than once.
    pub ran_twice: usize,
    /// Keys whose action ran although it was reported as `not-run`.
    pub false_not_run: usize,
    /// Keys whose action ran.
    pub ran: usize,
    /// Attempts made.
    pub attempts: usize,
    /// Keys reported as `not-run`.
    pub not_run: usize,
}
