//! Operators' command line tool of the greengageturn router fleet.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use serde_json::Value;
use serde_json::json;

use ggt_cli::admin::call_admin;
use ggt_cli::admin::encode_query;
use ggt_cli::folder::check_folder;
use ggt_cli::folder::merge_folder;
use ggt_cli::format::format_effective;
use ggt_cli::format::format_status;

/// Exit code if a configuration folder or the arguments of a subcommand are invalid.
const EXIT_INVALID: u8 = 1;
/// Exit code if a call to a daemon fails.
const EXIT_CALL_FAILED: u8 = 3;
/// Environment variable with the admin key.
const ADMIN_KEY_VARIABLE: &str = "GREENGAGETURN_KEY";

/// Operators' command line tool of the greengageturn router fleet.
///
/// Exit codes: 0 success; 1 a folder or configuration is invalid, or an option is missing; 2 the
/// command line is invalid; 3 a call to a daemon failed.
#[derive(FromArgs)]
struct CliArgs {
    #[argh(subcommand)]
    command: CliCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum CliCommand {
    Check(CheckArgs),
    Effective(EffectiveArgs),
    Status(StatusArgs),
    Explain(ExplainArgs),
    Drain(DrainArgs),
}

/// validate a configuration folder as the daemons do
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// path of the folder
    #[argh(positional)]
    folder: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// print a merged configuration folder, each value with the file that set it
#[derive(FromArgs)]
#[argh(subcommand, name = "effective")]
struct EffectiveArgs {
    /// path of the folder
    #[argh(positional)]
    folder: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// show the status of daemons: active configuration, peers, targets, requests in flight
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArgs {
    /// admin address of a daemon; may be given several times
    #[argh(option)]
    admin: Vec<SocketAddr>,
    /// admin key; taken from GREENGAGETURN_KEY when absent
    #[argh(option)]
    key: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// show which target a chat's request would be sent to, and why
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainArgs {
    /// admin address of a daemon
    #[argh(option)]
    admin: SocketAddr,
    /// admin key; taken from GREENGAGETURN_KEY when absent
    #[argh(option)]
    key: Option<String>,
    /// name of the customer
    #[argh(option)]
    customer: String,
    /// method of the request; POST when absent
    #[argh(option, default = "String::from(\"POST\")")]
    method: String,
    /// path of the request
    #[argh(option)]
    path: String,
    /// id of the chat
    #[argh(option, default = "String::new()")]
    chat: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// drain a daemon: stop it gracefully
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainArgs {
    /// admin address of the daemon
    #[argh(option)]
    admin: SocketAddr,
    /// admin key; taken from GREENGAGETURN_KEY when absent
    #[argh(option)]
    key: Option<String>,
}

fn main() -> ExitCode {
    let args: CliArgs = argh::from_env();
    match args.command {
        CliCommand::Check(args) => check(&args),
        CliCommand::Effective(args) => effective(&args),
        CliCommand::Status(args) => status(&args),
        CliCommand::Explain(args) => explain(&args),
        CliCommand::Drain(args) => drain(&args),
    }
}

fn fail(code: u8, cause: &str) -> ExitCode {
    eprintln!("greengageturn: {cause}");
    ExitCode::from(code)
}

fn resolve_admin_key(given: Option<&String>) -> String {
    given.cloned().or_else(|| std::env::var(ADMIN_KEY_VARIABLE).ok()).unwrap_or_default()
}

fn check(args: &CheckArgs) -> ExitCode {
    match check_folder(&args.folder) {
        Ok(outcome) if args.json => {
            println!("{}", json!({ "accepted": true, "found": outcome }));
            ExitCode::SUCCESS
        }
        Ok(outcome) => {
            println!(
                "accepted: {} files, {} daemons, {} customers, {} workloads, {} rules",
                outcome.files, outcome.daemons, outcome.customers, outcome.workloads, outcome.rules
            );
            ExitCode::SUCCESS
        }
        Err(e) => {
            if args.json {
                println!("{}", json!({ "accepted": false, "cause": e.to_string() }));
            }
            fail(EXIT_INVALID, &e.to_string())
        }
    }
}

fn effective(args: &EffectiveArgs) -> ExitCode {
    match merge_folder(&args.folder) {
        Ok(folder) if args.json => {
            println!("{}", json!({ "value": folder.value, "sources": folder.sources }));
            ExitCode::SUCCESS
        }
        Ok(folder) => {
            print!("{}", format_effective(&folder));
            ExitCode::SUCCESS
        }
        Err(e) => fail(EXIT_INVALID, &e.to_string()),
    }
}

fn status(args: &StatusArgs) -> ExitCode {
    if args.admin.is_empty() {
        return fail(EXIT_INVALID, "status requires --admin with the admin address of a daemon");
    }
    let key = resolve_admin_key(args.key.as_ref());
    let reports: Vec<(String, Result<Value, String>)> = args
        .admin
        .iter()
        .map(|admin| {
            let report = call_admin(*admin, &key, "GET", "/status").map_err(|e| e.to_string());
            (admin.to_string(), report)
        })
        .collect();
    if args.json {
        let by_admin: serde_json::Map<String, Value> = reports
            .iter()
            .map(|(admin, report)| {
                let value = report.clone().unwrap_or_else(|cause| json!({ "error": cause }));
                (admin.clone(), value)
            })
            .collect();
        println!("{}", Value::Object(by_admin));
    } else {
        print!("{}", format_status(&reports));
    }
    if reports.iter().all(|(_, report)| report.is_ok()) {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CALL_FAILED)
    }
}

fn explain(args: &ExplainArgs) -> ExitCode {
    let path = format!(
        "/explain?customer={}&method={}&path={}&chat={}",
        encode_query(&args.customer),
        encode_query(&args.method),
        encode_query(&args.path),
        encode_query(&args.chat)
    );
    let report = match call_admin(args.admin, &resolve_admin_key(args.key.as_ref()), "GET", &path) {
        Ok(report) => report,
        Err(e) => return fail(EXIT_CALL_FAILED, &e.to_string()),
    };
    if args.json {
        println!("{report}");
        return ExitCode::SUCCESS;
    }
    println!(
        "rule {}, workload {}, non-idempotent {}",
        report["rule"].as_str().unwrap_or("-"),
        report["workload"].as_str().unwrap_or("-"),
        report["non_idempotent"]
    );
    println!(
        "chosen: {} ({})",
        report["choice"].as_str().unwrap_or("-"),
        report["reason"].as_str().unwrap_or("-")
    );
    for target in report["order"].as_array().into_iter().flatten() {
        println!(
            "  {:<24} {:<10} load {:.1}",
            target["name"].as_str().unwrap_or("-"),
            target["status"].as_str().unwrap_or("-"),
            target["load"].as_f64().unwrap_or_default()
        );
    }
    ExitCode::SUCCESS
}

fn drain(args: &DrainArgs) -> ExitCode {
    match call_admin(args.admin, &resolve_admin_key(args.key.as_ref()), "POST", "/drain") {
        Ok(_) => {
            println!("{}: draining", args.admin);
            ExitCode::SUCCESS
        }
        Err(e) => fail(EXIT_CALL_FAILED, &e.to_string()),
    }
}
