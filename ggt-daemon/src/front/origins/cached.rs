//! Finds out which version began a stream that no daemon knows, from the targets' prefix caches.
//!
//! Each target is listed by one daemon, which replies to the questions of the others, so that no target is asked by
//! all of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::join;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::front::cache_lists::list_part;
use crate::front::job::FrontJob;
use crate::front::origins::inquiries::OpenInquiry;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::targets::TargetState;
use ggt_core::versions::BUSY_GRACE_MS;
use ggt_core::versions::CACHE_ASK_MS;
use ggt_core::versions::CacheVerdict;
use ggt_core::versions::ListedPart;
use ggt_core::versions::OriginTarget;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::StreamPart;
use ggt_core::versions::StreamProgress;
use ggt_core::versions::judge_cached;
use ggt_wire::origins::CacheAnswer;
use ggt_wire::origins::CacheQuestion;
use ggt_wire::origins::encode_cache_answer;
use ggt_wire::origins::encode_cache_question;

/// Maximum number of targets that a log line names.
const MAX_LOGGED_PARTS: usize = 8;
/// Maximum number of targets in one question, so that the reply fits into a datagram.
const MAX_ASKED_TARGETS: usize = 100;
const ASK_TIMEOUT: Duration = Duration::from_millis(CACHE_ASK_MS);
/// Time in which replies that have arrived are read.
const BUSY_GRACE: Duration = Duration::from_millis(BUSY_GRACE_MS);

/// Judges by the targets' prefix caches which version began the stream that a request takes up.
pub(super) async fn find_cached(state: &Rc<FrontState>, job: &FrontJob) -> CacheVerdict {
    let Some(chain) = &job.chain else { return CacheVerdict::NoPart };
    let Some(part) = chain.own_part() else { return CacheVerdict::NoPart };
    let targets = origin_targets(state, &job.service);
    let (listed, ()) = join!(ask_listers(state, &targets, part.hash), await_past(state));
    let service = ServiceKey::named(&job.service);
    let memory_ms = state.stream_memory_ms.get();
    let other_losses =
        |version| state.versions.borrow().other_losses(service, version, memory_ms, mono_now());
    let progress = stream_progress(state, job);
    let part = StreamPart { tokens: part.tokens, prompt_tokens: chain.tokens(), progress };
    let verdict = judge_cached(&part, &targets, &listed, other_losses);
    log_evidence(job, &part, &targets, &listed, verdict);
    verdict
}

/// Waits until the versions of before this daemon's start are known, as long as lists may take.
async fn await_past(state: &FrontState) {
    let read = state.past_read.notified();
    if state.is_past_pending() {
        // After that, the verdict says that they are not.
        let _ = timeout(ASK_TIMEOUT, read).await;
    }
}

/// How much the stream that a request takes up had generated, if its service states how many tokens an event has.
fn stream_progress(state: &FrontState, job: &FrontJob) -> Option<StreamProgress> {
    let config = state.route_config()?;
    let event_tokens = config.service(&job.service)?.engine?.event_tokens?;
    Some(StreamProgress::after_event(job.headers.last_event?, event_tokens))
}

/// Logs what a verdict rests on: what the request states, and what the targets that have its part keep.
fn log_evidence(
    job: &FrontJob,
    part: &StreamPart,
    targets: &[OriginTarget],
    listed: &[ListedPart],
    verdict: CacheVerdict,
) {
    let kept = |target: &OriginTarget| {
        let part = listed.iter().find(|part| part.target == target.hash);
        let tokens = part.and_then(|part| part.tokens).filter(|tokens| *tokens > 0)?;
        Some(format!("{}:{tokens}", target.version))
    };
    let kept: Vec<_> = targets.iter().filter_map(kept).take(MAX_LOGGED_PARTS).collect();
    let gone = targets.iter().filter(|target| target.is_gone).count();
    log::info!(
        "event=origin-caches request_id={} outcome={} tokens={} last_event={} generated={} kept={} \
         listed={} targets={} gone={gone}",
        quoted(&job.id),
        verdict.as_str(),
        part.tokens,
        job.headers.last_event.unwrap_or_default(),
        part.progress.map_or("-".to_owned(), |progress| progress.to_string()),
        quoted(&kept.join(",")),
        listed.len(),
        targets.len(),
    );
}

