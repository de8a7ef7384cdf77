//! Request bodies and error objects of the OpenAI-compatible API.

use serde_json::{Map, Value, json};

use crate::message::{AdapterKey, Priority, Service};

/// Kind of completion that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionKind {
    /// `POST /v1/completions`.
    Text,
    /// `POST /v1/chat/completions`.
    Chat,
}

impl CompletionKind {
    /// Path of the API, the same at the gateway and at the engine.
    pub fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// Error in the body of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyError {
    /// Name of the invalid field, if the error concerns a field.
    pub param: Option<&'static str>,
    /// Description of the error.
    pub message: String,
}

impl BodyError {
    fn new(param: &'static str, message: impl Into<String>) -> Self {
        Self { param: Some(param), message: message.into() }
    }
}

/// A completion request with a well-formed body.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    fields: Map<String, Value>,
    /// Name of a service, or adapter and version.
    pub model: String,
    /// True when the client asks for a streamed response.
    pub stream: bool,
}

impl CompletionRequest {
    /// Parses a request's body.
    ///
    /// # Errors
    /// The body is not a JSON object, or a field is missing or has the wrong type.
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

    /// Converts the request into the body for the engine: `model` names the adapter, `max_tokens`
    /// defaults to the service's limit, and `priority` is set.
    ///
    /// # Errors
    /// The number of tokens is invalid or exceeds the service's limit.
    pub fn into_engine_body(
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

/// Builds the API's error object.
pub fn error_object(kind: &str, message: &str, param: Option<&str>, code: &str) -> Value {
    json!({"error": {"message": message, "type": kind, "param": param, "code": code}})
}
