//! Cuts between single gateways and all endpoints, while other gateways reach these endpoints.
//!
//! All gateways connect from the same loopback address, so the gateway of a connection is found by
//! the socket that its process holds.

use std::collections::BTreeMap;
use std::fs;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Sleep, sleep};

const POLL: Duration = Duration::from_millis(15);

/// What happens to the connections of a gateway that is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Nothing passes; new connections are accepted and silent.
    Silent,
    /// Open and new connections are reset.
    Reset,
    /// Open connections live on, new ones are reset.
    NewReset,
}

/// The gateways that are cut off from endpoints.
#[derive(Debug)]
pub struct Cuts {
    /// The ids of the gateways' processes; 0 for one that does not run.
    processes: Mutex<BTreeMap<String, Arc<AtomicU32>>>,
    cuts: watch::Sender<BTreeMap<String, Cut>>,
}

impl Default for Cuts {
    fn default() -> Self {
        Self { processes: Mutex::default(), cuts: watch::Sender::new(BTreeMap::new()) }
    }
}

impl Cuts {
    /// Adds a gateway whose process has the id `process` while it runs.
    pub fn add_gateway(&self, name: &str, process: Arc<AtomicU32>) {
        self.processes().insert(name.to_owned(), process);
    }

    /// Cuts `gateway` off from all endpoints, or ends its cut.
    pub fn set(&self, gateway: &str, cut: Option<Cut>) {
        self.cuts.send_modify(|cuts| {
            match cut {
                Some(cut) => cuts.insert(gateway.to_owned(), cut),
                None => cuts.remove(gateway),
            };
        });
    }

    /// Ends all cuts.
    pub fn clear(&self) {
        self.cuts.send_modify(BTreeMap::clear);
    }

    /// Takes an accepted connection; `None` if it is reset because its gateway is cut off.
    pub fn admit(self: &Arc<Self>, stream: TcpStream) -> Option<CutStream> {
        let gateway = self.gateway_of(&stream).unwrap_or_default();
        let stream = CutStream { inner: stream, gateway, cuts: self.clone(), timer: None };
        if matches!(stream.cut(), Some(Cut::Reset | Cut::NewReset)) {
            stream.reset();
            return None;
        }
        Some(stream)
    }

    fn processes(&self) -> MutexGuard<'_, BTreeMap<String, Arc<AtomicU32>>> {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The gateway that holds the other end of a connection.
    fn gateway_of(&self, stream: &TcpStream) -> Option<String> {
        if self.processes().is_empty() {
            return None;
        }
        let socket = socket_of(stream.peer_addr().ok()?, stream.local_addr().ok()?)?;
        for (name, process) in self.processes().iter() {
            let id = process.load(Ordering::SeqCst);
            if id != 0 && holds(id, &socket) {
                return Some(name.clone());
            }
        }
        None
    }
}

/// The name, as a file descriptor shows it, of the socket from `local` to `remote`.
fn socket_of(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let (local, remote) = (hexadecimal(local)?, hexadecimal(remote)?);
    for line in fs::read_to_string("/proc/net/tcp").ok()?.lines() {
        let fields: Vec<&str> = line.split_whitespace().collect();
        if fields.get(1) == Some(&local.as_str()) && fields.get(2) == Some(&remote.as_str()) {
            return fields.get(9).map(|inode| format!("socket:[{inode}]"));
        }
    }
    None
}

/// The form that the kernel's table of sockets uses.
fn hexadecimal(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_le_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

fn holds(process: u32, socket: &str) -> bool {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    descriptors
        .flatten()
        .any(|entry| fs::read_link(entry.path()).is_ok_and(|target| target.as_os_str() == socket))
}

/// A connection that is cut when its gateway is.
#[derive(Debug)]
pub struct CutStream {
    inner: TcpStream,
    gateway: String,
    cuts: Arc<Cuts>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl CutStream {
    fn cut(&self) -> Option<Cut> {
        self.cuts.cuts.borrow().get(&self.gateway).copied()
    }

    /// Makes the connection close with a reset instead of an end.
    pub fn reset(&self) {
        // A failure leaves an ordinary close, which is a fault as well.
        let _ = self.inner.set_zero_linger();
    }

    /// Returns once a cut resets the connection, which is then closed when it is dropped.
    pub fn until_reset(&self) -> impl Future<Output = ()> + use<> {
        let (gateway, mut cuts) = (self.gateway.clone(), self.cuts.cuts.subscribe());
        async move {
            let is_reset = |cuts: &BTreeMap<String, Cut>| cuts.get(&gateway) == Some(&Cut::Reset);
            if cuts.wait_for(is_reset).await.is_err() {
                pending::<()>().await;
            }
        }
    }

    /// True while nothing passes; the task is woken to look again.
    fn is_silent(&mut self, context: &mut Context<'_>) -> bool {
        if self.cut() != Some(Cut::Silent) {
            self.timer = None;
            return false;
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(POLL)));
        if timer.as_mut().poll(context).is_ready() {
            self.timer = None;
            context.waker().wake_by_ref();
        }
        true
    }
}

impl Drop for CutStream {
    fn drop(&mut self) {
        if self.cut() == Some(Cut::Reset) {
            self.reset();
        }
    }
}

impl AsyncRead for CutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent(context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent(context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent(context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
