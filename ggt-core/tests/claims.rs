//! Claim protocol over generated interleavings: an action runs at most once, and one that was
//! reported as `not-run` never runs. Faults injected into the protocol must be detected.

mod claim_simulation;

use quickcheck::Gen;
use quickcheck::QuickCheck;

use claim_simulation::ClaimSimulation;
use claim_simulation::InjectedFault;
use claim_simulation::Outcome;

const SEED: u64 = 20_261_204;
const CASES: u64 = 20_000;
/// Cases within which each injected fault must be detected.
const MAX_FAULT_CASES: u64 = 60_000;
const MAX_STEPS: usize = 400;

fn generator() -> Gen {
    Gen::from_size_and_seed(MAX_STEPS, SEED)
}

fn is_safe(outcome: &Outcome) -> bool {
    outcome.ran_twice == 0 && outcome.false_not_run == 0
}

#[test]
fn actions_run_at_most_once_and_not_run_is_true() {
    fn property(steps: Vec<u32>) -> bool {
        is_safe(&ClaimSimulation::new(InjectedFault::NoFault).run(&steps))
    }
    // The default cases are the same on every run; the variable sets another number of them.
    let requested = std::env::var("GGT_CLAIM_CASES").ok().and_then(|text| text.parse().ok());
    let cases = requested.unwrap_or(CASES);
    QuickCheck::new()
        .rng(generator())
        .tests(cases)
        .max_tests(cases)
        .quickcheck(property as fn(Vec<u32>) -> bool);
}

#[test]
fn generated_cases_cover_runs_not_run_and_competing_attempts() {
    use quickcheck::Arbitrary;
    let mut generator = generator();
    let mut total = Outcome::default();
    for _ in 0..2_000 {
        let steps = Vec::<u32>::arbitrary(&mut generator);
        let outcome = ClaimSimulation::new(InjectedFault::NoFault).run(&steps);
        total.ran += outcome.ran;
        total.not_run += outcome.not_run;
        total.attempts += outcome.attempts;
    }
    println!("2000 cases: {total:?}");
    assert!(total.ran > 1_000, "too few actions ran: {total:?}");
    assert!(total.not_run > 100, "too few keys were reported as not-run: {total:?}");
    assert!(total.attempts > 2 * total.ran, "too few attempts competed: {total:?}");
}

fn first_violation(fault: InjectedFault) -> Option<u64> {
    use quickcheck::Arbitrary;
    let mut generator = generator();
    (0..MAX_FAULT_CASES).find(|_| {
        let steps = Vec::<u32>::arbitrary(&mut generator);
        !is_safe(&ClaimSimulation::new(fault).run(&steps))
    })
}

#[test]
fn grants_right_after_a_restart_are_detected() {
    let case = first_violation(InjectedFault::GrantsAfterRestart);
    assert!(case.is_some());
    println!("detected by case {case:?}");
}

#[test]
fn sending_on_a_single_grant_is_detected() {
    let case = first_violation(InjectedFault::SingleGrant);
    assert!(case.is_some());
    println!("detected by case {case:?}");
}

#[test]
fn an_immediate_roster_change_is_detected() {
    let case = first_violation(InjectedFault::ImmediateRosterChange);
    assert!(case.is_some());
    println!("detected by case {case:?}");
}

#[test]
fn not_run_without_seals_is_detected() {
    let case = first_violation(InjectedFault::NotRunWithoutSeals);
    assert!(case.is_some());
    println!("detected by case {case:?}");
}
