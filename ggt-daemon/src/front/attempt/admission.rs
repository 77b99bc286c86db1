//! Refusals of requests that no target takes, and when their callers should retry.

use http::StatusCode;

use crate::clock::mono_now;
use crate::front::attempt::UpstreamAttempts;
use crate::front::response::FrontRefusal;
use crate::front::settings::FrontSettings;
use crate::logging::quoted;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::OverloadEstimate;

/// `retry-after` in milliseconds when the service has no usable target.
const NO_TARGET_RETRY_MS: u64 = 400;
/// `retry-after` in milliseconds when all targets of the service are in evacuated data centres.
const EVACUATED_RETRY_MS: u64 = 1_000;
/// `retry-after` in milliseconds when the service has no target in an allowed region.
const NOT_ALLOWED_RETRY_MS: u64 = 1_000;
/// `retry-after` in milliseconds when no usable target has the version that began the stream.
const NO_VERSION_RETRY_MS: u64 = 1_000;

impl UpstreamAttempts {
    /// Inputs for the choice of a target.
    pub(super) fn query<'a>(&'a self, settings: &'a FrontSettings) -> ChoiceQuery<'a> {
        let job = &self.job;
        ChoiceQuery {
            service: &job.service,
            chain: job.chain.as_ref(),
            spread_hash: ggt_core::routes::split_hash(&job.id),
            goal_ms: job.route.goal_ms,
            priority: job.priority,
            data_centre: &settings.data_centre,
            tried: &self.tried,
            may_have_run: self.may_have_run,
            is_idempotent: job.route.is_idempotent,
            silent_since: None,
            version: self.version.get(),
            allowed_centres: job.allowed_centres.as_deref(),
        }
    }

    /// Refusal of a request that has not run because the service is overloaded; `retry-after` grows
    /// with the duration of the overload. Also logs the service's state.
    pub(super) fn overload_refusal(&self, cause: &'static str) -> FrontRefusal {
        let settings = self.state.settings();
        let (job, query) = (&self.job, self.query(&settings));
        let mut pool = self.state.pool.borrow_mut();
        let now = mono_now();
        let utilisation = pool.utilisation(&query, now);
        let OverloadEstimate { retry_after_ms, full_ms, slot_ms } =
            pool.record_overload(&query, now);
        log::info!(
            "event=full request_id={} customer={} service={} priority={} cause={cause} \
             utilisation={utilisation:.2} hold_ms={:.0} full_ms={full_ms} \
             retry_after_ms={retry_after_ms}",
            quoted(&job.id),
            job.customer.as_deref().unwrap_or("-"),
            job.service,
            job.priority,
            slot_ms.unwrap_or_default(),
        );
        FrontRefusal::not_run(cause, retry_after_ms)
    }

    /// Final response when no target could be chosen.
    pub(super) fn choice_refusal(&self, error: ChoiceError) -> FrontRefusal {
        if error == ChoiceError::NoTarget {
            self.state.log_cut(&self.job.service, "no-target");
        }
        let refuse_now = |cause: &'static str, retry_after_ms: u64| {
            let settings = self.state.settings();
            let query = self.query(&settings);
            // Targets that have just turned the request away may be the only ones.
            let closed_ms = self.state.pool.borrow().millis_until_reopened(&query, mono_now());
            FrontRefusal::not_run(cause, retry_after_ms.max(closed_ms))
        };
        match (self.may_have_run, error) {
            (true, _) => FrontRefusal::new(StatusCode::BAD_GATEWAY, "no-target"),
            (false, ChoiceError::NoTarget) => refuse_now("no-target", NO_TARGET_RETRY_MS),
            (false, ChoiceError::NotAllowed) => refuse_now("not-allowed", NOT_ALLOWED_RETRY_MS),
            (false, ChoiceError::Evacuated) => refuse_now("evacuated", EVACUATED_RETRY_MS),
            (false, ChoiceError::NoVersion) => refuse_now("no-version", NO_VERSION_RETRY_MS),
            (false, ChoiceError::Full) => self.overload_refusal("no-room"),
            (false, ChoiceError::Closed) => self.overload_refusal("closed"),
            (false, ChoiceError::RateLimited) => self.overload_refusal("rate-limited"),
            (false, ChoiceError::Fragile) => self.overload_refusal("targets-fragile"),
        }
    }
}
