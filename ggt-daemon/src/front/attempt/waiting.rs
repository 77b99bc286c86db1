//! Requests that find no place now wait for one, if it is certain within their latency objective.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::attempt::UpstreamAttempts;
use crate::front::attempt::shares::ShareDenial;
use crate::front::response::FrontRefusal;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::ident::stable_hash;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::TargetChoice;
use ggt_core::waiting::RoomForecast;
use ggt_core::waiting::WaitRequest;
use ggt_core::waiting::WaitTicket;
use ggt_core::waiting::latest_start;

/// Interval at which waiting requests look for a place.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Why a request cannot be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SendDenial {
    /// It is over its customer's share.
    OverShare(ShareDenial),
    /// No target takes it.
    NoTarget(ChoiceError),
}

impl SendDenial {
    /// Whether it ends as other requests end.
    const fn ends_soon(&self) -> bool {
        matches!(
            self,
            Self::OverShare(_) | Self::NoTarget(ChoiceError::Full | ChoiceError::RateLimited)
        )
    }
}

/// Place in a service's queue, which is given up when this is dropped, also by a caller that leaves.
struct QueuePlace {
    state: Rc<FrontState>,
    service: String,
    ticket: WaitTicket,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let mut queues = self.state.wait_queues.borrow_mut();
        if let Some(queue) = queues.get_mut(&self.service) {
            queue.leave(self.ticket);
        }
    }
}

impl UpstreamAttempts {
    /// Admits the request and chooses the target of the next send. If there is no room now, waits for it while it is
    /// certain in time.
    ///
    /// # Errors
    /// [`FrontRefusal`] when no target takes the request, and none is going to in time.
    pub(super) async fn choose_in_time(&mut self) -> Result<TargetChoice, FrontRefusal> {
        let denial = match self.admit_and_choose() {
            Ok(choice) if !self.must_queue() => return Ok(self.begin_send(choice)),
            Ok(_) => SendDenial::NoTarget(ChoiceError::Full),
            Err(denial) => denial,
        };
        match (self.wait_for_room(denial).await, denial) {
            (Some(choice), _) => Ok(self.begin_send(choice)),
            (None, SendDenial::OverShare(denial)) => Err(self.share_refusal(denial)),
            (None, SendDenial::NoTarget(error)) => Err(self.choice_refusal(error)),
        }
    }

    fn admit_and_choose(&mut self) -> Result<TargetChoice, SendDenial> {
        self.try_admit().map_err(SendDenial::OverShare)?;
        self.try_choose().map_err(SendDenial::NoTarget)
    }

    /// Whether requests that go first wait for the same service.
    fn must_queue(&self) -> bool {
        let queues = self.state.wait_queues.borrow();
        let queue = queues.get(&self.job.service);
        self.may_wait() && queue.is_some_and(|queue| queue.must_queue(self.job.priority))
    }

    /// Whether the request may wait at all: the settings ask for it, and it has neither run nor begun before.
    fn may_wait(&self) -> bool {
        self.state.settings().wait_for_room && !self.may_have_run && self.job.route.goal_ms > 0
    }

    /// Waits for a place; `None` if none is certain in time.
    async fn wait_for_room(&mut self, denial: SendDenial) -> Option<TargetChoice> {
        if !denial.ends_soon() || !self.may_wait() {
            return None;
        }
        let began_at = mono_now();
        let place = self.join_queue(denial)?;
        let choice = loop {
            sleep(CHECK_INTERVAL).await;
            if self.is_first(&place)
                && let Ok(choice) = self.try_choose()
            {
                self.admit_over_share();
                break Some(choice);
            }
            if !self.may_wait_on(&place) {
                break None;
            }
        };
        let outcome = if choice.is_some() { "sent" } else { "refused" };
        self.state.metrics.record_wait(outcome, mono_now().millis_since(began_at));
        log::info!(
            "event=wait request_id={} customer={} service={} priority={} outcome={outcome} waited_ms={} waiting={} \
             left_ms={}",
            quoted(&self.job.id),
            self.job.customer.as_deref().unwrap_or("-"),
            self.job.service,
            self.job.priority,
            mono_now().millis_since(began_at),
            self.state.waiting_requests(&self.job.service),
            self.job.remaining_ms(),
        );
        choice
    }

    fn join_queue(&self, denial: SendDenial) -> Option<QueuePlace> {
        let job = &self.job;
        let request = WaitRequest {
            priority: job.priority,
            customer: stable_hash(job.customer.as_deref().unwrap_or_default().as_bytes()) as u32,
            is_over_share: matches!(denial, SendDenial::OverShare(_)),
            latest_start: latest_start(job.received_at, job.route.goal_ms).min(job.deadline),
        };
        let forecast = self.room_forecast();
        let mut queues = self.state.wait_queues.borrow_mut();
        let queue = queues.entry(job.service.clone()).or_default();
        let ticket = queue.join(request, forecast, mono_now())?;
        Some(QueuePlace { state: self.state.clone(), service: job.service.clone(), ticket })
    }

    fn is_first(&self, place: &QueuePlace) -> bool {
        let queues = self.state.wait_queues.borrow();
        queues.get(&place.service).is_some_and(|queue| queue.is_first(place.ticket))
    }

    fn may_wait_on(&self, place: &QueuePlace) -> bool {
        let forecast = self.room_forecast();
        let queues = self.state.wait_queues.borrow();
        queues
            .get(&place.service)
            .is_some_and(|queue| queue.may_wait_on(place.ticket, forecast, mono_now()))
    }

    fn room_forecast(&self) -> RoomForecast {
        let now = mono_now();
        let settings = self.state.settings();
        let daemons = self.state.fleet.borrow().alive(now).count() + 1;
        self.state.pool.borrow().room_forecast(&self.query(&settings), daemons, now)
    }
}

impl FrontState {
    /// Number of requests that wait for a service.
    fn waiting_requests(&self, service: &str) -> usize {
        self.wait_queues.borrow().get(service).map_or(0, |queue| queue.len())
    }
}
