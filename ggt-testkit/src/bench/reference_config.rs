//! Configuration of the size that the system is designed for: 630 customers and 15 models.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::fleet::TestFleet;
use crate::layout::config_files;

const CUSTOMERS: usize = 630;
const CUSTOMERS_IN_FILE: usize = 10;
const MODELS: usize = 15;

/// The configuration files after `change` changes; each change alters the weights in one customer file.
pub(super) fn reference_config_files(fleet: &TestFleet, change: usize) -> BTreeMap<String, String> {
    let mut files = config_files(&fleet.daemons, &fleet.options.config);
    let workloads: BTreeMap<String, Value> =
        (0..MODELS).map(|model| (format!("model-{model}"), json!({}))).collect();
    files.insert("20-models.json".to_owned(), json!({ "workloads": workloads }).to_string());
    for first in (0..CUSTOMERS).step_by(CUSTOMERS_IN_FILE) {
        let changed_file = change * CUSTOMERS_IN_FILE % CUSTOMERS;
        let weight = if changed_file == first { 1.0 + change as f64 / 100.0 } else { 1.0 };
        let customers: BTreeMap<String, Value> = (first..first + CUSTOMERS_IN_FILE)
            .map(|number| {
                let digest: String = Sha256::digest(format!("key {number}"))
                    .iter()
                    .map(|byte| format!("{byte:02x}"))
                    .collect();
                let name = format!("customer-{number:03}");
                (name, json!({ "key_sha256": [digest], "weight": weight }))
            })
            .collect();
        let name = format!("30-customers-{first:03}.json");
        files.insert(name, json!({ "customers": customers }).to_string());
    }
    files
}
