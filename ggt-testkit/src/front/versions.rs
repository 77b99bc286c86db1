//! Servers whose events name their software version.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::ops::RangeInclusive;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::stream_head;

/// Replies with events that name a software version.
#[derive(Clone, Debug)]
pub struct VersionScript {
    /// The version.
    pub version: &'static str,
    /// Numbers of the events of a whole stream; of these, a reply has the ones that the caller lacks.
    pub events: RangeInclusive<u64>,
    /// Whether the reply breaks off after them.
    pub is_cut: bool,
}

impl VersionScript {
    /// Makes a server reply so to every request. Its next registrations name the version too.
    pub fn set_on(self, server: &ServerStandin) {
        server.set_version(self.version);
        server.set_script(move |request, stream| self.send(request, stream));
    }

    /// Sends the reply to a request.
    pub fn send(&self, request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
        let mut text = stream_head(request);
        let is_missing = |id: &u64| request.last_event_id().is_none_or(|last| *id > last);
        for id in self.events.clone().filter(is_missing) {
            let event = format!("id: {id}\ndata: {}\n\n", self.version);
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
        }
        if !self.is_cut {
            text.push_str("0\r\n\r\n");
        }
        // The daemon may have closed the connection already.
        let _ = stream.write_all(text.as_bytes());
        if self.is_cut { AfterResponse::Close } else { AfterResponse::Keep }
    }
}

/// The versions of the events in a response's body.
pub fn versions_in(body: &str) -> BTreeSet<&str> {
    body.lines().filter_map(|line| line.strip_prefix("data: ")).collect()
}
