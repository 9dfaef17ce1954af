//! The groups of a search that other hosts gather: asking for them, and using their messages.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderValue;
use vanillapick_dispatch::crash_guard::ReplicaKind;
use vanillapick_dispatch::crash_guard::TargetLoss;
use vanillapick_dispatch::shard_groups::confirmation_time;
use vanillapick_dispatch::shard_groups::first_message_due;
use vanillapick_dispatch::shard_groups::owner_timeout;

use super::RequestFlow;
use crate::crash_state::wall_now;
use crate::parts_client::GroupFailure;
use crate::parts_client::GroupProgress;
use crate::parts_client::continue_group;
use crate::parts_client::start_group;
use crate::parts_wire::PartsMessage;
use crate::parts_wire::PartsRequest;
use crate::parts_wire::encode_headers;

/// Parts that other hosts have gathered.
#[derive(Default)]
pub(super) struct GatheredParts {
    pub(super) stamps: Vec<HeaderValue>,
    /// Records of each message; together they contain the greatest ones of all stamped parts.
    pub(super) records: Vec<Bytes>,
    /// Groups whose first message was confirmed, so that their owners have the second attempts.
    confirmed_groups: BTreeSet<usize>,
}

impl RequestFlow {
    /// Asks owners for the groups that the plan waits for.
    pub(super) fn send_groups(&mut self) {
        for number in 0..self.groups.len() {
            let group = self.groups[number].clone();
            if !self.plan.is_gathered(group.shards[0]) {
                continue;
            }
            let (request, times) = (&self.request, &self.times);
            let now = request.host.now();
            let settings = &request.host.settings;
            let regions = &settings.regions;
            let is_same_region = regions.get(&*group.domain) == regions.get(&settings.domain);
            let soft_left = times.soft_deadline.min(times.deadline).saturating_sub(now);
            let asked = PartsRequest {
                version: request.view.serving.version,
                route: self.route.id.to_string(),
                prior_attempts: 0,
                shards: group.shards.clone(),
                confirm_after: confirmation_time(is_same_region),
                first_message: first_message_due(soft_left),
                soft_left,
                left: times.deadline.saturating_sub(now),
                caller_left: request.deadline.saturating_sub(now),
                method: request.method.to_string(),
                uri: request.uri.to_string(),
                request_id: Bytes::copy_from_slice(request.request_id.as_bytes()),
                headers: encode_headers(&request.headers),
                body: request.body.clone(),
            };
            let starting = start_group(
                Arc::clone(&request.host),
                Arc::clone(&request.view),
                group.owners,
                asked,
                owner_timeout(soft_left),
            );
            self.gathering.push(Box::pin(async move { (number, starting.await) }));
        }
    }

    /// Handles a message or the failure of a group.
    pub(super) fn on_progress(&mut self, number: usize, progress: GroupProgress) {
        let shards = self.groups[number].shards.clone();
        let failure = match progress {
            Ok((message, call)) => {
                if call.is_some() {
                    self.gathered.confirmed_groups.insert(number);
                }
                if let Some(stamps) = self.read_stamps(&message, &shards) {
                    let is_over = call.is_none();
                    if let Some(call) = call {
                        let host = Arc::clone(&self.request.host);
                        let next = async move { (number, continue_group(host, call).await) };
                        self.gathering.push(Box::pin(next));
                    }
                    self.on_message(message, stamps, &shards);
                    if is_over {
                        self.plan.abandon_gathered(&shards);
                    }
                    return;
                }
                GroupFailure::Lost("a message has parts that were not asked for".into())
            }
            Err(failure) => failure,
        };
        let (label, may_have_run, detail) = match failure {
            GroupFailure::NotStarted(detail) => ("not_started", false, detail),
            GroupFailure::Refused(status) => ("refused", false, status.to_string()),
            GroupFailure::CutOff => ("cut_off", false, "the owner is cut off".to_owned()),
            GroupFailure::Lost(detail) => ("lost", true, detail),
            GroupFailure::Exhausted(detail) => ("exhausted", true, detail),
        };
        metrics::counter!("vanillapick_group_failures_total", "end" => label).increment(1);
        self.failures.push(format!("group {number}: {detail}"));
        if label == "exhausted" || self.gathered.confirmed_groups.contains(&number) {
            self.plan.abandon_gathered(&shards);
            return;
        }
        let now = self.request.host.now();
        let commands = self.plan.take_back(&shards, may_have_run, now, &mut self.rng);
        self.send(commands);
    }

    /// Stamps of a message, if it has parts of shards that its sender was asked for, each once. Parts and records belong
    /// together, so a message counts as a whole or not at all.
    fn read_stamps(&self, message: &PartsMessage, shards: &[usize]) -> Option<Vec<HeaderValue>> {
        let distinct: BTreeSet<usize> = message.parts.iter().map(|(shard, _)| *shard).collect();
        let mut expected = distinct.iter().filter(|shard| shards.contains(shard));
        if expected.clone().count() < message.parts.len()
            || !expected.all(|shard| self.plan.is_gathered(*shard))
        {
            return None;
        }
        let stamps = message.parts.iter().map(|(_, stamp)| stamp.clone());
        stamps.map(|stamp| HeaderValue::from_maybe_shared(stamp).ok()).collect()
    }

    /// Counts a loss that an owner reports. Owners tell all hosts of their losses themselves; those of earlier versions of the
    /// program report only that there was one.
    fn record_group_loss(&self, shards: &[usize]) {
        let host = &self.request.host;
        let lost = wall_now();
        let sent = lost.saturating_sub(host.now().saturating_sub(self.times.arrived));
        let target = format!("shard {} of {}", shards[0], self.route.id);
        // No answer explains the loss, because the owner doesn't say of which pool the target was.
        let kind = ReplicaKind { pool: 0, version: 0 };
        let loss = TargetLoss { lost, sent, target: target.into(), kind };
        host.crash_state.record_loss(self.request.fingerprint, loss, &host.settings.host);
    }

    fn on_message(&mut self, message: PartsMessage, stamps: Vec<HeaderValue>, shards: &[usize]) {
        if message.has_lost_target && message.parts.is_empty() && self.plan.answered_count() == 0 {
            self.record_group_loss(shards);
        }
        for (shard, _) in &message.parts {
            self.plan.on_gathered(*shard);
        }
        let failed: Vec<usize> =
            message.failed.into_iter().filter(|shard| shards.contains(shard)).collect();
        self.plan.abandon_gathered(&failed);
        self.gathered.stamps.extend(stamps);
        self.gathered.records.push(message.records);
    }
}
