//! Targets whose registered incarnation has ended, and that are back before their registration says so.

use std::rc::Rc;

use tokio::task::spawn_local;

use crate::front::cache_lists::is_incarnation_there;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashId;
use ggt_core::targets::TargetKey;

impl FrontState {
    /// Records that an incarnation of a target has ended: what is at its address then may have another version.
    pub(super) fn record_lifetime_end(&self, crash: CrashId, cause: &str) {
        let is_news = self.pool.borrow_mut().record_end_of(crash);
        if !is_news {
            return;
        }
        let pool = self.pool.borrow();
        let ended = pool.iter().find(|(_, target)| target.crash_id() == crash);
        if let Some((_, target)) = ended {
            self.record_departure(&target.record);
            let (id, incarnation) = (&target.record.id, target.record.incarnation);
            let cause = quoted(cause);
            log::info!(
                "event=target target={id} status=ended incarnation={incarnation} cause={cause}"
            );
        }
    }

    /// Asks targets that have replied since for their start, if their registrations have not changed: only this
    /// daemon may have been cut off from them.
    pub(super) fn check_lifetimes(self: &Rc<Self>, now: MonoTime) {
        let due = self.pool.borrow_mut().due_lifetime_checks(now);
        for key in due {
            let state = self.clone();
            spawn_local(async move { check_lifetime(&state, key).await });
        }
    }
}

async fn check_lifetime(state: &FrontState, key: TargetKey) {
    let record = state.pool.borrow().target(key).map(|target| target.record.clone());
    let Some(record) = record.filter(|record| state.is_engine(record)) else { return };
    let outcome = match is_incarnation_there(record.address, record.incarnation).await {
        Ok(true) => {
            state.pool.borrow_mut().confirm_lifetime(key);
            "confirmed".to_owned()
        }
        Ok(false) => "another".to_owned(),
        Err(cause) => cause,
    };
    let (id, incarnation) = (&record.id, record.incarnation);
    log::info!("event=lifetime target={id} incarnation={incarnation} outcome={}", quoted(&outcome));
}
