//! Validates a revision, as a pure function of its content.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use snafu::Snafu;

use crate::config::ConfigModel;
use crate::config::MergeError;
use crate::config::MergedFolder;
use crate::config::RuleSection;
use crate::config::merge_files;
use crate::ident::CustomerName;

const SHA256_HEX_DIGITS: usize = 64;

/// Why a revision is rejected.
#[derive(Debug, Snafu)]
pub enum AcceptError {
    /// The folder cannot be merged.
    #[snafu(display("{source}"), context(false))]
    Merge {
        /// Error of the merge, which names the file.
        source: MergeError,
    },
    /// A value is missing, unknown, out of range, of the wrong type or in conflict with another.
    #[snafu(display("{file}: {path}: {cause}"))]
    Value {
        /// The file that set the value, or `-` when no file did.
        file: String,
        /// JSON pointer to the value.
        path: String,
        /// Constraint that the value violates.
        cause: String,
    },
}

/// A valid configuration with lookup tables for requests.
#[derive(Clone, Debug, Default)]
pub struct AcceptedConfig {
    /// The merged and validated content.
    pub model: ConfigModel,
    customer_by_key: BTreeMap<String, CustomerName>,
    rules: Vec<(String, RuleSection)>,
}

impl AcceptedConfig {
    /// The customer whose bearer key has the SHA-256 `digest`, in lower-case hexadecimal.
    pub fn customer_by_digest(&self, digest: &str) -> Option<&CustomerName> {
        self.customer_by_key.get(digest)
    }

    /// The first rule that matches a request, with its name.
    pub fn find_rule(
        &self,
        customer: &CustomerName,
        method: &str,
        path: &str,
    ) -> Option<(&str, &RuleSection)> {
        self.rules
            .iter()
            .find(|(_, rule)| {
                rule.method == method
                    && path_matches(&rule.path, path)
                    && (rule.customers.is_empty() || rule.customers.contains(customer))
            })
            .map(|(name, rule)| (name.as_str(), rule))
    }
}

/// Merges and validates the files of one revision.
///
/// # Errors
/// [`AcceptError`] names the file, the JSON pointer and the cause.
pub fn accept_files<'a, I>(files: I) -> Result<AcceptedConfig, AcceptError>
where
    I: IntoIterator<Item = (&'a str, &'a str)>,
{
    let folder = merge_files(files)?;
    let model: ConfigModel =
        serde_path_to_error::deserialize(folder.value.clone()).map_err(|e| {
            let pointer = pointer_of(e.path());
            value_error(&folder, &pointer, e.inner().to_string())
        })?;
    check_roster(&folder, &model)?;
    let customer_by_key = check_customers(&folder, &model)?;
    check_rules(&folder, &model)?;
    check_numbers(&folder, &model)?;
    let mut rules: Vec<(String, RuleSection)> =
        model.rules.iter().map(|(name, rule)| (name.clone(), rule.clone())).collect();
    rules.sort_by(|(a, x), (b, y)| x.order.cmp(&y.order).then_with(|| a.cmp(b)));
    Ok(AcceptedConfig { model, customer_by_key, rules })
}

fn pointer_of(path: &serde_path_to_error::Path) -> String {
    use serde_path_to_error::Segment;
    path.iter()
        .map(|segment| match segment {
            Segment::Seq { index } => format!("/{index}"),
            Segment::Map { key } => format!("/{}", key.replace('~', "~0").replace('/', "~1")),
            Segment::Enum { variant } => format!("/{variant}"),
            Segment::Unknown => "/?".to_owned(),
        })
        .collect()
}

fn value_error(folder: &MergedFolder, path: &str, cause: String) -> AcceptError {
    let file = folder.source_of(path).unwrap_or("-").to_owned();
    AcceptError::Value { file, path: path.to_owned(), cause }
}

