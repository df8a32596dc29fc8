//! Requests that go on with a stream which began at another request.

use std::time::Duration;

use super::{
    DirectAction, DirectMachine, FailureReason, FlowId, PeerName, RetryPolicy, SoftwareVersion,
    StreamId, StreamMessage, StreamOrigin,
    machine::NO_TARGET_DELAY,
    stream::{
        ORIGIN_QUERY_TIMEOUT, OriginQuery, PeerNames, STARTING_QUERY_TIMEOUT, origin_holders,
    },
};
use crate::ids::ClockTime;

impl DirectMachine {
    /// Finds where the stream began that a request goes on with, and places the request.
    pub(super) fn resume(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let Some(resume) = &flow.request.resumes else { return };
        let Some(stream) = resume.stream.clone() else {
            return self.resume_unknown(now, id, out);
        };
        if let Some(origin) = self.origins.get(now, &stream) {
            return self.resume_at(now, id, &origin, out);
        }
        let timeout = match (self.is_starting(now), self.peers.is_empty()) {
            (true, _) => STARTING_QUERY_TIMEOUT,
            (false, false) => ORIGIN_QUERY_TIMEOUT,
            (false, true) => return self.resume_unknown(now, id, out),
        };
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.origin_query = Some(OriginQuery {
            stream,
            asked: PeerNames::new(),
            unanswered: PeerNames::new(),
            until: now + timeout,
        });
        self.querying.push(id);
        self.ask_holders(id, out);
    }

    /// Asks the peers that hold the origin of a request's stream and were not asked yet.
    fn ask_holders(&mut self, id: FlowId, out: &mut Vec<DirectAction>) {
        let query = self.flows.get_mut(&id).and_then(|flow| flow.origin_query.as_mut());
        let Some(query) = query else { return };
        let mut peers = origin_holders(&query.stream, &self.settings.name, self.peers.names());
        peers.retain(|peer| !query.asked.contains(peer));
        if peers.is_empty() {
            return;
        }
        query.asked.extend(peers.iter().cloned());
        query.unanswered.extend(peers.iter().cloned());
        let message = StreamMessage::Query(query.stream.clone());
        out.push(DirectAction::SendToPeers { peers: peers.to_vec(), message });
    }

    /// Returns whether peers may exist that this process has not heard of yet.
    fn is_starting(&self, now: ClockTime) -> bool {
        self.started.is_none_or(|started| now < started + self.peers.timeout())
    }

    /// Places a request that goes on with a stream of known origin.
    fn resume_at(
        &mut self,
        now: ClockTime,
        id: FlowId,
        origin: &StreamOrigin,
        out: &mut Vec<DirectAction>,
    ) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let services = &flow.request.route.services;
        if !services.iter().any(|weighted| weighted.service == origin.service) {
            return self.fail_request(id, FailureReason::NoTarget, NO_TARGET_DELAY, out);
        }
        flow.service = origin.service.clone();
        flow.version = Some(origin.version.clone());
        self.place(now, id, out);
    }

    /// Places a request that goes on with a stream of unknown origin, if its service has had
    /// one version only for as long as the stream can have lasted.
    fn resume_unknown(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let version = self.only_version(now, id);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.version = version;
        if flow.version.is_some() {
            self.place(now, id, out);
        } else {
            self.fail_request(id, FailureReason::StreamVersionUnknown, Duration::ZERO, out);
        }
    }

    /// Returns the software version of all targets that a stream of a route can have run at.
    fn only_version(&self, now: ClockTime, id: FlowId) -> Option<SoftwareVersion> {
        let route = &self.flows.get(&id)?.request.route;
        let longest = self.returns.get(&route.name).map_or(Duration::ZERO, |known| known.longest());
        let since = now.saturating_sub(longest.max(route.timeout));
        match route.services.as_slice() {
            [weighted] => self.fleet.only_version_since(now, since, &weighted.service),
            _ => None,
        }
    }

    /// Records where the stream of a request began, and tells the peers that hold its origin.
    pub(super) fn stream_began(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get(&id) else { return };
        let Some(call) = &flow.call else { return };
        if flow.request.route.retry != RetryPolicy::Resume {
            return;
        }
        let resumed = flow.request.resumes.as_ref().and_then(|resume| resume.stream.clone());
        let origin = StreamOrigin {
            stream: resumed.unwrap_or_else(|| flow.request.id.clone()),
            service: call.target.service.clone(),
            version: call.target.version.clone(),
            time_left: flow.deadline.saturating_sub(now),
        };
        let peers = origin_holders(&origin.stream, &self.settings.name, self.peers.names());
        self.origins.insert(now, origin.clone());
        if !peers.is_empty() {
            let message = StreamMessage::Began(origin);
            out.push(DirectAction::SendToPeers { peers: peers.to_vec(), message });
        }
    }

    /// Handles a message of a peer.
    pub(super) fn stream_message(
        &mut self,
        now: ClockTime,
        peer: PeerName,
        message: StreamMessage,
        out: &mut Vec<DirectAction>,
    ) {
        match message {
            StreamMessage::Began(origin) => {
                self.origins.insert(now, origin.clone());
                for id in self.take_queries(|query| query.stream == origin.stream) {
                    self.resume(now, id, out);
                }
            }
            StreamMessage::Query(stream) => {
                let message = match self.origins.get(now, &stream) {
                    Some(origin) => StreamMessage::Began(origin),
                    None => StreamMessage::Unknown(stream),
                };
                out.push(DirectAction::SendToPeers { peers: vec![peer], message });
            }
            StreamMessage::Unknown(stream) => self.origin_denied(now, &peer, &stream, out),
        }
    }

    fn origin_denied(
        &mut self,
        now: ClockTime,
        peer: &PeerName,
        stream: &StreamId,
        out: &mut Vec<DirectAction>,
    ) {
        for id in &self.querying {
            let query = self.flows.get_mut(id).and_then(|flow| flow.origin_query.as_mut());
            if let Some(query) = query.filter(|query| query.stream == *stream) {
                query.unanswered.retain(|name| name != peer);
            }
        }
        if self.is_starting(now) {
            return;
        }
        for id in self.take_queries(|query| query.unanswered.is_empty()) {
            self.resume_unknown(now, id, out);
        }
    }

    /// Asks peers that were heard of since, and ends the queries without an answer in time.
    pub(super) fn continue_queries(&mut self, now: ClockTime, out: &mut Vec<DirectAction>) {
        for id in self.querying.clone() {
            self.ask_holders(id, out);
        }
        for id in self.take_queries(|query| query.until <= now) {
            self.resume_unknown(now, id, out);
        }
    }

    /// Removes the queries that match and returns their requests.
    fn take_queries(&mut self, matches: impl Fn(&OriginQuery) -> bool) -> Vec<FlowId> {
        let flows = &mut self.flows;
        let taken = self.querying.extract_if(.., |id| {
            let Some(flow) = flows.get_mut(id) else { return true };
            flow.origin_query.take_if(|query| matches(query)).is_some()
        });
        taken.collect()
    }
}
