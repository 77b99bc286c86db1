//! Claim protocol over generated interleavings: an action runs at most once, and one that was
//! reported as `not-run` never runs. Faults injected into the protocol must be detected.

mod claim_world;

use quickcheck::Gen;
use quickcheck::QuickCheck;

use claim_world::BrokenRule;
use claim_world::ClaimWorld;
use claim_world::Outcome;

const SEED: u64 = 20_261_204;
const CASES: u64 = 20_000;
const BROKEN_CASES: u64 = 60_000;
const MAX_STEPS: usize = 400;

fn generator() -> Gen {
    Gen::from_size_and_seed(MAX_STEPS, SEED)
}

fn is_safe(outcome: &Outcome) -> bool {
    outcome.doubled == 0 && outcome.false_not_run == 0
}

#[test]
fn actions_run_at_most_once_and_not_run_is_true() {
    fn property(steps: Vec<u32>) -> bool {
        is_safe(&ClaimWorld::new(BrokenRule::Nothing).run(&steps))
    }
    // The default cases are the same on every run; the variable sets another number of them.
    let asked = std::env::var("GGT_CLAIM_CASES").ok().and_then(|text| text.parse().ok());
    let cases = asked.unwrap_or(CASES);
    QuickCheck::new()
        .rng(generator())
        .tests(cases)
        .max_tests(cases)
        .quickcheck(property as fn(Vec<u32>) -> bool);
}

#[test]
fn the_generator_reaches_what_it_is_meant_for() {
    use quickcheck::Arbitrary;
    let mut generator = generator();
    let mut total = Outcome::default();
    for _ in 0..2_000 {
        let steps = Vec::<u32>::arbitrary(&mut generator);
        let outcome = ClaimWorld::new(BrokenRule::Nothing).run(&steps);
        total.ran += outcome.ran;
        total.not_run += outcome.not_run;
        total.attempts += outcome.attempts;
    }
    println!("2000 cases: {total:?}");
    assert!(total.ran > 1_000, "too few actions ran: {total:?}");
    assert!(total.not_run > 100, "too few keys were answered not-run: {total:?}");
    assert!(total.attempts > 2 * total.ran, "too few attempts competed: {total:?}");
}

fn first_violation(broken: BrokenRule) -> Option<u64> {
    use quickcheck::Arbitrary;
    let mut generator = generator();
    (0..BROKEN_CASES).find(|_| {
        let steps = Vec::<u32>::arbitrary(&mut generator);
        !is_safe(&ClaimWorld::new(broken).run(&steps))
    })
}

#[test]
fn a_holder_that_forgets_is_caught() {
    let case = first_violation(BrokenRule::ForgetfulHolder);
    assert!(case.is_some());
    println!("caught by case {case:?}");
}

#[test]
fn a_majority_of_one_is_caught() {
    let case = first_violation(BrokenRule::MajorityOfOne);
    assert!(case.is_some());
    println!("caught by case {case:?}");
}

#[test]
fn a_hasty_roster_is_caught() {
    let case = first_violation(BrokenRule::HastyRoster);
    assert!(case.is_some());
    println!("caught by case {case:?}");
}

#[test]
fn not_run_without_seals_is_caught() {
    let case = first_violation(BrokenRule::UnsealedNotRun);
    assert!(case.is_some());
    println!("caught by case {case:?}");
}
