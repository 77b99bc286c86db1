//! The prefix cache of a scripted server.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::json;

use crate::server::lock;
use crate::users_platform::request::WireRequest;
use crate::users_platform::server::AfterResponse;
use crate::users_platform::server::respond;

/// Path at which a server lists the prompt parts that it keeps.
const LIST_PATH: &str = "/v1/kv-list";

/// The prompt parts that a server keeps, with the tokens of each.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    parts: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl PartCache {
    /// Replies to a request for the list of the parts; keeps the parts of any other request's prompt, with `generated`
    /// tokens after the last one, and returns `None`.
    pub fn serve(
        &self,
        request: &WireRequest,
        stream: &mut TcpStream,
        generated: u64,
    ) -> Option<AfterResponse> {
        let mut parts = lock(&self.parts);
        if request.path != LIST_PATH {
            let list = request.header("x-prompt-prefix").unwrap_or_default();
            let entries = list.split(',').filter_map(|part| part.split_once(':'));
            let mut entries = entries.map(|(id, tokens)| (id, tokens.parse().unwrap_or(0_u64)));
            let own = entries.next_back().map(|(id, tokens)| (id, tokens + generated));
            let kept = entries.chain(own).map(|(id, tokens)| (id.to_owned(), tokens));
            parts.extend(kept);
            return None;
        }
        let held: Vec<_> = parts.iter().map(|(id, tokens)| json!(["", id, tokens, "m"])).collect();
        let body = json!({ "epoch": 1, "NextToken": 1, "held": held }).to_string();
        Some(respond(request, stream, 200, &body))
    }
}
