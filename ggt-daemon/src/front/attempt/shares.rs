//! Customers' shares of a service near its capacity: of this daemon's part of the traffic, or of the whole fleet.

use http::StatusCode;

use crate::clock::mono_now;
use crate::front::attempt::UpstreamAttempts;
use crate::front::job::FrontJob;
use crate::front::response::FrontRefusal;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::limits::DemandQuery;
use ggt_core::limits::OverFleetShare;

/// Utilisation of a service (load over capacity) from which customers' fair shares are enforced.
const FAIR_SHARE_UTILISATION: f64 = 0.9;

/// That a request is over its customer's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShareDenial {
    /// The service's load over its capacity.
    utilisation: f64,
    /// The part of the customer's requests that the fleet admits, if shares are those of the fleet.
    admitted_part: Option<f64>,
}

/// How far a request's admission by shares has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ShareState {
    /// The request has not been counted yet.
    #[default]
    New,
    /// It has been counted as offered, and is over its customer's share so far.
    Offered,
    /// It is admitted, and has not been sent since.
    Admitted,
    /// It is admitted and has been sent.
    Sent,
}

impl UpstreamAttempts {
    /// Counts the request against its customer's share of the service, at most once. While the service is near
    /// capacity, denies customers that exceed their share.
    pub(super) fn try_admit(&mut self) -> Result<(), ShareDenial> {
        let is_admitted = matches!(self.share_state, ShareState::Admitted | ShareState::Sent);
        if is_admitted || self.may_have_run {
            return Ok(());
        }
        let settings = self.state.settings();
        let now = mono_now();
        if self.share_state == ShareState::New {
            self.record_offer(now);
        }
        // A stream that goes on was admitted when it began, so it is not refused for its customer's share.
        let utilisation = match self.has_begun_before {
            true => 0.0,
            false => self.state.pool.borrow().utilisation(&self.query(&settings), now),
        };
        let admitted_part = match settings.fleet_shares {
            true => self.check_fleet_share(utilisation, now).err().map(|over| over.admitted_part),
            false => None,
        };
        if admitted_part.is_some() || (!settings.fleet_shares && !self.take_permit(utilisation)) {
            return Err(ShareDenial { utilisation, admitted_part });
        }
        self.share_state = ShareState::Admitted;
        Ok(())
    }

    /// Admits the request whatever its customer's share: nobody else waits for the place.
    pub(super) fn admit_over_share(&mut self) {
        if self.permit.is_none() && !self.state.settings().fleet_shares {
            self.take_permit(0.0);
        }
        self.share_state = ShareState::Admitted;
    }

    /// Counts the request as admitted for its customer's share of the fleet, once it has a target.
    pub(super) fn record_admission(&mut self) {
        if self.share_state == ShareState::Admitted {
            self.share_state = ShareState::Sent;
            let query = demand_query(&self.job, 0.0);
            self.state.demands.borrow_mut().record_admission(&query, mono_now());
        }
    }

    /// Final response to a request that is over its customer's share.
    pub(super) fn share_refusal(&self, denial: ShareDenial) -> FrontRefusal {
        let ShareDenial { utilisation, admitted_part } = denial;
        if let Some(admitted_part) = admitted_part {
            log::info!(
                "event=share request_id={} customer={} service={} priority={} status=over \
                 admitted_part={admitted_part:.3} utilisation={utilisation:.2}",
                quoted(&self.job.id),
                self.job.customer.as_deref().unwrap_or("-"),
                self.job.service,
                self.job.priority,
            );
        }
        let status = StatusCode::TOO_MANY_REQUESTS;
        FrontRefusal { status, ..self.overload_refusal("over-share") }
    }

    fn record_offer(&mut self, now: MonoTime) {
        let job = &self.job;
        self.state.pool.borrow_mut().record_request(&job.service, job.priority, now);
        self.state.demands.borrow_mut().record_offer(&demand_query(job, 0.0), now);
        self.share_state = ShareState::Offered;
    }

    /// Takes the request's permit of this daemon's shares; `false` if the customer exceeds its own.
    fn take_permit(&mut self, utilisation: f64) -> bool {
        let customer = self.job.customer.clone().unwrap_or_default();
        let pool = (self.job.service.clone(), self.job.priority);
        let mut shares = self.state.shares.borrow_mut();
        let admission = shares.admit(&pool, &customer, 1.0, utilisation, FAIR_SHARE_UTILISATION);
        self.permit = admission.ok();
        self.permit.is_some()
    }

    fn check_fleet_share(&self, utilisation: f64, now: MonoTime) -> Result<(), OverFleetShare> {
        let fleet = self.state.fleet.borrow();
        let reports = fleet.alive(now).flat_map(|peer| &peer.digest.demands);
        let others = fleet.alive(now).next().is_some().then_some(reports);
        let query = demand_query(&self.job, utilisation);
        self.state.demands.borrow_mut().check(&query, others, now)
    }
}

/// What a customer's share of the fleet is determined from.
fn demand_query(job: &FrontJob, utilisation: f64) -> DemandQuery<'_> {
    DemandQuery {
        service: &job.service,
        priority: job.priority,
        customer: job.customer.as_deref().unwrap_or_default(),
        request_hash: ggt_core::routes::split_hash(&job.id),
        utilisation,
        share_from: FAIR_SHARE_UTILISATION,
    }
}
