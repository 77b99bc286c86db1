//! Regions in which a request may be processed.

use std::collections::BTreeMap;

/// The regions that a route or a customer allows; all if none is named.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions(Vec<String>);

impl AllowedRegions {
    /// These regions; all if there is none.
    pub fn new(regions: Vec<String>) -> Self {
        Self(regions)
    }

    /// Whether only some regions are allowed.
    pub fn is_restricted(&self) -> bool {
        !self.0.is_empty()
    }

    /// Whether a region is allowed.
    pub fn allows(&self, region: &str) -> bool {
        !self.is_restricted() || self.0.iter().any(|allowed| allowed == region)
    }

    /// The named regions.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }
}

/// The region of each data centre.
#[derive(Clone, Copy, Debug)]
pub struct RegionMap<'a>(&'a BTreeMap<String, String>);

impl<'a> RegionMap<'a> {
    /// A map of data centres to their regions.
    pub fn new(regions: &'a BTreeMap<String, String>) -> Self {
        Self(regions)
    }

    /// Whether any data centre lies in a region.
    pub fn has_region(&self, region: &str) -> bool {
        self.0.values().any(|known| known == region)
    }

    /// The data centres in which a request may be processed that both a route and a customer restrict; `None` if
    /// neither does. A data centre of no known region is allowed only without restriction.
    pub fn allowed_centres(
        &self,
        route: &AllowedRegions,
        customer: &AllowedRegions,
    ) -> Option<Vec<String>> {
        if !route.is_restricted() && !customer.is_restricted() {
            return None;
        }
        let is_allowed = |region: &str| route.allows(region) && customer.allows(region);
        let allowed = self.0.iter().filter(|(_, region)| is_allowed(region));
        Some(allowed.map(|(data_centre, _)| data_centre.clone()).collect())
    }

    /// The data centres in the same region as this one, with itself.
    pub fn neighbours(&self, data_centre: &str) -> Vec<String> {
        let Some(own) = self.0.get(data_centre) else { return vec![data_centre.to_owned()] };
        let same = self.0.iter().filter(|(_, region)| *region == own);
        same.map(|(data_centre, _)| data_centre.clone()).collect()
    }
}
