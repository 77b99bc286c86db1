//! Regions to which routes and customers restrict their requests.

use crate::front::job::FrontJob;
use crate::front::state::FrontState;
use crate::front::state::short_centre_hash;
use crate::logging::quoted;
use ggt_core::routes::AllowedRegions;
use ggt_core::routes::CustomerEntry;
use ggt_core::routes::RouteConfig;
use ggt_core::routes::RouteEntry;

impl FrontState {
    /// The data centres in which a request of this route and customer may be processed; `None` if all are allowed.
    pub fn allowed_centres(
        &self,
        route: &RouteEntry,
        customer: Option<&CustomerEntry>,
    ) -> Option<Vec<String>> {
        let unrestricted = AllowedRegions::default();
        let of_customer = customer.map_or(&unrestricted, |customer| &customer.allowed_regions);
        self.settings().region_map().allowed_centres(&route.allowed_regions, of_customer)
    }

    /// Short hashes of the data centres to whose daemons a request may be sent: those in which it may be processed,
    /// and those of the region whose daemon its caller has connected to. `None` if all are allowed.
    pub(super) fn allowed_peer_centres(&self, job: &FrontJob) -> Option<Vec<u32>> {
        let allowed = job.allowed_centres.as_ref()?;
        let settings = self.settings();
        let own = settings.region_map().neighbours(&settings.data_centre);
        let centres = allowed.iter().chain(&own);
        Some(centres.map(|data_centre| short_centre_hash(data_centre)).collect())
    }

    /// Logs regions that the configuration names and in which no data centre lies.
    pub(super) fn log_unknown_regions(&self, config: &RouteConfig) {
        let settings = self.settings();
        let known = settings.region_map();
        for region in config.named_regions() {
            if !known.has_region(region) {
                log::warn!(
                    "event=config version={} region={} cause=\"no data centre lies there\"",
                    config.version(),
                    quoted(region),
                );
            }
        }
    }
}
