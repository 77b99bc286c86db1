//! Starts a small fleet, sends requests and runs commands as callers and operators would, and stops it.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::process::ExitCode;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::fleet::create_key;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::process::run_cli;

const CHAT_TURNS: usize = 4;

fn main() -> ExitCode {
    println!("Starting a platform, two engines, two services and four daemons on loopback ...");
    let mut fleet = TestFleet::start(FleetOptions::default());
    let checks =
        [run_chat(&fleet), submit_twice(&fleet), show_status(&fleet), stop_daemons(&mut fleet)];
    if checks.into_iter().all(|is_ok| is_ok) {
        println!("\nAll checks passed.");
        ExitCode::SUCCESS
    } else {
        println!("\nSome checks failed; see the lines marked DIFFERS.");
        ExitCode::FAILURE
    }
}

fn print_check(is_ok: bool, text: &str) -> bool {
    println!("  [{}] {text}", if is_ok { "ok" } else { "DIFFERS" });
    is_ok
}

fn run_chat(fleet: &TestFleet) -> bool {
    println!("\nA chat of {CHAT_TURNS} turns, each through the next daemon:");
    let mut hint = String::new();
    let mut history = String::from("Dossier of a small firm, read back once more. ");
    let mut engines = Vec::new();
    let mut is_ok = true;
    for turn in 0..CHAT_TURNS {
        let daemon = turn % fleet.daemons.len();
        history.push_str(&format!("Question {turn} of the accountant at the desk. "));
        let mut request = fleet
            .request(daemon, "POST", "/chat?tokens=6")
            .header("x-chat-id", "dossier-1")
            .body(&history);
        if !hint.is_empty() {
            request = request.header("x-chat-hint", &hint);
        }
        let Some(response) = request.send() else { return print_check(false, "no response") };
        let cached = response.header("x-cached-tokens").unwrap_or("0").to_owned();
        let engine = response.header("x-served-by").unwrap_or("-").to_owned();
        let is_warm = turn == 0 || cached != "0";
        is_ok &= print_check(
            response.status == 200 && response.is_complete && is_warm,
            &format!(
                "turn {}: daemon {}, engine {engine}, {cached} prompt tokens from its cache",
                turn + 1,
                fleet.daemons[daemon].name
            ),
        );
        hint = response.header("x-chat-hint").unwrap_or_default().to_owned();
        engines.push(engine);
    }
    engines.dedup();
    print_check(engines.len() == 1, "every turn reached the same engine") && is_ok
}

fn submit_twice(fleet: &TestFleet) -> bool {
    println!("\nOne filing, submitted twice under one key, through two daemons:");
    let key = create_key();
    let responses =
        [fleet.submit(0, &key, "filing 2026-11"), fleet.submit(3, &key, "filing 2026-11")];
    let [Some(first), Some(second)] = responses else { return print_check(false, "no response") };
    let is_ok = print_check(
        first.status == 200 && first.verdict() == "ran",
        &format!("first:  {} {} {}", first.status, first.verdict(), first.body),
    );
    let is_ok = print_check(
        second.body == first.body && second.verdict() == "ran",
        &format!("second: {} {} {}", second.status, second.verdict(), second.body),
    ) && is_ok;
    let runs = fleet.runs().get(&key).copied().unwrap_or_default();
    print_check(runs == 1, &format!("the services ran it {runs} time(s)")) && is_ok
}

fn show_status(fleet: &TestFleet) -> bool {
    println!("\ngreengageturn status:");
    let admins: Vec<String> = fleet.daemons.iter().map(|x| x.admin.to_string()).collect();
    let mut args = vec!["status", "--key", "operator-key"];
    admins.iter().for_each(|admin| args.extend(["--admin", admin.as_str()]));
    let (code, output, errors) = run_cli(&args);
    output.lines().for_each(|line| println!("    {line}"));
    print_check(code == 0, &format!("the tool's exit code is {code}{errors}"))
}

fn stop_daemons(fleet: &mut TestFleet) -> bool {
    println!("\nStopping the daemons gracefully:");
    let mut is_ok = true;
    for index in 0..fleet.daemons.len() {
        let name = fleet.daemons[index].name.clone();
        let process = fleet.daemon_process(index);
        process.terminate();
        let code = process.wait().code();
        is_ok &= print_check(code == Some(0), &format!("{name} stopped, exit code {code:?}"));
    }
    is_ok
}
