//! Hostile clients that act at the same time.

use crate::fleet::Fleet;
use crate::messages::{Behaviour, Listener, Script, script};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Delay before a client connects again whose connection was closed.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Delay between two parts at a slow pace.
const SLOW_PAUSE: Duration = Duration::from_millis(50);

/// Bytes of a part at a slow pace.
const SLOW_PART_BYTES: usize = 200;

/// How fast a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    Full,
    Slow,
}

/// Clients of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Attack {
    pub listener: Listener,
    pub behaviour: Behaviour,
    pub connections: usize,
    pub pace: Pace,
}

/// Running hostile clients. They connect again whenever a connection is closed.
pub struct Crowd(Vec<actix_rt::task::JoinHandle<()>>);

impl Crowd {
    pub fn start(fleet: &Fleet, attacks: &[Attack]) -> Self {
        let mut clients = Vec::new();
        for (group, attack) in attacks.iter().enumerate() {
            let address = attack.listener.address(fleet);
            for number in 0..attack.connections {
                let name = format!("{group}-{number}");
                let max_body_bytes = fleet.max_body_bytes();
                clients.push(actix_rt::spawn(act(address, *attack, name, max_body_bytes)));
            }
        }
        Self(clients)
    }

    /// Closes all connections.
    pub async fn stop(self) {
        for client in &self.0 {
            client.abort();
        }
        for client in self.0 {
            let ended = client.await;
            assert!(ended.is_err_and(|error| error.is_cancelled()));
        }
    }
}

/// Acts on one connection after the other until the task is aborted.
async fn act(address: SocketAddr, attack: Attack, name: String, max_body_bytes: usize) {
    let mut connections = 0;
    loop {
        let id = format!("{name}-{connections}");
        let script = script(attack.listener, attack.behaviour, &id, max_body_bytes);
        connections += 1;
        if let Ok(stream) = TcpStream::connect(address).await
            && send(stream, script, attack.pace).await.is_ok()
        {
            std::future::pending::<()>().await;
        }
        actix_rt::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Sends a script without reading. Once all is sent, keeps the connection open and does not return.
async fn send(mut stream: TcpStream, script: Script, pace: Pace) -> std::io::Result<()> {
    stream.write_all(&script.opening).await?;
    let part = match pace {
        Pace::Full => script.part.as_slice(),
        Pace::Slow => &script.part[..script.part.len().min(SLOW_PART_BYTES)],
    };
    let mut left = script.max_bytes;
    while left > 0 {
        let count = part.len().min(left);
        stream.write_all(&part[..count]).await?;
        left -= count;
        if pace == Pace::Slow {
            actix_rt::time::sleep(SLOW_PAUSE).await;
        } else {
            tokio::task::yield_now().await;
        }
    }
    std::future::pending().await
}
