//! The datagrams between daemons.

use serde::Deserialize;
use serde::Serialize;

use crate::ident::DaemonName;

/// What a daemon believes of another one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum PeerStatus {
    /// It answers.
    #[default]
    Alive,
    /// It missed a ping and has not refuted the suspicion yet.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It said that it is leaving.
    Left,
}

impl PeerStatus {
    /// The status as it stands in logs and in the status report.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// Stands at the head of each datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedHead {
    /// The daemon that sends.
    pub from: DaemonName,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Rises with each datagram of one incarnation, so that a replay is seen.
    pub number: u64,
    /// The configuration revision in force on the sender.
    pub revision: u64,
}

/// The purpose of a datagram; news rides along with each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for an answer.
    Ping {
        /// Returned in the answer.
        round: u64,
    },
    /// Answers a ping; `subject` is the daemon that is alive.
    Ack {
        /// The round of the ping.
        round: u64,
        /// The daemon that answered.
        subject: DaemonName,
    },
    /// Asks to ping another daemon on the sender's behalf.
    PingFor {
        /// Returned in the answer.
        round: u64,
        /// The daemon to ping.
        subject: DaemonName,
    },
    /// Asks for the receiver's roster epoch.
    AskEpoch {
        /// Made at random for this question, so that the answer was given after it.
        nonce: u64,
    },
    /// Answers [`PeerMessage::AskEpoch`].
    TellEpoch {
        /// The question's.
        nonce: u64,
        /// The roster epoch in force, or `None` while no configuration is.
        epoch: Option<u64>,
    },
}
