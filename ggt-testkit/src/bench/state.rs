//! Memory per claim, target and suspected request, measured in this process.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::bench::usage::usage_of;
use ggt_core::claims::ActionKey;
use ggt_core::claims::ActionOutcome;
use ggt_core::claims::AttemptId;
use ggt_core::claims::ClaimHolder;
use ggt_core::claims::ClaimRequest;
use ggt_core::claims::HolderOptions;
use ggt_core::claims::SettleRequest;
use ggt_core::claims::StoredReply;
use ggt_core::clock::MonoTime;
use ggt_core::clock::WallTime;
use ggt_core::config::DaemonSection;
use ggt_core::config::RosterSection;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::CrashOptions;
use ggt_core::crashes::CrashRecord;
use ggt_core::crashes::CrashSource;
use ggt_core::crashes::CrashTable;
use ggt_core::crashes::SuspectKey;
use ggt_core::hosts::HostEntry;
use ggt_core::hosts::HostList;
use ggt_core::hosts::HostState;
use ggt_core::ident::DaemonName;
use ggt_core::routing::RoutingOptions;
use ggt_core::routing::RoutingTable;

const CLAIMS: usize = 100_000;
const REPLY_BYTES: usize = 200;
const TARGETS: usize = 50_000;
const SUSPECTS: usize = 50_000;
const WINDOW_MS: u64 = 3_600_000;
const START_MS: u64 = 1_000_000_000;

/// Resident memory per entry of each kind of state.
#[derive(Clone, Debug, Serialize)]
pub struct StateOutcome {
    /// Bytes per entry, by kind of state.
    pub bytes: BTreeMap<&'static str, f64>,
}

/// Measures the memory that a claim, a target and a suspected request take.
pub fn measure_state() -> StateOutcome {
    let mut bytes = BTreeMap::new();
    // Every table lives until the end: memory freed by one would be reused by the next and not be measured.
    let (claim, _holder) = measure_growth(CLAIMS, || fill_holder(CLAIMS));
    let (target, _table) = measure_growth(TARGETS, || fill_table(TARGETS));
    let (suspect, _suspects) = measure_growth(SUSPECTS, || fill_suspects(SUSPECTS));
    bytes.insert("claim with a reply of 200 bytes", claim);
    bytes.insert("target", target);
    bytes.insert("request under suspicion", suspect);
    StateOutcome { bytes }
}

/// Growth of resident memory per entry while `fill` creates `count` entries, and what it created.
fn measure_growth<T, F>(count: usize, fill: F) -> (f64, T)
where
    F: FnOnce() -> T,
{
    let resident = || usage_of(std::process::id()).resident_bytes;
    let before = resident();
    let filled = fill();
    (resident().saturating_sub(before) as f64 / count as f64, filled)
}

fn fill_holder(count: usize) -> ClaimHolder {
    let name = DaemonName::from("d1");
    let section = DaemonSection {
        data_centre: "a".into(),
        peer: ([127, 0, 0, 1], 1).into(),
        added: 0,
        removed: None,
    };
    let roster = RosterSection { epoch: 0, daemons: BTreeMap::from([(name.clone(), section)]) };
    let options = HolderOptions {
        resend_window_ms: WINDOW_MS,
        max_clock_error_ms: 10,
        max_claims: count,
        max_reply_bytes: usize::MAX,
    };
    let mut holder = ClaimHolder::new(name.clone(), WallTime::from_millis(START_MS));
    let now = WallTime::from_millis(START_MS + 1_000);
    for number in 0..count {
        let key = ActionKey {
            customer: "customer-001".into(),
            text: format!("01a23e83-e7c4-7630-9409-{number:012x}"),
            minted_at: Some(now),
        };
        let attempt =
            AttemptId { daemon: name.clone(), incarnation: START_MS, number: number as u64 };
        let request =
            ClaimRequest { key: key.clone(), content_hash: 1, attempt: attempt.clone(), epoch: 0 };
        holder.claim(&request, &roster, &options, now);
        let reply = StoredReply {
            status: 200,
            content_type: Some("application/json".to_owned()),
            body: Some("x".repeat(REPLY_BYTES)),
        };
        let outcome = ActionOutcome::Ran(reply);
        holder.settle(SettleRequest { key, attempt, outcome }, &options);
    }
    assert_eq!(holder.stats().claims, count, "some claims were not granted");
    holder
}

fn fill_table(count: usize) -> RoutingTable {
    let targets = (0..count)
        .map(|number| HostEntry {
            name: format!("recife-a-engine-{number}").as_str().into(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "recife-a".into(),
            workload: "intake".into(),
            incarnation: 1,
            capacity: 64,
            state: HostState::Live,
        })
        .collect();
    let mut table = RoutingTable::default();
    let list = HostList { version: 1, targets };
    table.apply_hosts(&list, &RoutingOptions::default(), MonoTime::default());
    table
}

fn fill_suspects(count: usize) -> CrashTable {
    let mut table = CrashTable::new(CrashOptions { capacity: count, ..CrashOptions::default() });
    for number in 0..count as u64 {
        table.record_crash(CrashRecord {
            suspect: SuspectKey(number),
            crash: CrashId(number),
            noticed_at: MonoTime::default(),
            expires_at: MonoTime::from_millis(1),
            source: CrashSource::Own,
        });
    }
    table
}
