//! Resumption of broken streams, and moves of streams to other replicas.

use super::{Relay, Source};
use crate::attempts::{choose, next_replica};
use crate::exchange::send;
use crate::failure::Failure;
use luglink_fleet::Backend;
use luglink_http::BodySender;
use luglink_telemetry::milliseconds;
use std::time::{Duration, Instant};

/// Maximum number of times that a broken stream is resumed.
const MAX_RESUMPTIONS: u32 = 3;

/// Delay before a broken stream is resumed at the same replica.
const RESUMPTION_DELAY: Duration = Duration::from_millis(10);

/// Returns how the software versions of two replicas relate, for logs and metrics.
fn version_relation(from: &Backend, to: &Backend) -> &'static str {
    match (&from.version, &to.version) {
        _ if from.id == to.id => "same_replica",
        (Some(before), Some(after)) if before == after => "same",
        (Some(_), Some(_)) => "other",
        _ => "unknown",
    }
}

impl Relay {
    /// Resumes a broken stream after its last event, if the route allows it: at the same replica,
    /// or at another one of its software version if that replica is unreachable, no longer listed or
    /// has drained, or another replica has its address. A replica that still exists counts as having
    /// run the request, so the stream does not continue at another one unless the route allows one
    /// more attempt.
    pub(super) async fn resume(
        &mut self,
        broken: Source,
        reason: &'static str,
    ) -> Result<Source, &'static str> {
        let Source { backend, run, .. } = broken;
        run.broke().await;
        self.splitter.clear();
        self.last_event_at = None;
        if !self.inbound.route.resumable || self.resumptions >= MAX_RESUMPTIONS {
            let mut pool = self.gateway.pool.borrow_mut();
            if !pool.has_restarted(&backend) {
                pool.failed(&backend.id, self.gateway.now());
            }
            return Err(reason);
        }
        self.resumptions += 1;
        let now = Instant::now();
        let is_replica_connected = self.gateway.upstream.has_open_since(&backend.id, now);
        tracing::info!(
            id = self.inbound.id,
            request = %self.inbound.fingerprint,
            replica = %backend.id,
            started_ms = backend.incarnation.0,
            reason,
            is_replica_connected,
            events = self.events,
            "resuming a broken stream"
        );
        self.overrides.last_event_id.clone_from(&self.last_event_id);
        actix_rt::time::sleep(RESUMPTION_DELAY).await;
        self.move_watch.note_sent(&self.inbound, &self.attempts);
        if self.has_drained(&backend) {
            // It counts as having run the request.
            if self.attempts.runs + 1 >= self.inbound.route.max_attempts {
                return Err("replica_drained");
            }
        } else if !self.was_replaced(&backend) {
            let failure = match self.resume_at(&backend).await {
                Ok(source) => return Ok(self.note_resumed(&backend, source)),
                Err(failure) => failure,
            };
            let is_listed = self.gateway.pool.borrow().listed(&backend.id).is_some();
            let is_gone = matches!(
                failure,
                Failure::Unreachable | Failure::Misdirected | Failure::Restarted
            );
            if !is_gone && is_listed {
                return Err("not_resumed");
            }
        }
        let attempts = self.attempts.excluding(backend.id.clone());
        let other = choose(&self.gateway, &self.inbound, &attempts, None);
        let other = other.map_err(|_| "nowhere_to_resume")?;
        let resumed = self.resume_at(&other).await;
        let resumed = resumed.map_err(|_| "not_resumed_elsewhere")?;
        Ok(self.note_resumed(&backend, resumed))
    }

    /// Returns true if the replica may get no request any more.
    fn has_drained(&self, replica: &Backend) -> bool {
        let pool = self.gateway.pool.borrow();
        pool.has_drained(&replica.id, self.gateway.now())
    }

    /// Returns true if the replica's identifier now belongs to one that may not continue the stream.
    fn was_replaced(&self, replica: &Backend) -> bool {
        let pool = self.gateway.pool.borrow();
        let listed = pool.listed(&replica.id);
        match (listed, &self.attempts.origin) {
            (Some(listed), Some(origin)) => !origin.may_continue_at(listed),
            _ => false,
        }
    }

    /// Records that the stream goes on at another response.
    fn note_resumed(&self, from: &Backend, to: Source) -> Source {
        let replica = &to.backend;
        let relation = version_relation(from, replica);
        let counter = &self.gateway.metrics.resumptions;
        counter.with_label_values(&[relation]).inc();
        tracing::info!(
            id = self.inbound.id,
            from = %from.id,
            from_version = from.version.as_ref().map(tracing::field::display),
            to = %replica.id,
            to_version = replica.version.as_ref().map(tracing::field::display),
            relation,
            events = self.events,
            last_event_id = self.last_event_id,
            list_age_ms = self.gateway.list_age().map(milliseconds),
            "stream resumed"
        );
        to
    }

    /// Moves the stream to another replica if the current one has sent nothing for too long.
    /// Otherwise returns the same source.
    pub(super) async fn check_move(
        &mut self,
        source: Source,
        sender: &BodySender,
    ) -> Result<Source, &'static str> {
        let current = &source.backend;
        let Some(other) = self
            .move_watch
            .check_move(&self.inbound, current, &self.attempts)
        else {
            return Ok(source);
        };
        tokio::select! {
            biased;
            () = sender.closed() => Err("caller_gone"),
            moved = self.move_to(source, other) => moved,
        }
    }

    async fn move_to(&mut self, from: Source, mut to: Backend) -> Result<Source, &'static str> {
        self.attempts.note_moved(&from.backend);
        let previous = from.backend.clone();
        // Cancels the request at the previous replica before another one resumes it.
        drop(from);
        self.splitter.clear();
        self.overrides.last_event_id.clone_from(&self.last_event_id);
        loop {
            self.move_watch.note_sent(&self.inbound, &self.attempts);
            let failure = match self.resume_at(&to).await {
                Ok(source) => return Ok(self.note_resumed(&previous, source)),
                Err(failure) => failure,
            };
            self.move_watch.note_failed(failure);
            let verdict = self
                .attempts
                .note_failure(&self.gateway, &self.inbound, &to, failure);
            verdict.map_err(|_| "not_moved")?;
            let next = next_replica(&self.gateway, &self.inbound, &mut self.attempts, None);
            to = next.await.map_err(|_| "nowhere_to_move")?;
        }
    }

    async fn resume_at(&self, backend: &Backend) -> Result<Source, Failure> {
        let answer = send(&self.gateway, &self.inbound, backend, &self.overrides).await?;
        if !answer.response.status().is_success() {
            return Err(Failure::NotResumed);
        }
        let (head, incoming) = answer.response.into_parts();
        Ok(Source {
            incoming,
            headers: head.headers,
            lease: answer.lease,
            backend: answer.backend,
            _replica_guard: answer.replica_guard,
            run: answer.run,
        })
    }
}
