//! Where the answer to a call goes.

use ractor::RpcReplyPort;

use crate::control::admission::Admitted;
use crate::message::ControlReply;

/// The caller that waits for an answer, and the memory that its call takes until then.
pub struct Reply {
    port: RpcReplyPort<ControlReply>,
    _admitted: Option<Box<Admitted>>,
}

impl Reply {
    /// Creates a reply to a call that takes hardly any memory.
    pub fn new(port: RpcReplyPort<ControlReply>) -> Self {
        Self { port, _admitted: None }
    }

    /// Counts the call as held until it is answered or given up.
    #[must_use]
    pub fn with_admitted(self, admitted: Option<Admitted>) -> Self {
        Self { _admitted: admitted.map(Box::new), ..self }
    }

    /// Answers the call; returns false if its caller has gone.
    pub fn send(self, reply: ControlReply) -> bool {
        self.port.send(reply).is_ok()
    }
}

impl From<RpcReplyPort<ControlReply>> for Reply {
    fn from(port: RpcReplyPort<ControlReply>) -> Self {
        Self::new(port)
    }
}
