//! A daemon that accepts no connections, as one that is at its limit, but replies to datagrams.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use ggt_core::fleet::PEER_PROTOCOL;
use ggt_core::fleet::PeerDigest;
use ggt_core::fleet::PeerReach;
use ggt_core::versions::OriginReply;
use ggt_core::versions::SoftwareVersion;
use ggt_wire::digest::encode_digest;
use ggt_wire::origins::OriginAnswer;
use ggt_wire::origins::decode_question;
use ggt_wire::origins::encode_answer;

/// Interval between two digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Milliseconds for which the daemon claims to have run: longer than any stream lasts.
const AGE_MS: u64 = 600_000;

/// A daemon that knows every stream that it is asked for as begun by one version.
pub struct AskedPeer {
    is_over: Arc<AtomicBool>,
    questions: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl AskedPeer {
    /// Starts the daemon at an address, which tells `other` of itself.
    ///
    /// # Panics
    /// When the address cannot be bound.
    pub fn start(address: SocketAddr, other: SocketAddr, version: SoftwareVersion) -> Self {
        let socket = UdpSocket::bind(address).expect("a free address");
        socket.set_read_timeout(Some(DIGEST_INTERVAL)).expect("a time limit");
        let (is_over, questions): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
        let (is_ending, asked) = (is_over.clone(), questions.clone());
        let thread = thread::spawn(move || {
            for number in 1.. {
                if is_ending.load(Ordering::SeqCst) {
                    return;
                }
                let digest = encode_digest(&digest(address, number)).expect("a digest");
                // The other daemon may not have started yet.
                let _ = socket.send_to(&digest, other);
                if answer(&socket, version).is_ok() {
                    asked.fetch_add(1, Ordering::SeqCst);
                }
            }
        });
        Self { is_over, questions, thread: Some(thread) }
    }

    /// Number of questions that it has answered.
    pub fn questions(&self) -> usize {
        self.questions.load(Ordering::SeqCst)
    }
}

impl Drop for AskedPeer {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        // A panic of the thread has been printed.
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// Waits for a datagram, and replies if it is a question.
fn answer(socket: &UdpSocket, version: SoftwareVersion) -> io::Result<()> {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let (length, from) = socket.recv_from(&mut buffer)?;
    let question = decode_question(&buffer[..length]).map_err(io::Error::other)?;
    let reply = OriginReply { version: Some(version), only_version: None };
    let answer = encode_answer(&OriginAnswer { number: question.number, reply });
    socket.send_to(&answer.map_err(io::Error::other)?, from).map(drop)
}

fn digest(address: SocketAddr, number: u64) -> PeerDigest {
    let reach = PeerReach { protocol: PEER_PROTOCOL, unreached: Vec::new() };
    PeerDigest { age_ms: AGE_MS, reach, ..PeerDigest::new(address, 1, number) }
}
