//! Requests about crash reports, and the gateways that follow the reports.

use crate::clock::now;
use crate::followers::Follower;
use crate::metrics::crash_request_kind;
use crate::server::Shared;
use luglink_turns::{
    ClientView, CrashRequest, CrashResponse, LEASE_HOLD, LogPosition, RequestToken,
};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Minimum time between two rounds of responses to followers, for each of them. It bounds what the
/// reports cost that arrive while many runs fail: those of one interval go in one response.
const ROUND_INTERVAL_PER_FOLLOWER: Duration = Duration::from_micros(500);

/// Maximum time between two rounds. A lease outlasts several of them.
const MAX_ROUND_INTERVAL: Duration = LEASE_HOLD;

/// Response that acknowledges reports which are not synced yet.
#[derive(Debug)]
pub(crate) struct UnsyncedReply {
    token: RequestToken,
    response: CrashResponse,
    needs_followers: bool,
}

impl Shared {
    pub(crate) fn on_crash_request(
        &self,
        token: RequestToken,
        client_view: Option<ClientView>,
        request: &CrashRequest,
    ) {
        let requests = &self.metrics.requests;
        let kind = crash_request_kind(request);
        requests.with_label_values(&[kind]).inc();
        let handled = {
            let mut node = self.node.borrow_mut();
            node.handle_crash_request(client_view, request, now())
        };
        let response = match handled {
            Ok(response) => response,
            Err(refusal) => {
                let epoch = self.node.borrow().epoch();
                return self.refuse(token, refusal, client_view, epoch);
            }
        };
        if let CrashRequest::Update(update) = request {
            let mut sessions = self.sessions.borrow_mut();
            sessions.insert(update.session, token.client);
        }
        match request {
            CrashRequest::Follow(position) => self.follow(token, *position, &response),
            CrashRequest::FollowLeased(position) => {
                let mut leases = self.leases.borrow_mut();
                leases.grant(token.client, *position, response.position, now());
                drop(leases);
                self.follow(token, *position, &response);
                self.acknowledge_reports();
            }
            request if request.needs_sync() => {
                self.unsynced_replies.borrow_mut().push(UnsyncedReply {
                    token,
                    response,
                    needs_followers: request.needs_followers(),
                });
                self.flush_needed.notify_one();
            }
            _ => self.reply_with_parts(token, response.encode()),
        }
        self.tell_followers_of_changes();
    }

    /// Holds the request of a follower until the next round of responses.
    fn follow(&self, token: RequestToken, position: LogPosition, response: &CrashResponse) {
        let follower = Follower::new(token, position, response.has_lease);
        self.followers.borrow_mut().add(follower);
        if position != response.position {
            self.begin_round();
        }
    }

    /// Syncs the reports that were kept since the last call, and sends the responses that waited for it.
    pub(crate) fn sync_reports(&self) {
        let waiting = self.unsynced_replies.take();
        let started = Instant::now();
        let synced = self.node.borrow_mut().sync_reports();
        if !waiting.is_empty() {
            let seconds = started.elapsed().as_secs_f64();
            self.metrics.report_sync_seconds.observe(seconds);
        }
        self.note_run_events();
        if let Err(error) = synced {
            for reply in waiting {
                let reason = format!("cannot make crash reports durable: {error}");
                self.fail(reply.token, reason);
            }
            return;
        }
        for reply in waiting {
            if reply.needs_followers {
                let mut leases = self.leases.borrow_mut();
                leases.hold(reply.token, reply.response);
            } else {
                self.reply_with_parts(reply.token, reply.response.encode());
            }
        }
        self.acknowledge_reports();
    }

    /// Acknowledges the reports that all followers with a lease have.
    pub(crate) fn acknowledge_reports(&self) {
        let due = self.leases.borrow_mut().take_due(now());
        for (token, response) in due {
            self.reply_with_parts(token, response.encode());
        }
    }

    /// Tells followers of the reports that they were not told of.
    fn tell_followers_of_changes(&self) {
        let position = self.node.borrow().crash_position();
        if self.told_position.get() != position {
            self.begin_round();
        }
    }

    /// Answers followers at once, or as soon as the next round of responses may begin.
    fn begin_round(&self) {
        match Instant::now() >= self.next_round.get() {
            true => self.answer_followers(),
            false => self.reports_changed.notify_one(),
        }
    }

    fn round_interval(&self) -> Duration {
        let followers = self.leases.borrow().len();
        let followers = u32::try_from(followers).unwrap_or(u32::MAX);
        let interval = ROUND_INTERVAL_PER_FOLLOWER.saturating_mul(followers);
        interval.min(MAX_ROUND_INTERVAL)
    }

    /// Sends new crash reports to the gateways that wait for them, and an empty response to those
    /// that have waited long enough.
    pub(crate) fn answer_followers(&self) {
        let mut node = self.node.borrow_mut();
        if !node.has_complete_crash_reports() {
            return;
        }
        self.told_position.set(node.crash_position());
        self.next_round.set(Instant::now() + self.round_interval());
        let due = self.followers.borrow_mut().take_due(node.crash_position());
        for follower in due {
            let request = follower.request();
            if let Ok(response) = node.handle_crash_request(None, &request, now()) {
                self.reply_with_parts(follower.token, response.encode());
            }
        }
    }
}

/// Answers the followers that have to wait for the next round.
pub(crate) async fn answer_followers_in_rounds(shared: Rc<Shared>) {
    loop {
        shared.reports_changed.notified().await;
        actix_rt::time::sleep_until(shared.next_round.get().into()).await;
        shared.answer_followers();
    }
}
