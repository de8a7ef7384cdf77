//! The OpenAI-compatible API: request bodies and error objects.

use serde_json::{Map, Value, json};

use crate::message::{AdapterKey, Priority, Service};

/// What kind of completion is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionKind {
    /// `POST /v1/completions`.
    Text,
    /// `POST /v1/chat/completions`.
    Chat,
}

impl CompletionKind {
    /// The path, at the gateway and at the engine.
    pub fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// What is wrong with a request's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyError {
    /// The field, if it is one.
    pub param: Option<&'static str>,
    /// What is wrong.
    pub message: String,
}

impl BodyError {
    fn new(param: &'static str, message: impl Into<String>) -> Self {
        Self { param: Some(param), message: message.into() }
    }
}

/// A completion request whose body is well formed.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    fields: Map<String, Value>,
    /// The service or the adapter that it names.
    pub model: String,
    /// True when the answer is to be streamed.
    pub stream: bool,
}

impl CompletionRequest {
    /// Reads a body.
    ///
    /// # Errors
    /// The field that is missing or of the wrong type.
    pub fn parse(kind: CompletionKind, body: &[u8]) -> Result<Self, BodyError> {
        let value: Value = serde_json::from_slice(body).map_err(|error| BodyError {
            param: None,
            message: format!("the body is not JSON: {error}"),
        })?;
        let Value::Object(fields) = value else {
            return Err(BodyError { param: None, message: "expected a JSON object".to_owned() });
        };
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.clone(),
            _ => return Err(BodyError::new("model", "expected the name of a service")),
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(BodyError::new("stream", "expected true or false")),
        };
        match (kind, fields.get("prompt"), fields.get("messages")) {
            (CompletionKind::Text, Some(Value::String(_) | Value::Array(_)), _)
            | (CompletionKind::Chat, _, Some(Value::Array(_))) => {}
            (CompletionKind::Text, ..) => {
                return Err(BodyError::new("prompt", "expected a text or a list"));
            }
            (CompletionKind::Chat, ..) => {
                return Err(BodyError::new("messages", "expected a list of messages"));
            }
        }
        Ok(Self { fields, model, stream })
    }

    /// The body for the engine: the adapter in place of the service, and the service's bounds.
    ///
    /// # Errors
    /// More tokens are asked for than the service allows.
    pub fn for_engine(
        mut self,
        service: &Service,
        adapter: &AdapterKey,
        priority: Priority,
    ) -> Result<Vec<u8>, BodyError> {
        for name in ["max_tokens", "max_completion_tokens"] {
            let Some(value) = self.fields.get(name) else { continue };
            let allowed = u64::from(service.max_tokens);
            if value.as_u64().is_none_or(|tokens| tokens == 0 || tokens > allowed) {
                let message = format!("expected an integer from 1 to {allowed}");
                return Err(BodyError::new("max_tokens", message));
            }
        }
        if !self.fields.contains_key("max_completion_tokens") {
            let default = Value::from(service.max_tokens);
            self.fields.entry("max_tokens").or_insert(default);
        }
        self.fields.insert("model".to_owned(), adapter.to_string().into());
        self.fields.insert("priority".to_owned(), (priority as u8).into());
        Ok(Value::Object(self.fields).to_string().into_bytes())
    }
}

/// An error object of the API's shape.
pub fn error_object(kind: &str, message: &str, param: Option<&str>, code: &str) -> Value {
    json!({"error": {"message": message, "type": kind, "param": param, "code": code}})
}
