//! Script of a model server: streams that name its software version, and what it says of its memory.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use serde_json::json;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::stream_head;

/// Tokens in an event.
const EVENT_TOKENS: u64 = 7;
/// Events of a long stream.
pub const LONG_STREAM: u64 = 80;
/// Events of a short one.
pub const SHORT_STREAM: u64 = 3;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of prompt parts that requests share.
const CHATS: usize = 12;
/// Model of all requests.
const MODEL: &str = "m";

/// Makes a server an engine of this version, started at this Unix time.
pub fn set_engine(server: &ServerStandin, version: &'static str, born: u64) {
    let held = Arc::new(Mutex::new(BTreeMap::new()));
    server.set_script(move |request, stream| {
        let path = request.path.split('?').next().unwrap_or_default();
        let mut held_parts = held.lock().unwrap_or_else(PoisonError::into_inner);
        match path {
            "/v1/kv-list" => {
                let parts: Vec<_> =
                    held_parts.iter().map(|(id, tokens)| json!(["", id, tokens, MODEL])).collect();
                let body = json!({ "epoch": 1, "NextToken": 1, "born": born, "held": parts });
                return send_json(stream, &body.to_string());
            }
            "/v1/report" => {
                let body = json!({
                    "Stage": "unified", "Models": [{ "Name": MODEL, "Version": 1, "Adapters": [] }],
                    "Busy": false, "Seq": 0, "NumWaiting": 0, "NumRunning": 0, "KvUsed": 0,
                    "KvTotal": 739_877, "Handles": 0, "born": born,
                });
                return send_json(stream, &body.to_string());
            }
            "/health" => return send_json(stream, "{}"),
            _ => held_parts.extend(prompt_parts(request)),
        }
        drop(held_parts);
        send_events(version, request, stream)
    });
}

/// Header lines of a prompt with a shared part and one of this request's own, for so many events.
pub fn prompt_lines(number: usize, events: u64) -> Vec<(&'static str, String)> {
    vec![
        ("X-Model", MODEL.to_owned()),
        ("X-Token-Count", format!("1300,{}", events * EVENT_TOKENS)),
        ("X-Prompt-Prefix", format!("{:x}:600,{:x}:700", 0xa000 + number % CHATS, 0xb000 + number)),
    ]
}

fn prompt_parts(request: &WireRequest) -> Vec<(String, u64)> {
    let list = request.header("x-prompt-prefix").unwrap_or_default();
    let parts = list.split(',').filter_map(|part| part.split_once(':'));
    parts.filter_map(|(id, tokens)| Some((id.to_owned(), tokens.parse().ok()?))).collect()
}

fn send_json(stream: &mut TcpStream, body: &str) -> AfterResponse {
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    match stream.write_all(text.as_bytes()) {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}

/// Sends the events that the caller lacks, one after the other.
fn send_events(version: &str, request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
    if stream.write_all(stream_head(request).as_bytes()).is_err() {
        return AfterResponse::Close;
    }
    let tokens =
        request.header("x-token-count").and_then(|text| text.split_once(',')?.1.parse().ok());
    let events = tokens.unwrap_or(0_u64) / EVENT_TOKENS;
    for id in request.last_event_id().unwrap_or_default() + 1..=events {
        let event = format!("id: {id}\ndata: {version}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return AfterResponse::Close;
        }
        thread::sleep(EVENT_INTERVAL);
    }
    match stream.write_all(b"0\r\n\r\n") {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}
