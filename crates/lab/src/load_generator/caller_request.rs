//! Sends one request to entry hosts, with its resends, and classifies the outcome.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use reqwest::StatusCode;
use tokio::time;
use vanillapick_model::answer::CoverageReport;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RunOutcome;
use vanillapick_model::answer::SearchAnswer;
use vanillapick_model::call::RequestId;
use vanillapick_model::call::header;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::ShardMapId;

use crate::load_generator::LoadContext;
use crate::load_generator::answer_check::AnswerFaults;
use crate::load_generator::answer_check::check_search;
use crate::load_generator::answer_check::check_value;
use crate::load_generator::load_plan::MixEntry;
use crate::load_generator::load_record::RequestOutcome;

/// Time after its deadline for which a caller still waits for the reply.
const REPLY_GRACE: Duration = Duration::from_secs(2);

/// A request whose scheduled send time has come.
pub(crate) struct CallerRequest<'a> {
    pub(crate) context: &'a LoadContext,
    pub(crate) entry: &'a MixEntry,
    pub(crate) number: u64,
    pub(crate) request_id: RequestId,
    pub(crate) scheduled_at: time::Instant,
}

/// Outcome of a request, with the ids under which it was sent and those whose refusal says that nothing ran.
pub(crate) struct RequestReport {
    pub(crate) outcome: RequestOutcome,
    pub(crate) sent_ids: Vec<RequestId>,
    pub(crate) not_run_ids: Vec<RequestId>,
}

enum SendResult {
    Replied { status: StatusCode, body: Bytes },
    NoReply,
}

impl CallerRequest<'_> {
    /// Sends the request and, as far as its mix entry allows, resends it to other hosts.
    pub(crate) async fn run(self) -> RequestReport {
        let body = self.entry.body(self.number);
        let mut report = RequestReport {
            outcome: RequestOutcome::NoReply,
            sent_ids: Vec::new(),
            not_run_ids: Vec::new(),
        };
        let mut last_host = None;
        for resend in 0..=self.entry.resends {
            let Some(host) = self.context.balancer.pick(last_host) else { break };
            last_host = Some(host);
            let request_id = match resend {
                0 => self.request_id.clone(),
                _ => format!("{}-r{resend}", self.request_id),
            };
            report.sent_ids.push(request_id.clone());
            let can_resend_early = self.entry.keyed && resend < self.entry.resends;
            let sending = self.send(host, &request_id, &body);
            let sent = match self.entry.resend_after_ms.filter(|_| can_resend_early) {
                Some(wait) => time::timeout(Duration::from_millis(wait), sending).await,
                None => Ok(sending.await),
            };
            let sent = sent.unwrap_or(SendResult::NoReply);
            let (outcome, is_not_run) = self.classify(sent, &request_id, body.as_bytes());
            report.outcome = outcome;
            if is_not_run {
                report.not_run_ids.push(request_id);
            }
            let is_answered = matches!(report.outcome, RequestOutcome::Answered { .. });
            if is_answered || !(self.entry.keyed || is_not_run) {
                break;
            }
        }
        report
    }

    async fn send(&self, host: SocketAddr, request_id: &str, body: &str) -> SendResult {
        let route = &self.entry.route;
        let kind = match self.context.route(route).map(|info| info.kind) {
            Some(RouteKind::Search) | None => "search",
            Some(RouteKind::Read) => "read",
            Some(RouteKind::Write) => "write",
        };
        let deadline = Duration::from_millis(self.entry.deadline_ms);
        let mut call = self
            .context
            .client
            .post(format!("http://{host}/{kind}/{route}"))
            .timeout(deadline + REPLY_GRACE)
            .header(header::REQUEST_ID, request_id)
            .header(header::DEADLINE_MS, self.entry.deadline_ms)
            .body(body.to_owned());
        if kind == "read" {
            call = call.header(header::KEY, self.number);
        }
        if self.entry.keyed {
            call = call.header(header::IDEMPOTENCY_KEY, &self.request_id);
        }
        let Ok(reply) = call.send().await else { return SendResult::NoReply };
        let status = reply.status();
        match reply.bytes().await {
            Ok(body) => SendResult::Replied { status, body },
            Err(_) => SendResult::NoReply,
        }
    }

    fn classify(&self, sent: SendResult, request_id: &str, body: &[u8]) -> (RequestOutcome, bool) {
        let SendResult::Replied { status, body: reply } = sent else {
            return (RequestOutcome::NoReply, false);
        };
        if !status.is_success() {
            return match serde_json::from_slice::<RefusalBody>(&reply) {
                Ok(refusal) => {
                    let is_not_run = refusal.outcome == RunOutcome::NotRun;
                    (RequestOutcome::Refused(refusal.code.to_string()), is_not_run)
                }
                Err(_) => {
                    (RequestOutcome::Refused(format!("malformed_{}", status.as_u16())), false)
                }
            };
        }
        let latency = self.scheduled_at.elapsed();
        let in_time = latency <= Duration::from_millis(self.entry.deadline_ms);
        let (search, faults) = self.check_answer(&reply, request_id, body);
        (RequestOutcome::Answered { latency, in_time, search, faults }, false)
    }

    fn check_answer(
        &self,
        reply: &[u8],
        request_id: &str,
        body: &[u8],
    ) -> (Option<(ShardMapId, CoverageReport)>, AnswerFaults) {
        let info = self.context.route(&self.entry.route);
        let Some(info) = info.filter(|info| info.kind == RouteKind::Search) else {
            return (None, check_value(reply, body));
        };
        let Ok(answer) = serde_json::from_slice::<SearchAnswer>(reply) else {
            return (None, AnswerFaults { foreign: true, ..AnswerFaults::default() });
        };
        let total = answer.coverage.total;
        let is_known = info.shards.get(&answer.shard_map).is_some_and(|all| all.contains(&total));
        let shards = if is_known { total } else { 0 };
        let faults = check_search(&answer, request_id, body, shards, info.merge_size);
        (Some((answer.shard_map, answer.coverage)), faults)
    }
}
