//! Questions to other daemons that wait for replies, by the number that goes out with each.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use slotmap::Key;
use slotmap::KeyData;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

new_key_type! {
    /// Identifies an inquiry; it goes out with the question.
    struct InquiryKey;
}

type SenderMap<R> = SlotMap<InquiryKey, UnboundedSender<(SocketAddr, R)>>;

/// The inquiries that wait for replies of type `R`.
#[derive(Clone, Debug)]
pub struct InquiryTable<R> {
    senders: Rc<RefCell<SenderMap<R>>>,
}

impl<R> Default for InquiryTable<R> {
    fn default() -> Self {
        Self { senders: Rc::default() }
    }
}

impl<R> InquiryTable<R> {
    /// Passes a daemon's reply to the inquiry with this number; one that has ended ignores it.
    pub fn apply(&self, number: u64, peer: SocketAddr, reply: R) {
        let key = InquiryKey::from(KeyData::from_ffi(number));
        if let Some(sender) = self.senders.borrow().get(key) {
            // The receiver lives as long as the entry.
            let _ = sender.send((peer, reply));
        }
    }

    /// Begins an inquiry.
    pub fn open(&self) -> OpenInquiry<R> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let key = self.senders.borrow_mut().insert(sender.clone());
        OpenInquiry { senders: self.senders.clone(), key, sender, receiver }
    }
}

/// An inquiry that waits for replies until it is dropped.
#[derive(Debug)]
pub struct OpenInquiry<R> {
    senders: Rc<RefCell<SenderMap<R>>>,
    key: InquiryKey,
    /// For replies that come in another way than by datagrams.
    pub sender: UnboundedSender<(SocketAddr, R)>,
    pub receiver: UnboundedReceiver<(SocketAddr, R)>,
}

impl<R> OpenInquiry<R> {
    /// Number of its questions.
    pub fn number(&self) -> u64 {
        self.key.data().as_ffi()
    }
}

impl<R> Drop for OpenInquiry<R> {
    fn drop(&mut self) {
        self.senders.borrow_mut().remove(self.key);
    }
}
