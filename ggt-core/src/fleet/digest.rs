//! Digests: the state that daemons send to each other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::crashes::CrashReport;
use crate::crashes::SuspectKey;
use crate::limits::DemandReport;
use crate::targets::FragilityRecord;
use crate::targets::FragilityStatement;
use crate::targets::InFlightLoad;
use crate::targets::LoadReport;
use crate::targets::LoadStatement;
use crate::targets::RateStatement;
use crate::targets::WorkTimeStatement;

/// State that a daemon sends to all others. Encoded with postcard: the order of the fields is part
/// of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerDigest {
    /// Address on which the daemon receives digests and calls.
    pub address: SocketAddr,
    /// Incarnation of the daemon, higher than that of any earlier process at the address.
    pub incarnation: u64,
    /// Sequence number, which increases with each digest of one incarnation.
    pub number: u64,
    /// Short hash of the daemon's data centre.
    #[serde(rename = "centre")]
    pub centre_hash: u32,
    /// Bandwidth of its host's link in megabits per second.
    pub link_mbps: u32,
    /// Whether the daemon watches the platform itself.
    pub is_watching: bool,
    /// Milliseconds since the daemon started, when the digest was made.
    pub age_ms: u64,
    /// Whether the daemon is draining.
    pub is_leaving: bool,
    /// Revision of the latest change of a target that the daemon has.
    pub target_revision: u64,
    /// Revision of the configuration that the daemon has.
    pub config_revision: u64,
    /// Milliseconds since the platform last replied to the daemon.
    pub platform_age_ms: u32,
    /// Load of the daemon's requests in flight, by short hash of the target.
    pub loads: Vec<(u32, InFlightLoad)>,
    /// Prefixes that targets recently cached for the daemon, as pairs of the short hashes of prefix
    /// and target.
    #[serde(rename = "reads")]
    pub cached_prefixes: Vec<(u32, u32)>,
    /// Requests that were in flight when a target crashed.
    #[serde(rename = "deaths")]
    pub crashes: Vec<(SuspectKey, CrashId)>,
    /// Some of the daemons that it has discovered.
    #[serde(rename = "named")]
    pub known_peers: Vec<SocketAddr>,
    /// Milliseconds since each of `crashes` was noticed, in the same order; a missing one counts as
    /// 0. Digests of earlier builds end before this field.
    pub crash_ages_ms: Vec<u32>,
    /// Suspected requests that completed on the daemon, so that they crashed no target. Digests of
    /// earlier builds end before this field.
    pub exonerated: Vec<SuspectKey>,
    /// Rates that targets say they take. Digests of earlier builds end before this field.
    pub rates: Vec<RateReport>,
    /// What the daemon can do with requests that peers forward to it. Digests of earlier builds end
    /// before this field.
    pub reach: PeerReach,
    /// Services whose targets fall over when they turn away too many requests. Digests of earlier builds
    /// end before this field.
    pub fragile: Vec<FragilityReport>,
    /// Loads that targets have lately stated to the sender. Digests of earlier builds end before this field.
    pub stated_loads: Vec<StatedLoadReport>,
    /// Work times that targets have lately stated to the sender. Digests of earlier builds end before this field.
    pub work_times: Vec<WorkTimeReport>,
    /// Short hashes of targets at whose addresses other instances have lately replied to the sender. Digests of
    /// earlier builds end before this field.
    pub replaced: Vec<u32>,
    /// What the sender is offered for services that are near their capacity. Digests of earlier builds end before
    /// this field.
    pub demands: Vec<DemandReport>,
    /// Targets that have lately ended, by what the sender has seen or the targets have said. Digests of earlier builds
    /// end before this field.
    pub ended: Vec<EndReport>,
}

/// What a daemon can do with requests that peers forward to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReach {
    /// Version of the protocol between daemons that it speaks; 0 if it takes no forwarded requests.
    pub protocol: u8,
    /// Short hashes of the services of which it reaches no target.
    pub unreached: Vec<u32>,
}

/// What the targets of a service told the sender of a digest about the rejections that they stand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FragilityReport {
    /// Short hash of the service's name.
    pub service: u32,
    /// Requests that each target may turn away in a second.
    pub max_rejections: u32,
    /// Milliseconds since that was last stated, when the digest was made.
    pub named_age_ms: u32,
    /// Milliseconds since a reply last came without that statement; `None` if none has.
    pub unnamed_age_ms: Option<u32>,
    /// Short hashes of targets that have lately turned away a request of the sender.
    pub rejecting: Vec<u32>,
}

impl FragilityReport {
    /// The report of a service's record; `None` if its targets have stated no maximum.
    pub fn new(
        service: u32,
        record: &FragilityRecord,
        rejecting: Vec<u32>,
        now: MonoTime,
    ) -> Option<Self> {
        let age_ms = |time| u32::try_from(now.millis_since(time)).unwrap_or(u32::MAX);
        let (max_rejections, named_at) = record.named?;
        let (named_age_ms, unnamed_age_ms) = (age_ms(named_at), record.unnamed_at.map(age_ms));
        Some(Self { service, max_rejections, named_age_ms, unnamed_age_ms, rejecting })
    }

    /// The statements, with their times on the receiver's clock.
    pub fn statements(&self, now: MonoTime) -> impl Iterator<Item = FragilityStatement> {
        let statement = |max_rejections, age_ms: u32| {
            let millis = now.as_millis().saturating_sub(u64::from(age_ms));
            FragilityStatement { max_rejections, stated_at: MonoTime::from_millis(millis) }
        };
        let named = statement(Some(self.max_rejections), self.named_age_ms);
        let unnamed = self.unnamed_age_ms.map(|age_ms| statement(None, age_ms));
        std::iter::once(named).chain(unnamed)
    }
}

