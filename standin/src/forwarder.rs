//! A connection that can be cut: passes bytes on, holds them back without a sign, or breaks off.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the forwarder does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It passes them on.
    Pass,
    /// It holds them back and gives no sign.
    Hold,
    /// It breaks every connection off and takes no new one.
    Break,
    /// It breaks a connection off with the first bytes that come on it, which so were written.
    BreakOff,
}

/// Forwards connections to one address.
pub struct Forwarder {
    mode: watch::Sender<Mode>,
}

impl Forwarder {
    /// Forwards connections to `target`; returns itself and where it listens.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        Self::start_at(([127, 0, 0, 1], 0).into(), target).await
    }

    /// The same, listening at `address`.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start_at(
        address: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let forwarder = Arc::new(Self { mode: watch::Sender::new(Mode::Pass) });
        let mode = forwarder.mode.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if *mode.borrow() != Mode::Break {
                    tokio::spawn(forward(stream, target, mode.clone()));
                }
            }
        });
        Ok((forwarder, address))
    }

    /// Changes what happens to bytes from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn forward(near: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = copy(near_read, far_write, mode.clone()) => {}
        () = copy(far_read, near_write, mode) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut mode: watch::Receiver<Mode>) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = mode.wait_for(|mode| *mode == Mode::Break) => return,
        };
        // The end of a connection is held back like its bytes.
        if mode.wait_for(|mode| *mode != Mode::Hold).await.is_err() {
            return;
        }
        if matches!(*mode.borrow(), Mode::Break | Mode::BreakOff) {
            return;
        }
        let Ok(size @ 1..) = read else { return };
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}
