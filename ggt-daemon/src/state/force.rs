//! The configuration in force, with the options that follow from it.

use crate::settings::EdgeLimits;
use ggt_core::claims::HolderOptions;
use ggt_core::claims::KeyPolicy;
use ggt_core::config::AcceptedConfig;
use ggt_core::routing::HoldOptions;
use ggt_core::routing::RoutingOptions;

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct ForceConfig {
    /// Its revision.
    pub revision: u64,
    /// Its content.
    pub accepted: AcceptedConfig,
    /// How targets are chosen.
    pub routing: RoutingOptions,
    /// How claims are held.
    pub holder: HolderOptions,
    /// What keys are admitted.
    pub keys: KeyPolicy,
}

impl ForceConfig {
    /// Derives the options from an accepted configuration.
    pub fn new(revision: u64, accepted: AcceptedConfig, limits: &EdgeLimits) -> Self {
        let routing = &accepted.model.routing;
        let claims = &accepted.model.claims;
        Self {
            revision,
            routing: RoutingOptions {
                hold: HoldOptions {
                    first_millis: routing.hold_down_ms,
                    longest_millis: routing.hold_down_max_ms,
                },
                slow_start_millis: routing.slow_start_ms,
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