/// The targets of a service at which a stream may have begun.
fn origin_targets(state: &FrontState, service: &str) -> Vec<OriginTarget> {
    let now = mono_now();
    let pool = state.pool.borrow();
    let targets = pool.of_service(service).iter().filter_map(|key| pool.target(*key));
    let is_gone = |target: &TargetState| {
        target.health.is_unreachable()
            || target.replacement.is_in_force(now)
            || target.lifetime.has_ended()
    };
    let origin_target = |target: &TargetState| OriginTarget {
        hash: target.short_hash,
        version: target.record.version,
        is_gone: is_gone(target),
    };
    targets.map(origin_target).collect()
}

/// What the lists of these targets say about a part, by the daemons that list them.
async fn ask_listers(
    state: &Rc<FrontState>,
    targets: &[OriginTarget],
    prefix: u64,
) -> Vec<ListedPart> {
    let mut own = Vec::new();
    let mut by_peer: BTreeMap<SocketAddr, Vec<u32>> = BTreeMap::new();
    for target in targets {
        match state.lister(target.hash) {
            Some(peer) => by_peer.entry(peer).or_default().push(target.hash),
            None => own.push(target.hash),
        }
    }
    let mut open = state.cache_inquiries.open();
    let asked = by_peer.values().map(Vec::len).sum();
    for (peer, hashes) in by_peer {
        for targets in hashes.chunks(MAX_ASKED_TARGETS) {
            send_question(state, peer, open.number(), prefix, targets).await;
        }
    }
    let (mut listed, replies) = join!(list_part(state, &own, prefix), collect(&mut open, asked));
    listed.extend(replies);
    listed
}

async fn send_question(
    state: &FrontState,
    peer: SocketAddr,
    number: u64,
    prefix: u64,
    targets: &[u32],
) {
    let question = CacheQuestion { number, prefix, targets: targets.to_vec() };
    state.send_encoded(encode_cache_question(&question), peer, "cache-question").await;
}

/// Collects replies until all of the `asked` targets are in them. Targets without one in time count as not listed.
async fn collect(open: &mut OpenInquiry<Vec<ListedPart>>, asked: usize) -> Vec<ListedPart> {
    let mut replies = Vec::new();
    let mut receive = async || {
        while replies.len() < asked
            && let Some((_, listed)) = open.receiver.recv().await
        {
            replies.extend(listed);
        }
    };
    if timeout(ASK_TIMEOUT, receive()).await.is_err() {
        // Replies may have arrived while this daemon was busy.
        let _ = timeout(BUSY_GRACE, receive()).await;
    }
    replies
}

impl FrontState {
    /// The other daemon that lists the prefix cache of the target with this short hash; `None` if this one does.
    pub(in crate::front) fn lister(&self, target: u32) -> Option<SocketAddr> {
        let pool = self.pool.borrow();
        let location = pool.by_short_hash(target).and_then(|key| pool.target(key))?.location_hash;
        self.fleet.borrow().lister(location, mono_now())
    }
}

/// Replies to a daemon that asks which targets have a prompt part cached.
pub(super) async fn answer_cached(
    state: &Rc<FrontState>,
    question: CacheQuestion,
    peer: SocketAddr,
) {
    let targets = &question.targets[..question.targets.len().min(MAX_ASKED_TARGETS)];
    let listed = list_part(state, targets, question.prefix).await;
    let answer = CacheAnswer { number: question.number, listed };
    state.send_encoded(encode_cache_answer(&answer), peer, "cache-question").await;
}
