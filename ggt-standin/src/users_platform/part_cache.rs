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
#[derive(Clone, Debug)]
pub struct PartCache {
    parts: Arc<Mutex<BTreeMap<String, u64>>>,
    block_tokens: u64,
}

impl Default for PartCache {
    fn default() -> Self {
        Self::of_blocks(1)
    }
}

impl PartCache {
    /// A cache that keeps whole blocks of this many tokens.
    pub fn of_blocks(block_tokens: u64) -> Self {
        Self { parts: Arc::default(), block_tokens }
    }

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
            let entries = entries.map(|(id, tokens)| (id, tokens.parse().unwrap_or(0_u64)));
            let mut entries: Vec<_> = entries.collect();
            let total: u64 = entries.iter().map(|(_, tokens)| tokens).sum();
            if let Some((_, own)) = entries.last_mut() {
                *own = (*own + generated).saturating_sub((total + generated) % self.block_tokens);
            }
            parts.extend(entries.into_iter().map(|(id, tokens)| (id.to_owned(), tokens)));
            return None;
        }
        let held: Vec<_> = parts.iter().map(|(id, tokens)| json!(["", id, tokens, "m"])).collect();
        let body = json!({ "epoch": 1, "NextToken": 1, "held": held }).to_string();
        Some(respond(request, stream, 200, &body))
    }
}
