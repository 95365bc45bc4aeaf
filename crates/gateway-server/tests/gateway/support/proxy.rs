//! Proxy of a turn store or control member whose connections can fall silent without being closed.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Size of the buffer of one direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    accepted: Rc<Cell<usize>>,
    /// Number of the first connection that is silent. Later ones are silent too.
    silent_from: Rc<watch::Sender<usize>>,
    /// Ends the present connections.
    cut: Rc<RefCell<CancellationToken>>,
}

impl Proxy {
    /// Starts a proxy on a free port of `ip`.
    pub async fn start(ip: IpAddr, store: SocketAddr) -> Self {
        Self::start_at((ip, 0).into(), store).await
    }

    /// Starts a proxy at an address.
    pub async fn start_at(address: SocketAddr, store: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let (silent_from, _) = watch::channel(usize::MAX);
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            accepted: Rc::default(),
            silent_from: Rc::new(silent_from),
            cut: Rc::default(),
        };
        let serving = proxy.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = serving.accepted.get();
                serving.accepted.set(number + 1);
                let silent_from = serving.silent_from.subscribe();
                let cut = serving.cut.borrow().clone();
                actix_rt::spawn(async move {
                    tokio::select! {
                        biased;
                        () = cut.cancelled() => {}
                        () = connect_through(stream, store, number, silent_from) => {}
                    }
                });
            }
        });
        proxy
    }

    /// Number of connections so far.
    pub fn accepted(&self) -> usize {
        self.accepted.get()
    }

    /// Lets the connections from `number` on fall silent, and those that are opened later.
    pub fn silence_from(&self, number: usize) {
        self.silent_from.send_replace(number);
    }

    /// Closes all connections with what they hold. Later ones work.
    pub fn lose_held(&self) {
        self.cut.replace(CancellationToken::new()).cancel();
        self.restore();
    }

    /// Lets all connections go on.
    pub fn restore(&self) {
        self.silent_from.send_replace(usize::MAX);
    }
}

async fn connect_through(
    gateway: TcpStream,
    store: SocketAddr,
    number: usize,
    silent_from: watch::Receiver<usize>,
) {
    let Ok(store) = TcpStream::connect(store).await else {
        return;
    };
    let (gateway_reads, gateway_writes) = gateway.into_split();
    let (store_reads, store_writes) = store.into_split();
    let requests = transfer(gateway_reads, store_writes, number, silent_from.clone());
    let responses = transfer(store_reads, gateway_writes, number, silent_from);
    tokio::select! {
        () = requests => {}
        () = responses => {}
    }
}

async fn transfer(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    number: usize,
    mut silent_from: watch::Receiver<usize>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let is_open = silent_from.wait_for(|first| number < *first).await.is_ok();
        if !is_open || count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
