//! What the world of claims consists of.

use std::collections::BTreeMap;

use ggt_core::claims::ClaimHolder;
use ggt_core::claims::ClaimReply;
use ggt_core::claims::ClaimRequest;
use ggt_core::claims::HolderSet;
use ggt_core::claims::SettleRequest;
use ggt_core::ident::DaemonName;

/// A rule that is broken on purpose, to see that the checks notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// None.
    Nothing,
    /// A restarted holder grants as if it had never forgotten anything.
    ForgetfulHolder,
    /// One grant is taken for a majority.
    MajorityOfOne,
    /// A new roster is used without waiting for the holders of the old one.
    HastyRoster,
    /// An attempt that gives up answers `not-run` without a majority of seals.
    UnsealedNotRun,
}

#[derive(Clone, Debug)]
pub(super) enum Message {
    Claim { attempt: usize, to: usize },
    ClaimReply { attempt: usize, from: usize, reply: ClaimReply },
    Seal { attempt: usize, to: usize },
    SealReply { attempt: usize, from: usize, reply: ClaimReply },
    Settle { request: SettleRequest, to: usize },
    AskEpoch { from: usize, to: usize, life: u64 },
    TellEpoch { from: usize, to: usize, life: u64, epoch: u64 },
    Action { attempt: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Claiming,
    Won,
    Sent,
    Sealing,
    Over,
}

#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) daemon: usize,
    pub(super) life: u64,
    pub(super) request: ClaimRequest,
    pub(super) holders: HolderSet,
    pub(super) claims: BTreeMap<usize, ClaimReply>,
    pub(super) seals: BTreeMap<usize, ClaimReply>,
    pub(super) phase: Phase,
}

pub(super) struct Daemon {
    pub(super) name: DaemonName,
    pub(super) holder: ClaimHolder,
    pub(super) life: u64,
    pub(super) epoch: u64,
    pub(super) clock_ahead: u64,
}

/// What happened over a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Keys that ran more than once.
    pub doubled: usize,
    /// Keys that ran although they were answered `not-run`.
    pub false_not_run: usize,
    /// Actions that ran.
    pub ran: usize,
    /// Attempts made.
    pub attempts: usize,
    /// Keys answered `not-run`.
    pub not_run: usize,
}
