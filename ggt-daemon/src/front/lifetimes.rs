//! Targets whose registered incarnation may have ended, and that are there again before their registration says so.
//!
//! Such a target is asked for its start. The daemon that lists its prefix cache asks for all others, so that a cut of many
//! daemons costs each target few questions.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::join;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::front::cache_lists::stated_start;
use crate::front::origins::OpenInquiry;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashId;
use ggt_core::fleet::PeerDigest;
use ggt_core::targets::StatedStart;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetState;
use ggt_core::versions::SoftwareVersion;
use ggt_wire::lifetimes::LifetimeAnswer;
use ggt_wire::lifetimes::LifetimeQuestion;
use ggt_wire::lifetimes::TargetStart;
use ggt_wire::lifetimes::decode_lifetime_answer;
use ggt_wire::lifetimes::decode_lifetime_question;
use ggt_wire::lifetimes::encode_lifetime_answer;
use ggt_wire::lifetimes::encode_lifetime_question;

/// Interval at which targets that are to be asked are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which questions about one target are collected.
const GROUP_TIME: Duration = Duration::from_millis(20);
/// Maximum time for a target's own word.
const START_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time for the reply of the daemon that asks for others; then this one asks by itself.
const PEER_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum time for which a stream waits until its targets have been asked.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of targets in one question, so that the reply fits into a datagram.
const MAX_ASKED_TARGETS: usize = 100;

/// A question to a target that several requests wait for.
#[derive(Debug, Default)]
pub struct StartQuestion {
    start: Cell<Option<StatedStart>>,
    is_answered: Cell<bool>,
    answered: Notify,
}

/// Questions to targets that have not been sent yet, by the targets' short hashes. A reply counts only for those who
/// asked before it was requested.
pub type StartQuestions = BTreeMap<u32, Rc<StartQuestion>>;

/// Asks targets whose incarnations are in doubt for their starts, until the task is dropped.
pub async fn run_lifetimes(state: Rc<FrontState>) {
    loop {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = state.lifetime_doubted.notified() => {}
        }
        let due = state.pool.borrow_mut().due_lifetime_checks(mono_now());
        if !due.is_empty() {
            let state = state.clone();
            spawn_local(async move { state.settle_lifetimes(&due).await });
        }
    }
}

fn log_lifetime(target: &TargetState, status: &str, cause: &str) {
    log::info!(
        "event=target target={} status={status} incarnation={} cause={}",
        target.record.id,
        target.record.incarnation,
        quoted(cause),
    );
}

impl FrontState {
    /// Records that an incarnation of a target has ended: what is at its address then may have another version.
    pub(super) fn record_lifetime_end(&self, crash: CrashId, cause: &str) {
        let is_news = self.pool.borrow_mut().record_end_of(crash, mono_now());
        if !is_news {
            return;
        }
        self.digest_requested.notify_one();
        let pool = self.pool.borrow();
        let ended = pool.iter().find(|(_, target)| target.crash_id() == crash);
        if let Some((_, target)) = ended {
            self.record_departure(&target.record);
            log_lifetime(target, "ended", cause);
        }
    }

    /// Records that the incarnation of a target may have ended at this time: it accepted no connection, or a peer says
    /// so. Of a target that states no start, nobody could tell.
    pub(super) fn doubt_lifetime(&self, key: TargetKey, doubted_at: MonoTime, cause: &str) {
        let mut pool = self.pool.borrow_mut();
        let states_start = pool.target(key).is_some_and(|target| self.is_engine(&target.record));
        if states_start
            && pool.record_doubt(key, doubted_at)
            && let Some(target) = pool.target(key)
        {
            log_lifetime(target, "doubted", cause);
        }
    }

    /// Applies what a peer knows of ended targets.
    pub(super) fn apply_peer_ends(&self, digest: &PeerDigest) {
        let now = mono_now();
        for report in &digest.ended {
            let key = self.pool.borrow().by_short_hash(report.target);
            if let Some(key) = key {
                self.doubt_lifetime(key, report.noticed_at(now), "peer");
            }
        }
    }

    /// Records that a target accepted a connection: if its incarnation is in doubt, the process that is there can be
    /// asked.
    pub(super) fn record_lifetime_accept(&self, key: TargetKey) {
        if self.pool.borrow_mut().record_accept(key, mono_now()) {
            self.lifetime_doubted.notify_one();
        }
    }

    /// Asks the targets that may serve a stream of this version, if all that are left and were not tried are in doubt.
    pub(super) async fn settle_version(
        self: &Rc<Self>,
        service: &str,
        version: SoftwareVersion,
        tried: &[TargetKey],
    ) {
        let doubted = self.pool.borrow().doubted_targets(service, version, tried);
        if !doubted.is_empty() {
            // Those that have not replied by then stay in doubt.
            let _ = timeout(SETTLE_TIMEOUT, self.settle_lifetimes(&doubted)).await;
        }
    }

    /// Asks these targets for their starts and applies what they say.
    async fn settle_lifetimes(self: &Rc<Self>, keys: &[TargetKey]) {
        let asked_at = mono_now();
        let mut own = Vec::new();
        let mut by_peer: BTreeMap<SocketAddr, Vec<u32>> = BTreeMap::new();
        let hashes: Vec<_> = {
            let pool = self.pool.borrow();
            keys.iter()
                .filter_map(|key| pool.target(*key))
                .map(|target| target.short_hash)
                .collect()
        };
        for hash in hashes {
            match self.lister(hash) {
                Some(peer) => by_peer.entry(peer).or_default().push(hash),
                None => own.push(hash),
            }
        }
        let mut asked = JoinSet::new();
        for (peer, targets) in by_peer {
            let state = self.clone();
            asked.spawn_local(async move { state.ask_through(peer, targets, asked_at).await });
        }
        join!(self.ask_targets(own, asked_at), async {
            while asked.join_next().await.is_some() {}
        });
    }

