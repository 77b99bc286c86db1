//! Choice of the target of the next send, and what is logged of it.

use crate::clock::mono_now;
use crate::front::attempt::SentTarget;
use crate::front::attempt::UpstreamAttempts;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::prompts::PrefixChain;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::TargetChoice;
use ggt_core::targets::TargetPool;
use ggt_core::targets::TargetState;

impl UpstreamAttempts {
    /// Chooses the target of the next send.
    pub(super) fn try_choose(&self) -> Result<TargetChoice, ChoiceError> {
        let settings = self.state.settings();
        let silent_since = self.moving_since.get();
        // A request that leaves a silent target only goes to one with capacity.
        let may_have_run = self.may_have_run && silent_since.is_none();
        let query = ChoiceQuery { may_have_run, silent_since, ..self.query(&settings) };
        self.state.pool.borrow().choose(&query, mono_now())
    }

    /// Records and logs the choice of the target of the next send.
    pub(super) fn begin_send(&mut self, choice: TargetChoice) -> TargetChoice {
        self.moving_since.take();
        self.record_admission();
        let state = &self.state;
        let now = mono_now();
        let pool = state.pool.borrow();
        let Some(target) = pool.target(choice.key) else {
            // The send finds no target.
            self.sent_target = None;
            return choice;
        };
        self.log_route(&pool, target, &choice, now);
        let sent_target = SentTarget {
            key: choice.key,
            address: target.record.address,
            crash: target.crash_id(),
            version: target.version(),
        };
        drop(pool);
        state.metrics.record_choice(choice.reason.as_str());
        self.sent_target = Some(sent_target);
        // The silence of an earlier target says nothing about this one.
        self.stayed_since.take();
        self.tried.push(choice.key);
        choice
    }

    /// Logs a choice with all that decided it.
    fn log_route(
        &self,
        pool: &TargetPool,
        target: &TargetState,
        choice: &TargetChoice,
        now: MonoTime,
    ) {
        let job = &self.job;
        let told = target.report.map(|(report, told_at)| {
            format!("{} told_age_ms={}", report.requests(), now.millis_since(told_at))
        });
        let source = choice.source.and_then(|source| pool.target(source));
        let anchor = job.chain.as_ref().and_then(PrefixChain::placement_prefix);
        log::info!(
            "event=route request_id={} print={:016x} route={} version={} customer={} service={} target={} \
             incarnation={} software={} last_event={} first_attempt={} reason={} load={:.1} bound={:.1} \
             mean={:.1} usable={} prefix={} cached_at={} unreported={:.1} own={} peers={} told={} \
             work_time={:.2} rate_limit={} cold={} copy_from={} evacuations={} send={} left_ms={}",
            quoted(&job.id),
            job.suspects.request().0,
            job.route.name,
            job.version,
            job.customer.as_deref().unwrap_or("-"),
            job.service,
            target.record.id,
            target.record.incarnation,
            target.version(),
            job.headers.last_event.map_or("-".to_owned(), |event| event.to_string()),
            quoted(job.headers.first_attempt.as_deref().unwrap_or("-")),
            choice.reason.as_str(),
            choice.load,
            choice.bound,
            choice.figures.mean,
            choice.figures.usable,
            anchor.map_or("-".to_owned(), |anchor| format!("{:016x}", anchor.hash)),
            choice.figures.cached_at,
            choice.figures.unreported,
            target.own.requests,
            target.peers.requests,
            told.as_deref().unwrap_or("- told_age_ms=-"),
            pool.relative_work_time(choice.key, now),
            target
                .rate
                .limit(now)
                .map_or("-".to_owned(), |limit| format!("{:.2}", limit.per_second)),
            target.rate.cold_start.limit(now).is_some(),
            source.map_or("-", |source| source.record.id.as_str()),
            pool.evacuations.len(),
            self.sends + 1,
            job.remaining_ms(),
        );
    }
}
