//! Targets whose registered incarnation may have ended, and that are there again before their registration says so.
//!
//! Such a target is asked for its start. The daemon that lists its prefix cache asks for all others, so that a cut of many
//! daemons costs each target few questions.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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
use ggt_wire::lifetimes::DoubtedTarget;
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

/// Targets in doubt by their short hashes, and when something last spoke against each.
type DoubtMap = BTreeMap<u32, MonoTime>;

/// Questions to targets that have not been sent yet, by the targets' short hashes. A reply counts only for those who
/// asked before it was requested.
pub type StartQuestions = BTreeMap<u32, Rc<StartQuestion>>;

/// Asks targets whose incarnations are in doubt for their starts, until the task is dropped.
pub async fn run_lifetimes(state: Rc<FrontState>) {
    loop {
        sleep(CHECK_INTERVAL).await;
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

    /// Asks the targets that may serve a stream of this version, if all that are left and were not tried are in doubt.
    /// Returns the version that the stream needs: that of a target that was in doubt when the stream began there may be
    /// known now.
    pub(super) async fn settle_version(
        self: &Rc<Self>,
        service: &str,
        version: SoftwareVersion,
        tried: &[TargetKey],
    ) -> SoftwareVersion {
        let began_at = self.pool.borrow().target_of_unknown_version(service, version);
        let version = match began_at {
            Some(key) => self.settled_version(key).await.unwrap_or(version),
            None => version,
        };
        let doubted = self.pool.borrow().doubted_targets(service, version, tried);
        if !doubted.is_empty() {
            // Those that have not replied by then stay in doubt.
            let _ = timeout(SETTLE_TIMEOUT, self.settle_lifetimes(&doubted)).await;
        }
        version
    }

    /// The registered version of a target, if it says now that it is the registered incarnation.
    async fn settled_version(self: &Rc<Self>, key: TargetKey) -> Option<SoftwareVersion> {
        let now = mono_now();
        let hash = self.pool.borrow().target(key)?.short_hash;
        let asked = self.settle_doubts(vec![(hash, now)]);
        // Without a reply by then it stays in doubt.
        let _ = timeout(SETTLE_TIMEOUT, asked).await;
        let pool = self.pool.borrow();
        let target = pool.target(key).filter(|target| target.lifetime.is_confirmed_since(now))?;
        Some(target.record.version)
    }

    /// Has these targets asked for their starts and applies what they say.
    async fn settle_lifetimes(self: &Rc<Self>, keys: &[TargetKey]) {
        let doubts: Vec<_> = {
            let pool = self.pool.borrow();
            let targets = keys.iter().filter_map(|key| pool.target(*key));
            targets.map(|target| (target.short_hash, target.lifetime.doubted_at())).collect()
        };
        self.settle_doubts(doubts).await;
    }

    async fn settle_doubts(self: &Rc<Self>, doubts: Vec<(u32, MonoTime)>) {
        let mut by_lister: BTreeMap<Option<SocketAddr>, DoubtMap> = BTreeMap::new();
        for (hash, doubted_at) in doubts {
            by_lister.entry(self.lister(hash)).or_default().insert(hash, doubted_at);
        }
        let mut asked = JoinSet::new();
        for (lister, doubts) in by_lister {
            let state = self.clone();
            asked.spawn_local(async move {
                match lister {
                    Some(peer) => state.ask_through(peer, doubts).await,
                    None => drop(state.ask_targets(&doubts).await),
                }
            });
        }
        while asked.join_next().await.is_some() {}
    }

    /// Has a peer ask these targets, and asks those that it says nothing of.
    async fn ask_through(self: &Rc<Self>, peer: SocketAddr, mut doubts: DoubtMap) {
        let mut open = self.lifetime_inquiries.open();
        let now = mono_now();
        let targets: Vec<_> =
            doubts.iter().map(|(hash, at)| DoubtedTarget::new(*hash, *at, now)).collect();
        for targets in targets.chunks(MAX_ASKED_TARGETS) {
            let question = LifetimeQuestion { number: open.number(), targets: targets.to_vec() };
            self.send_encoded(encode_lifetime_question(&question), peer, "lifetime-question").await;
        }
        // What the peer has not said by then is asked by this daemon.
        let _ = timeout(PEER_TIMEOUT, self.collect_starts(&mut open, &mut doubts)).await;
        self.ask_targets(&doubts).await;
    }

    async fn collect_starts(
        &self,
        open: &mut OpenInquiry<Vec<TargetStart>>,
        doubts: &mut DoubtMap,
    ) {
        while !doubts.is_empty()
            && let Some((peer, starts)) = open.receiver.recv().await
        {
            for TargetStart { target, start } in starts {
                if let Some(doubted_at) = doubts.remove(&target) {
                    // It says nothing of what has come up since.
                    self.apply_start(target, start, doubted_at, &peer.to_string());
                }
            }
        }
    }

    /// What targets say of their starts, by their short hashes; those that do not reply are left out.
    async fn ask_targets(self: &Rc<Self>, doubts: &DoubtMap) -> Vec<TargetStart> {
        let mut asked = JoinSet::new();
        for (hash, doubted_at) in doubts {
            let (state, target, doubted_at) = (self.clone(), *hash, *doubted_at);
            asked.spawn_local(async move {
                let start = match state.is_confirmed_since(target, doubted_at) {
                    true => Some(StatedStart::Registered),
                    false => state.ask_start(target).await,
                };
                start.map(|start| TargetStart { target, start })
            });
        }
        asked.join_all().await.into_iter().flatten().collect()
    }

    fn is_confirmed_since(&self, hash: u32, time: MonoTime) -> bool {
        let pool = self.pool.borrow();
        let target = pool.by_short_hash(hash).and_then(|key| pool.target(key));
        target.is_some_and(|target| target.lifetime.is_confirmed_since(time))
    }

    /// What a target says of its start when it is asked from now on, which is applied; `None` if it does not reply.
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
            let asked_at = mono_now();
            let start = state.request_start(hash).await;
            if let Some(start) = start {
                state.apply_start(hash, start, asked_at, "target");
            }
            asked.start.set(start);
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
        let now = mono_now();
        let targets = question.targets.iter().take(MAX_ASKED_TARGETS);
        let doubts = targets.map(|doubt| (doubt.target, doubt.doubted_at(now))).collect();
        let state = self.clone();
        spawn_local(async move {
            let starts = state.ask_targets(&doubts).await;
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
