//! Which settings are in force, and what a reload changes, for the log.

use serde_json::Map;
use serde_json::Value;

use crate::front::settings::FrontSettings;
use ggt_core::ident::stable_hash;

/// Settings that differ between the daemons of one fleet: names, places and addresses.
const HOST_FIELDS: [&str; 6] = ["name", "data_centre", "callers", "ready", "admin", "peer"];
/// Settings that are only read when the daemon starts.
const START_FIELDS: [&str; 12] = [
    "name",
    "data_centre",
    "callers",
    "ready",
    "admin",
    "peer",
    "store",
    "store_history_s",
    "first_start",
    "crash_refusal_s",
    "measure_work_times",
    "log_level",
];

/// What differs between the settings in force and those of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsChange {
    /// Names of the settings that a reload puts in force.
    pub in_force: Vec<String>,
    /// Names of the settings that only a restart puts in force.
    pub after_restart: Vec<String>,
}

impl SettingsChange {
    /// The change from one to another set of settings.
    pub fn between(before: &FrontSettings, after: &FrontSettings) -> Self {
        let (before, after) = (fields_of(before), fields_of(after));
        let changed = after.into_iter().filter(|(name, value)| before.get(name) != Some(value));
        let names = changed.map(|(name, _)| name);
        let (after_restart, in_force) =
            names.partition(|name| START_FIELDS.contains(&name.as_str()));
        Self { in_force, after_restart }
    }
}

/// Short hash of the settings, the same for all daemons of a fleet that differ only in name, place and
/// addresses.
pub fn settings_digest(settings: &FrontSettings) -> u32 {
    let mut fields = fields_of(settings);
    fields.retain(|name, _| !HOST_FIELDS.contains(&name.as_str()));
    stable_hash(Value::Object(fields).to_string().as_bytes()) as u32
}

fn fields_of(settings: &FrontSettings) -> Map<String, Value> {
    match serde_json::to_value(settings) {
        Ok(Value::Object(fields)) => fields,
        // The settings are a structure of numbers, texts and lists.
        Ok(_) | Err(_) => Map::new(),
    }
}
