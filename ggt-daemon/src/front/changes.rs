//! Applies changes of the platform's folders to the targets and the active configuration.

use std::rc::Rc;

use crate::clock::mono_now;
use crate::clock::wall_now;
use crate::front::state::FrontState;
use crate::front::state::StoreFolder;
use crate::logging::quoted;
use ggt_core::routes::RouteConfig;
use ggt_core::store_cache::StoreBatch;
use ggt_core::store_cache::StoreChange;
use ggt_core::targets::TargetRecord;
use ggt_core::versions::ServiceKey;
use ggt_platform::evacuated_centre;
use ggt_platform::is_same_history;
use ggt_platform::parse_config;
use ggt_platform::parse_registration;
use ggt_platform::target_id;

/// Milliseconds by which a target's clock may be ahead of this host's. An entry that claims to be younger would
/// outdate all true ones of its target.
const MAX_AHEAD_MS: u64 = 3_600_000;

impl FrontState {
    /// Applies changes of one folder that came from the platform or from a peer; `source` is
    /// logged.
    pub fn apply_batch(&self, folder: StoreFolder, batch: StoreBatch, source: &str) {
        let known_revision = self.cache(folder).borrow().revision();
        if known_revision > 0
            && batch.revision > known_revision
            && !is_same_history(batch.revision, known_revision)
        {
            log::warn!("event=store-restored folder={} source={source}", folder.as_str());
            let mut outage = self.outage.get();
            outage.record_restore(mono_now());
            self.outage.set(outage);
        }
        let changes = self.cache(folder).borrow_mut().apply(batch);
        if !changes.is_empty() && self.is_watching() {
            self.digest_requested.notify_one();
        }
        for change in &changes {
            match folder {
                StoreFolder::Targets => self.apply_target(change, source),
                StoreFolder::Config => match evacuated_centre(&change.key) {
                    Some(data_centre) => self.apply_evacuation(data_centre, change, source),
                    None => self.apply_config(change, source),
                },
            }
        }
        if folder == StoreFolder::Targets && self.pool.borrow().cold_targets(mono_now()) > 0 {
            self.update_rate_shares();
        }
    }

    fn apply_target(&self, change: &StoreChange, source: &str) {
        let Some(id) = target_id(&change.key) else { return };
        let revision = change.revision;
        let record = change.value.as_ref().map(|value| parse_registration(id, value));
        match record {
            Some(Ok(record)) if self.pool.borrow().is_outdated(&record) => log::info!(
                "event=target target={id} status=outdated incarnation={} software={} \
                 revision={revision} source={source}",
                record.incarnation,
                record.version,
            ),
            Some(Ok(record)) if record.incarnation > wall_now().as_millis() + MAX_AHEAD_MS => {
                log::warn!(
                    "event=target-refused target={id} revision={revision} incarnation={} \
                     cause=\"started in the future\"",
                    record.incarnation,
                );
            }
            Some(Ok(record)) => self.put_target(record, revision, source),
            Some(Err(e)) => {
                log::warn!(
                    "event=target-refused target={id} revision={revision} cause={}",
                    quoted(&e.to_string())
                );
                self.pool.borrow_mut().record_unlisted(id, mono_now());
            }
            None => {
                // Targets whose registrations expired during an outage of the platform register
                // again after it, so their removal is delayed.
                let now = mono_now();
                let remove_at = self.outage.get().removal_time(now);
                let wait_ms = remove_at.millis_since(now);
                log::info!(
                    "event=target target={id} status=unlisted revision={revision} \
                     source={source} gone_in_ms={wait_ms}"
                );
                self.pool.borrow_mut().record_unlisted(id, remove_at);
            }
        }
    }

    fn put_target(&self, record: TargetRecord, revision: u64, source: &str) {
        let (id, data_centre) = (record.id.clone(), record.data_centre.clone());
        let (is_leaving, version, cold_start) =
            (record.is_leaving, record.version, record.cold_start);
        let service = ServiceKey::named(&record.service);
        self.versions.borrow_mut().record_target(service, version, mono_now());
        let before = self.pool.borrow().record_of(&id).cloned();
        let replaced = before.filter(|before| before.incarnation < record.incarnation);
        replaced.iter().for_each(|before| self.record_departure(before));
        let ended = self.pool.borrow().ended_by(&record);
        ended.iter().for_each(|crash| self.record_target_end(*crash, "replaced"));
        let has_changed = self.pool.borrow_mut().put(record);
        if is_leaving {
            self.pool.borrow_mut().record_leaving_since(&id, mono_now());
        }
        self.apply_cold_start(&id, cold_start, source);
        if has_changed {
            self.add_reported_load(&id);
            let status = if is_leaving { "leaving" } else { "ready" };
            log::info!(
                "event=target target={id} status={status} data_centre={} software={version} \
                 revision={revision} source={source}",
                quoted(&data_centre),
            );
        }
    }

    /// Adds up what peers have reported for a target, which they may have known before this daemon.
    fn add_reported_load(&self, id: &str) {
        let mut pool = self.pool.borrow_mut();
        let Some(hash) = pool.short_hash_of(id) else { return };
        pool.set_peer_load(hash, self.fleet.borrow().reported_load(hash));
    }

    fn apply_config(&self, change: &StoreChange, source: &str) {
        let Some(value) = &change.value else {
            log::warn!("event=config-removed revision={} outcome=kept", change.revision);
            return;
        };
        match parse_config(value) {
            Ok(config) => self.set_route_config(config, change.revision, source),
            Err(e) => log::error!(
                "event=config-refused revision={} cause={}",
                change.revision,
                quoted(&e.to_string())
            ),
        }
    }

    fn set_route_config(&self, config: RouteConfig, revision: u64, source: &str) {
        let active_version = self.route_config().map_or(0, |config| config.version());
        let version = config.version();
        if version <= active_version {
            log::info!("event=config version={version} in_force={active_version} outcome=ignored");
            return;
        }
        let routes = config.route_count();
        log::info!(
            "event=config version={version} before={active_version} revision={revision} \
             routes={routes} source={source} outcome=in-force"
        );
        self.extend_stream_memory(config.longest_stream_ms());
        self.apply_cold_start_limits(&config);
        self.log_unknown_regions(&config);
        *self.route_config.borrow_mut() = Some(Rc::new(config));
    }
}
