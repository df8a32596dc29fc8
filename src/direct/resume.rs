//! Requests that go on with a stream which began at another request.

use std::time::Duration;

use super::{
    DirectAction, DirectMachine, FailureReason, FlowId, PeerName, RetryPolicy, RouteConfig,
    StreamId, StreamMessage, StreamOrigin,
    machine::NO_TARGET_DELAY,
    stream::{
        LIST_READ_TIMEOUT, ORIGIN_QUERY_TIMEOUT, OriginQuery, PeerNames, QueryStage,
        STARTING_QUERY_TIMEOUT, origin_holders,
    },
    version::VersionSet,
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
            stream: Some(stream),
            asked: PeerNames::new(),
            unanswered: PeerNames::new(),
            stage: QueryStage::Peers,
            until: now + timeout,
        });
        self.querying.push(id);
        self.ask_holders(id, out);
    }

    /// Asks the peers that hold the origin of a request's stream and were not asked yet.
    fn ask_holders(&mut self, id: FlowId, out: &mut Vec<DirectAction>) {
        let query = self.flows.get_mut(&id).and_then(|flow| flow.origin_query.as_mut());
        let Some(query) = query else { return };
        let Some(stream) = query.stream.clone() else { return };
        let mut peers = origin_holders(&stream, &self.settings.name, self.peers.names());
        peers.retain(|peer| !query.asked.contains(peer));
        if peers.is_empty() {
            return;
        }
        query.asked.extend(peers.iter().cloned());
        query.unanswered.extend(peers.iter().cloned());
        let message = StreamMessage::Query(stream);
        out.push(DirectAction::SendToPeers { peers: peers.to_vec(), message });
    }

    /// Returns whether peers may exist that this process has not heard of yet.
    pub(super) fn is_starting(&self, now: ClockTime) -> bool {
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
    ///
    /// An old list does not show that: the stream may have begun, at another entry, at a version
    /// that was registered since. So the list has to be read after the request came.
    fn resume_unknown(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let versions = self.possible_versions(now, id);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let is_known = self.fleet.is_list_current(flow.arrived) && self.fleet.versions.is_loaded();
        match versions {
            VersionSet::One(version) if is_known => {
                flow.version = Some(version);
                self.place(now, id, out);
            }
            VersionSet::One(_) | VersionSet::Empty if !is_known => self.await_list(now, id, out),
            VersionSet::One(_) | VersionSet::Empty | VersionSet::Several => {
                self.refuse_unknown(id, out);
            }
        }
    }

    fn refuse_unknown(&mut self, id: FlowId, out: &mut Vec<DirectAction>) {
        self.fail_request(id, FailureReason::StreamVersionUnknown, Duration::ZERO, out);
    }

    /// Lets a request wait until the list of targets was read.
    fn await_list(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let resume = flow.request.resumes.as_ref();
        flow.origin_query = Some(OriginQuery {
            stream: resume.and_then(|resume| resume.stream.clone()),
            asked: PeerNames::new(),
            unanswered: PeerNames::new(),
            stage: QueryStage::TargetList,
            until: now + LIST_READ_TIMEOUT,
        });
        self.querying.push(id);
        out.push(DirectAction::ReadTargets);
    }

    /// Places or refuses the requests that waited for the list of targets.
    pub(super) fn continue_waiting(&mut self, now: ClockTime, out: &mut Vec<DirectAction>) {
        if !self.fleet.versions.is_loaded() {
            return;
        }
        let fleet = &self.fleet;
        let flows = &mut self.flows;
        let taken = self.querying.extract_if(.., |id| {
            let Some(flow) = flows.get_mut(id) else { return true };
            let arrived = flow.arrived;
            let is_answered = |query: &mut OriginQuery| {
                query.stage == QueryStage::TargetList && fleet.is_list_current(arrived)
            };
            flow.origin_query.take_if(is_answered).is_some()
        });
        for id in taken.collect::<Vec<FlowId>>() {
            self.resume_unknown(now, id, out);
        }
    }

    /// Returns the software versions that a stream of a request's route can have begun at.
    fn possible_versions(&self, now: ClockTime, id: FlowId) -> VersionSet {
        let Some(flow) = self.flows.get(&id) else { return VersionSet::Empty };
        let route = &flow.request.route;
        let since = now.saturating_sub(self.longest_stream(route));
        match route.services.as_slice() {
            [weighted] => self.fleet.versions_since(since, &weighted.service),
            _ => VersionSet::Several,
        }
    }

    /// Returns for how long a stream of a route can be taken up after it began.
    pub(super) fn longest_stream(&self, route: &RouteConfig) -> Duration {
        let longest = self.returns.get(&route.name).map_or(Duration::ZERO, |known| known.longest());
        longest.max(route.timeout)
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
                let stream = Some(&origin.stream);
                for id in self.take_queries(|query| query.stream.as_ref() == stream) {
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
            if let Some(query) = query.filter(|query| query.stream.as_ref() == Some(stream)) {
                query.unanswered.retain(|name| name != peer);
            }
        }
        if self.is_starting(now) {
            return;
        }
        let is_denied =
            |query: &OriginQuery| query.stage == QueryStage::Peers && query.unanswered.is_empty();
        for id in self.take_queries(is_denied) {
            self.resume_unknown(now, id, out);
        }
    }

    /// Asks peers that were heard of since, and ends the queries without an answer in time.
    pub(super) fn continue_queries(&mut self, now: ClockTime, out: &mut Vec<DirectAction>) {
        for id in self.querying.clone() {
            self.ask_holders(id, out);
        }
        let is_over = |query: &OriginQuery, stage| query.stage == stage && query.until <= now;
        for id in self.take_queries(|query| is_over(query, QueryStage::TargetList)) {
            self.refuse_unknown(id, out);
        }
        for id in self.take_queries(|query| is_over(query, QueryStage::Peers)) {
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
