//! Messages and headers of the membership protocol.

use serde::Deserialize;
use serde::Serialize;

use crate::ident::DaemonName;

/// Membership status of a daemon; within one incarnation, a later variant overrides an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum PeerStatus {
    /// It replies to pings, or is new and has not been pinged yet.
    #[default]
    Alive,
    /// It did not reply to a ping and may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it is shutting down.
    Left,
}

impl PeerStatus {
    /// Name of the status in logs and in the status report.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// Header of each datagram; the datagram's tag covers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramHeader {
    /// Sending daemon.
    pub from: DaemonName,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Sequence number within one incarnation, for replay protection.
    pub number: u64,
    /// The sender's active configuration revision.
    pub revision: u64,
}

/// The message of a datagram; each datagram carries gossip items as well.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests a [`PeerMessage::Ack`].
    Ping {
        /// Identifies the ping; echoed in the acknowledgement.
        round: u64,
    },
    /// Acknowledges a ping, sent by its receiver or by the daemon that pinged on request.
    Ack {
        /// The round of the ping.
        round: u64,
        /// The daemon that replied to the ping.
        subject: DaemonName,
    },
    /// Requests a ping of another daemon on the sender's behalf.
    PingFor {
        /// Identifies the request; echoed in the acknowledgement.
        round: u64,
        /// The daemon to ping.
        subject: DaemonName,
    },
    /// Requests the receiver's roster epoch.
    AskEpoch {
        /// Random value; a reply that echoes it was sent after the query.
        nonce: u64,
    },
    /// Replies to [`PeerMessage::AskEpoch`].
    TellEpoch {
        /// The nonce of the query.
        nonce: u64,
        /// The active roster epoch, or `None` while no configuration is active.
        epoch: Option<u64>,
    },
}