    /// Has a peer ask these targets, and asks those that it says nothing of.
    async fn ask_through(self: Rc<Self>, peer: SocketAddr, targets: Vec<u32>, asked_at: MonoTime) {
        let mut open = self.lifetime_inquiries.open();
        for targets in targets.chunks(MAX_ASKED_TARGETS) {
            let question = LifetimeQuestion { number: open.number(), targets: targets.to_vec() };
            self.send_encoded(encode_lifetime_question(&question), peer, "lifetime-question").await;
        }
        let mut left = targets;
        // What the peer has not said by then is asked by this daemon.
        let _ = timeout(PEER_TIMEOUT, self.collect_starts(&mut open, &mut left, asked_at)).await;
        self.ask_targets(left, asked_at).await;
    }

    async fn collect_starts(
        &self,
        open: &mut OpenInquiry<Vec<TargetStart>>,
        left: &mut Vec<u32>,
        asked_at: MonoTime,
    ) {
        while !left.is_empty()
            && let Some((peer, starts)) = open.receiver.recv().await
        {
            for TargetStart { target, start } in starts {
                left.retain(|hash| *hash != target);
                self.apply_start(target, start, asked_at, &peer.to_string());
            }
        }
    }

    async fn ask_targets(self: &Rc<Self>, targets: Vec<u32>, asked_at: MonoTime) {
        let mut asked = JoinSet::new();
        for hash in targets {
            let state = self.clone();
            asked.spawn_local(async move {
                if let Some(start) = state.ask_start(hash).await {
                    state.apply_start(hash, start, asked_at, "target");
                }
            });
        }
        while asked.join_next().await.is_some() {}
    }

    /// What a target says of its start when it is asked from now on; `None` if it does not reply.
    async fn ask_start(self: &Rc<Self>, hash: u32) -> Option<StatedStart> {
        let waiting = self.start_questions.borrow().get(&hash).cloned();
        let question = waiting.unwrap_or_else(|| self.begin_question(hash));
        loop {
            let answered = question.answered.notified();
            if question.is_answered.get() {
                return question.start.get();
            }
            answered.await;
        }
    }

    fn begin_question(self: &Rc<Self>, hash: u32) -> Rc<StartQuestion> {
        let question = Rc::<StartQuestion>::default();
        self.start_questions.borrow_mut().insert(hash, question.clone());
        let (state, asked) = (self.clone(), question.clone());
        spawn_local(async move {
            sleep(GROUP_TIME).await;
            state.start_questions.borrow_mut().remove(&hash);
            asked.start.set(state.request_start(hash).await);
            asked.is_answered.set(true);
            asked.answered.notify_waiters();
        });
        question
    }

    async fn request_start(&self, hash: u32) -> Option<StatedStart> {
        let record = {
            let pool = self.pool.borrow();
            pool.by_short_hash(hash).and_then(|key| pool.target(key))?.record.clone()
        };
        if !self.is_engine(&record) {
            return Some(StatedStart::Unstated);
        }
        let stated = timeout(START_TIMEOUT, stated_start(record.address, record.incarnation)).await;
        match stated.unwrap_or_else(|_| Err("timeout".to_owned())) {
            Ok(start) => Some(start),
            Err(cause) => {
                let (id, cause) = (&record.id, quoted(&cause));
                log::info!("event=lifetime target={id} outcome=unreachable cause={cause}");
                None
            }
        }
    }

    fn apply_start(&self, hash: u32, start: StatedStart, asked_at: MonoTime, source: &str) {
        let Some(key) = self.pool.borrow().by_short_hash(hash) else { return };
        let crash = self.pool.borrow().target(key).map(TargetState::crash_id);
        if self.pool.borrow_mut().apply_start(key, start, asked_at)
            && let Some(target) = self.pool.borrow().target(key)
        {
            log_lifetime(target, start.as_str(), source);
        }
        if let Some(crash) = crash.filter(|_| start == StatedStart::Another) {
            self.record_lifetime_end(crash, "it states another start");
        }
    }

    /// Asks targets for their starts for another daemon.
    pub(super) fn answer_lifetime_question(self: &Rc<Self>, bytes: &[u8], peer: SocketAddr) {
        let question = match decode_lifetime_question(bytes) {
            Ok(question) => question,
            Err(e) => {
                log::warn!("event=lifetime-question peer={peer} outcome=unreadable cause=\"{e}\"");
                return;
            }
        };
        let state = self.clone();
        spawn_local(async move {
            let mut asked = JoinSet::new();
            for target in question.targets.into_iter().take(MAX_ASKED_TARGETS) {
                let state = state.clone();
                asked.spawn_local(async move {
                    Some(TargetStart { target, start: state.ask_start(target).await? })
                });
            }
            let starts = asked.join_all().await.into_iter().flatten().collect();
            let answer = LifetimeAnswer { number: question.number, starts };
            state.send_encoded(encode_lifetime_answer(&answer), peer, "lifetime-question").await;
        });
    }

    /// Applies another daemon's reply to such a question of this one.
    pub(super) fn apply_lifetime_answer(&self, bytes: &[u8], peer: SocketAddr) {
        match decode_lifetime_answer(bytes) {
            Ok(answer) => self.lifetime_inquiries.apply(answer.number, peer, answer.starts),
            Err(e) => {
                log::warn!("event=lifetime-question peer={peer} outcome=unreadable cause=\"{e}\"");
            }
        }
    }
}
