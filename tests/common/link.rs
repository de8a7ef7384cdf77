//! A process that takes messages of another one, for tests of what arrives.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use bincode::config::standard;
use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::Mutex;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;
use winchvane::Result;
use winchvane::resources::Resources;
use winchvane::wire::{BoxFuture, Handler, Incoming, serve};

/// The outcome of a message whose reading panicked.
const PANICKED: &str = "reading it panicked";
const OUTCOME_LIMIT: Duration = Duration::from_secs(10);

/// What a stream brought: a message, encoded again, its end, or an error.
pub type Outcome = std::result::Result<Option<Vec<u8>>, String>;

/// Tells the outcome when it is dropped, so that a panic is told too.
struct Told {
    outcomes: UnboundedSender<Outcome>,
    outcome: Outcome,
}

impl Drop for Told {
    fn drop(&mut self) {
        // The test may have ended.
        let _ = self.outcomes.send(std::mem::replace(&mut self.outcome, Ok(None)));
    }
}

/// Takes one message of each stream.
struct Taker<T> {
    outcomes: UnboundedSender<Outcome>,
    message: PhantomData<fn() -> T>,
}

impl<T: Serialize + DeserializeOwned + Send + 'static> Handler for Taker<T> {
    fn handle(&self, incoming: Incoming) -> BoxFuture<'static, Result<()>> {
        let outcomes = self.outcomes.clone();
        Box::pin(async move {
            let (mut receiver, _sender) = incoming.accept::<T, ()>()?;
            let mut told = Told { outcomes, outcome: Err(PANICKED.to_owned()) };
            told.outcome = match receiver.next().await {
                Ok(message) => Ok(message.as_ref().map(encode)),
                Err(error) => Err(error.to_string()),
            };
            Ok(())
        })
    }
}

/// A process that takes messages of one type, and a connection to it.
pub struct Link {
    runtime: Runtime,
    sender: SendRequest<Bytes>,
    outcomes: Mutex<UnboundedReceiver<Outcome>>,
}

impl Link {
    /// A process that takes messages of the type `T`.
    pub fn new<T: Serialize + DeserializeOwned + Send + 'static>() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let (outcomes, received) = unbounded_channel();
        let sender = runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
            let address = listener.local_addr().expect("it is bound");
            let taker = Taker::<T> { outcomes, message: PhantomData };
            tokio::spawn(serve(listener, Arc::new(taker), Resources::local()));
            let stream = TcpStream::connect(address).await.expect("it connects");
            stream.set_nodelay(true).expect("it is connected");
            let (sender, connection) = h2::client::handshake(stream).await.expect("h2");
            tokio::spawn(connection);
            sender
        });
        Self { runtime, sender, outcomes: Mutex::new(received) }
    }

    /// What the other side makes of `bytes` on a stream of their own.
    pub fn send(&self, bytes: Vec<u8>) -> Outcome {
        self.runtime.block_on(async {
            let mut sender = self.sender.clone().ready().await.expect("ready");
            let request = Request::builder()
                .method(Method::POST)
                .uri("http://x/session")
                .header("winchvane-wire", winchvane::wire::WIRE_VERSION)
                .body(())
                .expect("a request");
            let (_response, mut stream) = sender.send_request(request, false).expect("it is sent");
            stream.send_data(bytes.into(), true).expect("it is sent");
            let mut outcomes = self.outcomes.lock().await;
            let outcome = timeout(OUTCOME_LIMIT, outcomes.recv()).await;
            outcome.expect("the message is read, and nothing panics").expect("the process runs")
        })
    }

    /// What it makes of one message with this body.
    pub fn send_body(&self, body: &[u8]) -> Outcome {
        self.send([&(body.len() as u32).to_le_bytes(), body].concat())
    }
}

/// A message as it is sent.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, standard()).expect("it can be encoded")
}
