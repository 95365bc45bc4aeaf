//! Members and stores of a fleet on a thread of their own, so that what keeps the gateway busy does not
//! keep them from answering.

use luglink_control_server::{ManagedServer, ManagedServerConfig, start_managed};
use luglink_edge::LuglinkDialect;
use luglink_store_server::StoreServerConfig;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, oneshot};

/// Running member or store.
#[derive(Clone, Copy, Debug)]
pub struct StorageProcess {
    /// Internal address.
    pub address: SocketAddr,
    pub metrics_address: Option<SocketAddr>,
}

struct StopMembers {
    stopped: oneshot::Sender<()>,
}

/// Thread of the members and stores. Dropping it ends them.
pub struct Storage {
    pub members: Vec<StorageProcess>,
    pub stores: Vec<StorageProcess>,
    commands: Option<mpsc::UnboundedSender<StopMembers>>,
    thread: Option<JoinHandle<()>>,
}

impl Storage {
    pub async fn start(members: Vec<ManagedServerConfig>, stores: Vec<StoreServerConfig>) -> Self {
        let (started_sender, started) = oneshot::channel();
        let (commands, commands_receiver) = mpsc::unbounded_channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let (members, processes) = start_all(members, stores).await;
                if started_sender.send(processes).is_ok() {
                    obey(commands_receiver, members).await;
                }
            });
        });
        let (members, stores) = started.await.expect("members and stores start");
        Self {
            members,
            stores,
            commands: Some(commands),
            thread: Some(thread),
        }
    }

    /// Stops all members as planned.
    pub async fn stop_members(&self) {
        let (stopped, waiting) = oneshot::channel();
        let commands = self.commands.as_ref().expect("the thread runs");
        let sent = commands.send(StopMembers { stopped });
        assert!(sent.is_ok() && waiting.await.is_ok(), "the thread runs");
    }
}

impl Drop for Storage {
    fn drop(&mut self) {
        self.commands = None;
        let ended = self.thread.take().map(JoinHandle::join);
        let is_sound = ended.is_none_or(|ended| ended.is_ok());
        assert!(
            is_sound || std::thread::panicking(),
            "a member or store panicked"
        );
    }
}

type Processes = (Vec<StorageProcess>, Vec<StorageProcess>);

async fn start_all(
    members: Vec<ManagedServerConfig>,
    stores: Vec<StoreServerConfig>,
) -> (Vec<ManagedServer>, Processes) {
    let mut servers = Vec::new();
    let mut processes = Processes::default();
    for config in members {
        let server = start_managed(&config, Rc::new(LuglinkDialect::default()));
        let server = server.await.expect("a member starts");
        processes.0.push(StorageProcess {
            address: server.address,
            metrics_address: server.metrics_address,
        });
        servers.push(server);
    }
    for config in stores {
        let server = luglink_store_server::start(config).await;
        let server = server.expect("a store starts");
        processes.1.push(StorageProcess {
            address: server.address,
            metrics_address: server.metrics_address,
        });
    }
    (servers, processes)
}

/// Stops members on command until the commands end.
async fn obey(mut commands: mpsc::UnboundedReceiver<StopMembers>, mut members: Vec<ManagedServer>) {
    while let Some(command) = commands.recv().await {
        for member in members.drain(..) {
            member.stop().await;
        }
        // The test may have ended.
        let _ = command.stopped.send(());
    }
}