/// What a target stated in a reply to the sender of a digest about the rate that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateReport {
    /// Short hash of the target.
    pub target: u32,
    /// Requests per second from all daemons together; `None` if there is no limit any more.
    pub limit: Option<f32>,
    /// Milliseconds since the request was sent, when the digest was made.
    pub sent_age_ms: u32,
    /// Milliseconds since the reply was received, when the digest was made.
    pub received_age_ms: u32,
}

impl RateReport {
    /// The report of a target's statement.
    pub fn new(target: u32, statement: &RateStatement, now: MonoTime) -> Self {
        let age_ms = |time| u32::try_from(now.millis_since(time)).unwrap_or(u32::MAX);
        Self {
            target,
            limit: statement.limit.map(|limit| limit as f32),
            sent_age_ms: age_ms(statement.sent_at),
            received_age_ms: age_ms(statement.received_at),
        }
    }

    /// The statement, with its times on the receiver's clock.
    pub fn statement(&self, now: MonoTime) -> RateStatement {
        let time =
            |age_ms: u32| MonoTime::from_millis(now.as_millis().saturating_sub(u64::from(age_ms)));
        RateStatement {
            limit: self.limit.map(f64::from),
            sent_at: time(self.sent_age_ms),
            received_at: time(self.received_age_ms),
        }
    }
}

/// What a target stated in a reply to the sender of a digest about the load that all daemons cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatedLoadReport {
    /// Short hash of the target.
    pub target: u32,
    /// Requests running and queued there.
    pub requests: u32,
    /// Milliseconds since the reply was received, when the digest was made.
    pub age_ms: u32,
}

impl StatedLoadReport {
    /// The report of what a target stated at `stated_at`.
    pub fn new(target: u32, load: &LoadReport, stated_at: MonoTime, now: MonoTime) -> Self {
        let age_ms = u32::try_from(now.millis_since(stated_at)).unwrap_or(u32::MAX);
        Self { target, requests: load.requests(), age_ms }
    }

    /// The statement, with its time on the receiver's clock.
    pub fn statement(&self, now: MonoTime) -> LoadStatement {
        let stated_ms = now.as_millis().saturating_sub(u64::from(self.age_ms));
        LoadStatement { requests: self.requests, stated_at: MonoTime::from_millis(stated_ms) }
    }
}

/// What a target stated in a reply to the sender of a digest about how long work takes there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkTimeReport {
    /// Short hash of the target.
    pub target: u32,
    /// Percent of the usual time.
    pub percent: u32,
    /// Milliseconds since the reply was received, when the digest was made.
    pub age_ms: u32,
}

impl WorkTimeReport {
    /// The report of a target's statement.
    pub fn new(target: u32, statement: &WorkTimeStatement, now: MonoTime) -> Self {
        let age_ms = now.millis_since(statement.stated_at);
        let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        Self { target, percent: statement.percent, age_ms }
    }

    /// The statement, with its time on the receiver's clock.
    pub fn statement(&self, now: MonoTime) -> WorkTimeStatement {
        let stated_ms = now.as_millis().saturating_sub(u64::from(self.age_ms));
        WorkTimeStatement { percent: self.percent, stated_at: MonoTime::from_millis(stated_ms) }
    }
}

/// The end of a target, as the sender of a digest knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// Short hash of the target's incarnation.
    pub target: u32,
    /// Milliseconds since it was noticed, when the digest was made.
    pub age_ms: u32,
}

impl EndReport {
    /// When it was noticed, on the receiver's clock.
    pub fn noticed_at(&self, now: MonoTime) -> MonoTime {
        MonoTime::from_millis(now.as_millis().saturating_sub(u64::from(self.age_ms)))
    }
}

impl PeerDigest {
    /// A digest that reports nothing, of a daemon that does not watch the platform.
    pub fn new(address: SocketAddr, incarnation: u64, number: u64) -> Self {
        Self {
            address,
            incarnation,
            number,
            centre_hash: 0,
            link_mbps: 0,
            is_watching: false,
            age_ms: 0,
            is_leaving: false,
            target_revision: 0,
            config_revision: 0,
            platform_age_ms: 0,
            loads: Vec::new(),
            cached_prefixes: Vec::new(),
            crashes: Vec::new(),
            known_peers: Vec::new(),
            crash_ages_ms: Vec::new(),
            exonerated: Vec::new(),
            rates: Vec::new(),
            reach: PeerReach::default(),
            fragile: Vec::new(),
            stated_loads: Vec::new(),
            work_times: Vec::new(),
            replaced: Vec::new(),
            demands: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Sets the crashes that the digest reports, with their ages at `now`.
    pub fn set_crashes(&mut self, reports: &[CrashReport], now: MonoTime) {
        self.crashes = reports.iter().map(|report| (report.suspect, report.crash)).collect();
        let ages_ms = reports.iter().map(|report| now.millis_since(report.noticed_at));
        self.crash_ages_ms = ages_ms.map(|age| u32::try_from(age).unwrap_or(u32::MAX)).collect();
    }

    /// The crashes that the digest reports, with the times at which they were noticed.
    pub fn crash_reports(&self, now: MonoTime) -> impl Iterator<Item = CrashReport> + '_ {
        let ages_ms = self.crash_ages_ms.iter().copied().chain(std::iter::repeat(0));
        self.crashes.iter().zip(ages_ms).map(move |((suspect, crash), age_ms)| {
            let noticed_ms = now.as_millis().saturating_sub(u64::from(age_ms));
            CrashReport {
                suspect: *suspect,
                crash: *crash,
                noticed_at: MonoTime::from_millis(noticed_ms),
            }
        })
    }
}
