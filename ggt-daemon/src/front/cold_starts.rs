//! Targets that are cold for some time after their start: what they state, and what is logged of it.

use std::collections::HashMap;

use crate::clock::mono_now;
use crate::front::state::FrontState;
use ggt_core::routes::RouteConfig;
use ggt_core::targets::ColdStartLimit;
use ggt_core::targets::ColdStartStatement;

impl FrontState {
    /// Applies the limits of cold targets that a configuration states.
    pub(super) fn apply_cold_start_limits(&self, config: &RouteConfig) {
        let malformed = config.services().filter(|service| service.is_cold_start_malformed);
        malformed.for_each(|service| {
            log::warn!("event=cold-start service={} outcome=malformed", service.name);
        });
        let limited = config
            .services()
            .filter_map(|service| service.cold_start.map(|limit| (service.name.clone(), limit)));
        let limits: HashMap<String, ColdStartLimit> = limited.collect();
        self.pool.borrow_mut().set_cold_start_limits(limits, mono_now());
        self.update_rate_shares();
    }

    /// Applies what a target states about its cold start; `source` is logged if it is cold. Returns whether this
    /// daemon's part of what the target takes has to be determined.
    pub(super) fn apply_cold_start(
        &self,
        id: &str,
        statement: ColdStartStatement,
        source: &str,
    ) -> bool {
        if statement == ColdStartStatement::Malformed {
            log::warn!("event=cold-start target={id} source={source} outcome=malformed");
        }
        let now = mono_now();
        let is_news = self.pool.borrow_mut().apply_cold_start(id, statement, now);
        let pool = self.pool.borrow();
        if let Some(target) = pool.target_named(id).filter(|_| is_news) {
            log::info!(
                "event=cold-start target={id} data_centre={} left_ms={} limit={:.2} source={source} status=cold",
                target.record.data_centre,
                target.rate.cold_start.left_ms(now),
                target.rate.limit(now).map_or(0.0, |limit| limit.per_second),
            );
        }
        is_news
    }
}
