//! Active configuration with the options derived from it.

use crate::settings::LimitSettings;
use ggt_core::claims::HolderOptions;
use ggt_core::claims::KeyPolicy;
use ggt_core::config::AcceptedConfig;
use ggt_core::routing::HoldOptions;
use ggt_core::routing::RoutingOptions;

/// Active configuration with the options derived from it.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Revision of the published folder.
    pub revision: u64,
    /// Validated content.
    pub accepted: AcceptedConfig,
    /// Options for the choice of targets.
    pub routing: RoutingOptions,
    /// Limits and times of the claims held for other daemons.
    pub holder: HolderOptions,
    /// Rules for acceptable idempotency keys.
    pub keys: KeyPolicy,
}

impl ActiveConfig {
    /// Derives the options from a validated configuration.
    pub fn new(revision: u64, accepted: AcceptedConfig, limits: &LimitSettings) -> Self {
        let routing = &accepted.model.routing;
        let claims = &accepted.model.claims;
        Self {
            revision,
            routing: RoutingOptions {
                hold: HoldOptions {
                    initial_ms: routing.hold_down_ms,
                    max_ms: routing.hold_down_max_ms,
                },
                slow_start_ms: routing.slow_start_ms,
                ..RoutingOptions::default()
            }
            .with_bounds(routing.max_load_ratio, routing.load_lag_ms),
            holder: HolderOptions {
                resend_window_ms: claims.resend_window_ms,
                max_clock_error_ms: claims.max_clock_error_ms,
                max_claims: limits.max_claims,
                max_reply_bytes: limits.max_claim_reply_bytes,
            },
            keys: KeyPolicy {
                resend_window_ms: claims.resend_window_ms,
                max_clock_error_ms: claims.max_clock_error_ms,
                plain_keys: claims.plain_keys,
            },
            accepted,
        }
    }
}
