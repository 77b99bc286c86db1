//! Admission of requests by utilisation and customer shares, and refusals when a service is full.

use http::StatusCode;

use crate::clock::mono_now;
use crate::front::answer::FrontRefusal;
use crate::front::attempt::AttemptRun;
use crate::front::settings::FrontSettings;
use crate::logging::quoted;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::FullNote;

/// `retry-after` in milliseconds when the service has no usable target.
const NO_TARGET_RETRY_MS: u64 = 400;
/// Utilisation of a service (load over capacity) from which customers' fair shares are enforced.
const SHARE_FROM: f64 = 0.9;

impl AttemptRun {
    pub(super) fn query<'a>(&'a self, settings: &'a FrontSettings) -> ChoiceQuery<'a> {
        let job = &self.job;
        ChoiceQuery {
            service: &job.service,
            chain: job.chain.as_ref(),
            spread_hash: ggt_core::routes::share_hash(&job.id),
            goal_ms: job.route.goal_ms,
            priority: job.priority,
            data_centre: &settings.data_centre,
            tried: &self.tried,
            has_begun: self.may_have_run,
            is_idempotent: job.route.is_idempotent,
        }
    }

    /// Counts the request against its customer's share of the service, at most once. While the service
    /// is nearly full, refuses customers that exceed their fair share.
    pub(super) fn admit(&mut self) -> Result<(), FrontRefusal> {
        if self.ticket.is_some() || self.may_have_run {
            return Ok(());
        }
        let settings = self.state.settings();
        let now = mono_now();
        self.state.pool.borrow_mut().note_asked(&self.job.service, self.job.priority, now);
        let utilisation = self.state.pool.borrow().utilisation(&self.query(&settings), now);
        let customer = self.job.customer.clone().unwrap_or_default();
        let mut shares = self.state.shares.borrow_mut();
        let pool = (self.job.service.clone(), self.job.priority);
        let admitted = shares.admit(&pool, &customer, 1.0, utilisation, SHARE_FROM);
        drop(shares);
        match admitted {
            Ok(ticket) => {
                self.ticket = Some(ticket);
                Ok(())
            }
            Err(_) => {
                let status = StatusCode::TOO_MANY_REQUESTS;
                Err(FrontRefusal { status, ..self.not_run_full("over-share") })
            }
        }
    }

    /// Refusal of a request that has not run because the service is full, with the estimated time until
    /// a slot is free. Also logs the service's state.
    pub(super) fn not_run_full(&self, cause: &'static str) -> FrontRefusal {
        let settings = self.state.settings();
        let (job, query) = (&self.job, self.query(&settings));
        let mut pool = self.state.pool.borrow_mut();
        let now = mono_now();
        let utilisation = pool.utilisation(&query, now);
        let FullNote { retry_after_ms, full_ms, hold_ms } = pool.note_full(&query, now);
        log::info!(
            "event=full request_id={} customer={} service={} priority={} cause={cause} \
             utilisation={utilisation:.2} hold_ms={:.0} full_ms={full_ms} \
             retry_after_ms={retry_after_ms}",
            quoted(&job.id),
            job.customer.as_deref().unwrap_or("-"),
            job.service,
            job.priority,
            hold_ms.unwrap_or_default(),
        );
        FrontRefusal::not_run(cause, retry_after_ms)
    }

    /// Final response when no target could be chosen.
    pub(super) fn no_choice(&self, error: ChoiceError) -> FrontRefusal {
        match (self.may_have_run, error) {
            (true, _) => FrontRefusal::new(StatusCode::BAD_GATEWAY, "no-target"),
            (false, ChoiceError::NoTarget) => {
                FrontRefusal::not_run("no-target", NO_TARGET_RETRY_MS)
            }
            (false, ChoiceError::Full) => self.not_run_full("no-room"),
        }
    }
}
