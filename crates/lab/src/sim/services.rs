//! Replicas of a plain service in the simulator.

use crate::sim::engines::Connection;
use crate::sim::message::{Delivery, Message, SimEvent};
use crate::sim::node::Node;
use crate::sim::world::World;
use luglink_daemon::{DispatchBody, EngineEvent};
use std::collections::VecDeque;
use std::time::Duration;

/// Time a lookup takes.
const SERVICE_TIME: Duration = Duration::from_millis(4);

/// Path under which the service answers.
pub(crate) const LOOKUP_PATH: &str = "/lookup/";

/// One replica. It has no state besides the lookups under way.
#[derive(Debug, Default)]
pub(crate) struct ServiceProcess {
    under_way: VecDeque<(Connection, String)>,
}

impl World {
    pub(crate) fn deliver_to_service(&mut self, service: usize, delivery: Delivery) {
        let Message::Dispatch {
            daemon,
            process,
            dispatch,
        } = delivery.message
        else {
            return;
        };
        let DispatchBody::Lookup(lookup) = dispatch.body else {
            return;
        };
        let request = lookup.path.trim_start_matches(LOOKUP_PATH).to_owned();
        self.history.service_runs.push(request.clone());
        let connection = Connection {
            daemon,
            process,
            attempt: dispatch.attempt,
        };
        self.services[service]
            .under_way
            .push_back((connection, request));
        let at = self.now.plus(SERVICE_TIME);
        let node = Node::Service(service);
        let process = 0;
        self.schedule(at, SimEvent::Wake { node, process, at });
    }

    pub(crate) fn wake_service(&mut self, service: usize, _process: u32) {
        let Some((connection, request)) = self.services[service].under_way.pop_front() else {
            return;
        };
        let event = EngineEvent::LookupDone {
            status: 200,
            content_type: None,
            body: format!("answer to {request}").into_bytes(),
        };
        self.tell_daemon(Node::Service(service), connection, event);
    }
}