fn check_roster(folder: &MergedFolder, model: &ConfigModel) -> Result<(), AcceptError> {
    let mut peers = BTreeMap::new();
    for (name, daemon) in &model.roster.daemons {
        let path = format!("/roster/daemons/{name}");
        let fail =
            |field: &str, cause: String| Err(value_error(folder, &format!("{path}{field}"), cause));
        if daemon.data_centre.as_str().is_empty() {
            return fail("/data_centre", "must not be empty".to_owned());
        }
        if daemon.peer.port() == 0 {
            return fail("/peer", "port 0 cannot be reached".to_owned());
        }
        if daemon.added > model.roster.epoch {
            return fail("/added", format!("is after the epoch {}", model.roster.epoch));
        }
        if daemon.removed.is_some_and(|x| x > model.roster.epoch || x <= daemon.added) {
            return fail("/removed", "must lie after `added` and not after the epoch".to_owned());
        }
        if daemon.removed.is_some() {
            continue;
        }
        if let Some(other) = peers.insert(daemon.peer, name) {
            return fail("/peer", format!("{} is already the address of {other}", daemon.peer));
        }
    }
    Ok(())
}

fn check_customers(
    folder: &MergedFolder,
    model: &ConfigModel,
) -> Result<BTreeMap<String, CustomerName>, AcceptError> {
    let mut by_key = BTreeMap::new();
    for (name, customer) in &model.customers {
        let path = format!("/customers/{name}");
        if !(customer.weight.is_finite() && customer.weight > 0.0) {
            return Err(value_error(folder, &format!("{path}/weight"), "must be above 0".into()));
        }
        for (index, digest) in customer.key_sha256.iter().enumerate() {
            let path = format!("{path}/key_sha256/{index}");
            let is_hex = digest.bytes().all(|b| b.is_ascii_hexdigit());
            if digest.len() != SHA256_HEX_DIGITS || !is_hex {
                let cause = "must be 64 hexadecimal digits".to_owned();
                return Err(value_error(folder, &path, cause));
            }
            if let Some(other) = by_key.insert(digest.to_ascii_lowercase(), name.clone()) {
                let cause = format!("the key already belongs to customer {other}");
                return Err(value_error(folder, &path, cause));
            }
        }
    }
    Ok(by_key)
}

fn check_rules(folder: &MergedFolder, model: &ConfigModel) -> Result<(), AcceptError> {
    let mut conditions = BTreeSet::new();
    for (name, rule) in &model.rules {
        let path = format!("/rules/{name}");
        if !model.workloads.contains_key(&rule.workload) {
            let cause = format!("workload {:?} does not exist", rule.workload.as_str());
            return Err(value_error(folder, &format!("{path}/workload"), cause));
        }
        if let Some(unknown) = rule.customers.iter().find(|c| !model.customers.contains_key(c)) {
            let cause = format!("customer {:?} does not exist", unknown.as_str());
            return Err(value_error(folder, &format!("{path}/customers"), cause));
        }
        if !rule.path.starts_with('/') {
            let cause = "must start with `/`".to_owned();
            return Err(value_error(folder, &format!("{path}/path"), cause));
        }
        if !conditions.insert((rule.order, &rule.method, &rule.path, &rule.customers)) {
            let cause = "the same method, path, customers and order stand in another rule";
            return Err(value_error(folder, &path, cause.to_owned()));
        }
    }
    Ok(())
}

fn check_numbers(folder: &MergedFolder, model: &ConfigModel) -> Result<(), AcceptError> {
    let routing = &model.routing;
    let claims = &model.claims;
    let checks = [
        ("/routing/max_load_ratio", routing.max_load_ratio > 1.0, "must be above 1"),
        (
            "/routing/retry_ratio",
            (0.0..=1.0).contains(&routing.retry_ratio),
            "must lie between 0 and 1",
        ),
        ("/routing/crash_limit", routing.crash_limit >= 1, "must be 1 or more"),
        (
            "/limits/share_from",
            model.limits.share_from > 0.0 && model.limits.share_from <= 1.0,
            "must be above 0 and at most 1",
        ),
        ("/claims/grant_ms", claims.grant_ms >= 1, "must be 1 or more"),
        (
            "/claims/resend_window_ms",
            claims.resend_window_ms > 2 * claims.max_clock_error_ms + claims.grant_ms,
            "must be longer than a grant and two clock errors",
        ),
        ("/claims/holder_timeout_ms", claims.holder_timeout_ms >= 1, "must be 1 or more"),
    ];
    match checks.into_iter().find(|(_, is_valid, _)| !is_valid) {
        Some((path, _, cause)) => Err(value_error(folder, path, cause.to_owned())),
        None => Ok(()),
    }
}

fn path_matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => pattern == path,
    }
}
