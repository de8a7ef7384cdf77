//! A loopback proxy that delays, resets, cuts one way or silences connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::cut::{CutStream, Cuts};

/// What a proxy does to what passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Nothing.
    Pass = 0,
    /// Each piece waits.
    Delay = 1,
    /// What goes to the server is held back.
    CutForward = 2,
    /// What comes from the server is held back.
    CutBack = 3,
    /// Nothing passes, and new connections hang.
    Silent = 4,
}

/// Which direction of open connections falls silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// What goes to the server.
    Forward,
    /// What comes from the server.
    Back,
    /// Both.
    Both,
}

const DELAY: Duration = Duration::from_millis(120);
const POLL: Duration = Duration::from_millis(20);

struct State {
    mode: AtomicU8,
    /// The number of connections so far.
    opened: AtomicU64,
    /// Connections with a smaller number pass nothing on to the server.
    silent_forward_below: AtomicU64,
    /// Connections with a smaller number pass nothing on from the server.
    silent_back_below: AtomicU64,
    resets: AtomicU64,
    reset: Notify,
}

/// One proxy in front of one address.
#[derive(Clone)]
pub struct Proxy(Arc<State>);

impl Proxy {
    /// Passes connections to `from` on to `to`; those of gateways are subject to `cuts`.
    ///
    /// # Errors
    /// The address is taken.
    pub async fn start(from: SocketAddr, to: SocketAddr, cuts: Arc<Cuts>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(from).await?;
        let state = Arc::new(State {
            mode: AtomicU8::new(0),
            opened: AtomicU64::new(0),
            silent_forward_below: AtomicU64::new(0),
            silent_back_below: AtomicU64::new(0),
            resets: AtomicU64::new(0),
            reset: Notify::new(),
        });
        let proxy = Self(state);
        let accepting = proxy.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let _ = client.set_nodelay(true);
                let (proxy, cuts) = (accepting.clone(), cuts.clone());
                tokio::spawn(async move {
                    let Some(client) = cuts.admit(client).await else { return };
                    let reset = client.until_reset();
                    tokio::select! {
                        () = proxy.pass(client, to) => {}
                        () = reset => {}
                    }
                });
            }
        });
        Ok(proxy)
    }

    /// Sets what is done from now on, also to open connections.
    pub fn set(&self, mode: Mode) {
        self.0.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Lets all open connections fall silent for good: they stay open and pass nothing on, not even
    /// their ends. New connections work.
    pub fn silence_open(&self, silence: Silence) {
        let opened = self.0.opened.load(Ordering::SeqCst);
        if silence != Silence::Back {
            self.0.silent_forward_below.store(opened, Ordering::SeqCst);
        }
        if silence != Silence::Forward {
            self.0.silent_back_below.store(opened, Ordering::SeqCst);
        }
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.0.resets.fetch_add(1, Ordering::SeqCst);
        self.0.reset.notify_waiters();
    }

    fn is(&self, mode: Mode) -> bool {
        self.0.mode.load(Ordering::SeqCst) == mode as u8
    }

    async fn pass(self, client: CutStream, to: SocketAddr) {
        let resets = self.0.resets.load(Ordering::SeqCst);
        let number = self.0.opened.fetch_add(1, Ordering::SeqCst);
        while self.is(Mode::Silent) {
            tokio::time::sleep(POLL).await;
        }
        let Ok(server) = TcpStream::connect(to).await else {
            client.reset();
            return;
        };
        let _ = server.set_nodelay(true);
        let reset = self.0.reset.notified();
        let (client_read, client_write) = split(client);
        let (server_read, server_write) = split(server);
        let is_forward_silent = || number < self.0.silent_forward_below.load(Ordering::SeqCst);
        let is_back_silent = || number < self.0.silent_back_below.load(Ordering::SeqCst);
        let forward = self.copy(client_read, server_write, Mode::CutForward, is_forward_silent);
        let back = self.copy(server_read, client_write, Mode::CutBack, is_back_silent);
        tokio::pin!(forward, back);
        let mut open = (true, true);
        tokio::pin!(reset);
        while open.0 || open.1 {
            if self.0.resets.load(Ordering::SeqCst) != resets {
                return;
            }
            tokio::select! {
                _ = &mut forward, if open.0 => open.0 = false,
                is_silent = &mut back, if open.1 => {
                    if !is_silent {
                        return;
                    }
                    open.1 = false;
                }
                () = &mut reset => return,
            }
        }
    }

    /// Passes one direction on until it ends; returns true if it was silent then.
    async fn copy(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        cut: Mode,
        is_silent: impl Fn() -> bool,
    ) -> bool {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let read = from.read(&mut buffer).await;
            if is_silent() {
                match read {
                    Ok(1..) => continue,
                    Ok(0) | Err(_) => return true,
                }
            }
            let Ok(read) = read else { return false };
            while self.is(cut) || self.is(Mode::Silent) {
                tokio::time::sleep(POLL).await;
            }
            if self.is(Mode::Delay) {
                tokio::time::sleep(DELAY).await;
            }
            if read == 0 {
                let _ = to.shutdown().await;
                return false;
            }
            if to.write_all(&buffer[..read]).await.is_err() {
                return false;
            }
        }
    }
}
