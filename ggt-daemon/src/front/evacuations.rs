//! Data centres that the operator evacuates: changes of the platform's entries, and what is logged of them.

use crate::clock::mono_now;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::evacuation::EndedEvacuation;
use ggt_core::store_cache::StoreChange;

impl FrontState {
    /// Applies a change of the entry that evacuates a data centre; `source` is logged.
    ///
    /// The entry's name counts, whatever its value. After an outage of the store, or when it has come back from an
    /// older copy, an entry that is missing may be written again, so the end of the evacuation is delayed.
    pub(super) fn apply_evacuation(&self, data_centre: &str, change: &StoreChange, source: &str) {
        let now = mono_now();
        let revision = change.revision;
        let name = quoted(data_centre);
        if change.value.is_some() {
            let is_new = self.pool.borrow_mut().evacuations.begin(data_centre, now);
            let (targets, in_flight) = self.count_targets(data_centre);
            let status = if is_new { "in-force" } else { "listed-again" };
            log::info!(
                "event=evacuation data_centre={name} status={status} revision={revision} source={source} \
                 targets={targets} in_flight={in_flight}"
            );
            if targets == 0 {
                log::warn!(
                    "event=evacuation data_centre={name} cause=\"no target is registered there\""
                );
            }
        } else {
            let ends_at = self.outage.get().removal_time(now);
            if self.pool.borrow_mut().evacuations.end_at(data_centre, ends_at) {
                log::info!(
                    "event=evacuation data_centre={name} status=unlisted revision={revision} source={source} \
                     ends_in_ms={}",
                    ends_at.millis_since(now),
                );
            }
        }
        self.expire_evacuations(now);
    }

    /// Ends the evacuations whose end has come.
    pub(super) fn expire_evacuations(&self, now: MonoTime) {
        let ended = self.pool.borrow_mut().evacuations.expire(now);
        for EndedEvacuation { data_centre, began_at } in &ended {
            // Its targets may have started again meanwhile, and their registrations may not say so yet.
            let cold = self.pool.borrow_mut().record_possible_starts(data_centre, now);
            log::info!(
                "event=evacuation data_centre={} status=ended after_ms={} cold={cold}",
                quoted(data_centre),
                now.millis_since(*began_at),
            );
        }
        if !ended.is_empty() {
            self.update_rate_shares();
        }
        self.metrics.record_evacuations(self.pool.borrow().evacuations.len() as u64);
    }

    /// The number of targets in a data centre, and of this daemon's requests in flight there.
    fn count_targets(&self, data_centre: &str) -> (usize, u32) {
        let pool = self.pool.borrow();
        let targets = pool.iter().filter(|(_, state)| state.record.data_centre == data_centre);
        targets.fold((0, 0), |(count, requests), (_, state)| {
            (count + 1, requests + state.own.requests)
        })
    }
}
