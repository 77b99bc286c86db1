//! Runs a stand-in; `engine --count` runs several in one process.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use ggt_standin::engine::EngineOptions;
use ggt_standin::engine::run_engine;
use ggt_standin::platform::run_platform;
use ggt_standin::proxy::run_proxy;
use ggt_standin::service::run_service;

/// Stand-ins for tests and the quick start.
#[derive(FromArgs)]
struct StandinArgs {
    #[argh(subcommand)]
    role: StandinRole,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandinRole {
    Platform(PlatformArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
    Proxy(ProxyArgs),
}

/// publishes the configuration and the host list
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// folder to publish as the configuration
    #[argh(option)]
    config: Option<PathBuf>,
    /// folder to publish as the host list
    #[argh(option)]
    hosts: Option<PathBuf>,
}

/// streams tokens and keeps a prefix cache
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// incarnation to report
    #[argh(option, default = "1")]
    incarnation: u64,
    /// capacity of the prefix cache, in tokens
    #[argh(option, default = "100000")]
    cache_tokens: u64,
    /// milliseconds between tokens
    #[argh(option, default = "2")]
    gap_ms: u64,
    /// age of load reports, in milliseconds
    #[argh(option, default = "0")]
    load_lag_ms: u64,
    /// number of engines, on consecutive ports from the one given
    #[argh(option, default = "1")]
    count: u16,
}

/// counts the executions of each idempotency key
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// incarnation to report
    #[argh(option, default = "1")]
    incarnation: u64,
}

/// forwards connections and datagrams, with faults set by control requests
#[derive(FromArgs)]
#[argh(subcommand, name = "proxy")]
struct ProxyArgs {
    /// address for control requests
    #[argh(option)]
    control: SocketAddr,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: StandinArgs = argh::from_env();
    let outcome = match args.role {
        StandinRole::Platform(x) => {
            run_platform(x.listen, x.config.as_deref(), x.hosts.as_deref()).await
        }
        StandinRole::Engine(x) => {
            let options = EngineOptions {
                address: x.listen,
                incarnation: x.incarnation,
                cache_tokens: x.cache_tokens,
                gap_ms: x.gap_ms,
                load_lag_ms: x.load_lag_ms,
            };
            for number in 1..x.count {
                let mut address = x.listen;
                address.set_port(x.listen.port() + number);
                tokio::spawn(run_engine(EngineOptions { address, ..options }));
            }
            run_engine(options).await
        }
        StandinRole::Service(x) => run_service(x.listen, x.incarnation).await,
        StandinRole::Proxy(x) => run_proxy(x.control).await,
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ggt-standin: {e}");
            ExitCode::FAILURE
        }
    }
}
