//! A small deployment with one plain service: its configuration, and a sound server.

use std::collections::HashSet;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::server::Next;
use crate::server::Request;
use crate::server::serve;
use crate::server::write_answer;
use crate::server::write_misdirected;
use crate::store::Store;

/// Timeout of the routes in milliseconds, as on the small sites.
pub const TIMEOUT_MS: u64 = 800;
/// Id of the server.
const SERVER: &str = "i-1";

/// The ids of the requests that the server has begun to run.
pub type RunIds = Arc<Mutex<HashSet<String>>>;

/// Starts the server, whose work takes `work`, and writes its entry and the configuration. `/file/` may run once,
/// `/look/` may be repeated.
pub fn open(store: &Store, work: Duration, record: &Record) -> RunIds {
    let (record, run_ids) = (record.clone(), RunIds::default());
    let ids = run_ids.clone();
    let address = serve(move |request, writer| answer(request, writer, work, &record, &ids));
    store.put(
        &format!("servers/{SERVER}"),
        &format!(
            "{{\"Service\":\"desk\",\"Address\":\"{address}\",\"Zone\":\"z1\",\"Version\":\"v1\",\
             \"Slots\":48,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":1700000000000}}"
        ),
    );
    store.put("op/config", &config());
    run_ids
}

fn answer(
    request: &Request,
    writer: &mut TcpStream,
    work: Duration,
    record: &Record,
    run_ids: &RunIds,
) -> Next {
    if request.is_misdirected(SERVER) {
        return write_misdirected(writer, request, SERVER);
    }
    if request.head.path().starts_with("/health") {
        return write_answer(writer, request, SERVER, 200, "");
    }
    run_ids.lock().expect("server").insert(request.id().to_owned());
    record.add(&format!(
        "server {SERVER} runs {} {} with {} bytes",
        request.id(),
        request.head.path(),
        request.body.len()
    ));
    sleep(work);
    write_answer(writer, request, SERVER, 200, "filed")
}

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"desk.example\",\"PathPrefix\":\"{prefix}\",\
             \"Kind\":\"{kind}\",\"TimeoutMs\":{TIMEOUT_MS},\"GoalMs\":100,\"Priority\":2,\
             \"Service\":\"desk\",\"Attempts\":1,\"Public\":false,\"Sticky\":false,\
             \"CanResume\":false}}"
        )
    };
    format!(
        "{{\"Version\":7,\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"desk\",\
         \"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"t1\",\"ApiKeys\":[\"key1\"],\"Priority\":1}},\
         {{\"Name\":\"t2\",\"ApiKeys\":[\"key2\"],\"Priority\":1}}]}}",
        route("r-1", "/file/", "non_idempotent"),
        route("r-2", "/look/", "idempotent"),
    )
}
