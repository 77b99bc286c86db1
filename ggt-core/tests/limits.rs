//! Shares of customers in an overloaded workload.

use ggt_core::limits::FairShare;
use ggt_core::limits::ShareVerdict;

const SHARE_FROM: f64 = 0.9;

// Guards against a customer that takes the last of the capacity, so that another one's first request is refused.
#[test]
fn capacity_above_the_threshold_is_kept_from_a_customer_that_is_alone() {
    for (capacity, expected) in [(24, 22), (33, 30), (240, 216)] {
        let mut shares = FairShare::default();
        let (only, other) = (shares.insert(1.0), shares.insert(1.0));
        for _ in 0..2 * capacity {
            let utilisation = f64::from(shares.total()) / f64::from(capacity);
            shares.admit(only, utilisation, SHARE_FROM);
        }
        assert_eq!(shares.total(), expected);
        let utilisation = f64::from(expected) / f64::from(capacity);
        assert_eq!(shares.admit(other, utilisation, SHARE_FROM), ShareVerdict::Admitted);
    }
}
