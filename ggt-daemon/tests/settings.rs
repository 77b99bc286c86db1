//! Timing of the daemon's own settings.

use ggt_daemon::settings::TimingSettings;

/// Time in milliseconds within which a change of the configuration has to be active everywhere.
const MAX_CHANGE_MS: u64 = 17_000;

// Guards against a configuration that is active too late because the long poll hangs that should bring it.
#[test]
fn change_is_read_in_time_although_a_long_poll_hangs() {
    let longest_ms = TimingSettings::default().longest_change_ms();
    assert!(longest_ms < MAX_CHANGE_MS, "{longest_ms} of {MAX_CHANGE_MS} ms");
}
