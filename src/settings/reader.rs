//! Reads the fields of a settings file one by one and collects all faults.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::document::is_name;
use crate::settings::{CommonSettings, ResourceSettings};
use crate::yaml::{Fault, Faults, Node, ParsedFile};

/// Parses a file with a single document and reads the document with `read`; returns the faults if there
/// are any.
pub(super) fn parse_settings<T>(
    file: &Arc<str>,
    text: &str,
    read: fn(&Node<'_>, &mut Faults) -> Option<T>,
) -> Result<T, Vec<Fault>> {
    let mut faults = Faults::new();
    let parsed = ParsedFile::parse(file, text, &mut faults);
    let roots = parsed.roots();
    let mut settings = None;
    if let [root] = roots.as_slice() {
        settings = read(root, &mut faults);
    } else if faults.is_empty() {
        faults.add_file(file, 1, "expected one document with settings");
    }
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults.into_vec()),
    }
}

/// Reads the fields of a mapping by name; [`FieldReader::finish`] reports the fields that were not read.
pub(super) struct FieldReader<'a, 'f> {
    pub(super) node: Node<'a>,
    found: Vec<(String, Node<'a>)>,
    /// The names read so far, whether the mapping has them or not.
    known: BTreeSet<&'static str>,
    pub(super) faults: &'f mut Faults,
}

impl<'a, 'f> FieldReader<'a, 'f> {
    pub(super) fn new(node: &Node<'a>, faults: &'f mut Faults) -> Self {
        let found = node.fields(faults);
        Self { node: node.clone(), found, known: BTreeSet::new(), faults }
    }

    pub(super) fn optional(&mut self, name: &'static str) -> Option<Node<'a>> {
        self.known.insert(name);
        self.found.iter().find(|(found, _)| found == name).map(|(_, node)| node.clone())
    }

    pub(super) fn required(&mut self, name: &'static str, expected: &str) -> Option<Node<'a>> {
        let found = self.optional(name);
        if found.is_none() {
            self.faults
                .add(&self.node, format!("the field {name} is missing; expected {expected}"));
        }
        found
    }

    pub(super) fn name(&mut self, name: &'static str) -> Option<Arc<str>> {
        let node = self.required(name, "a name")?;
        let text = node.text(self.faults)?;
        if !is_name(&text) {
            self.faults.add(&node, format!("\"{text}\" is not a valid name"));
            return None;
        }
        Some(text)
    }

    pub(super) fn text_or(&mut self, name: &'static str, default: &str) -> Arc<str> {
        match self.optional(name) {
            Some(node) => node.text(self.faults).unwrap_or_else(|| default.into()),
            None => default.into(),
        }
    }

    pub(super) fn int_or(
        &mut self,
        name: &'static str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> u64 {
        match self.optional(name) {
            Some(node) => node.int(range, self.faults).unwrap_or(default),
            None => default,
        }
    }

    pub(super) fn number_or(
        &mut self,
        name: &'static str,
        default: f64,
        range: std::ops::RangeInclusive<f64>,
    ) -> f64 {
        match self.optional(name) {
            Some(node) => node.number(range, self.faults).unwrap_or(default),
            None => default,
        }
    }

    pub(super) fn bool_or(&mut self, name: &'static str, default: bool) -> bool {
        match self.optional(name) {
            Some(node) => node.bool(self.faults).unwrap_or(default),
            None => default,
        }
    }

    pub(super) fn address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let node = self.required(name, "an address such as 127.0.0.1:7000")?;
        read_address(&node, self.faults)
    }

    pub(super) fn optional_int(
        &mut self,
        name: &'static str,
        range: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        self.optional(name).and_then(|node| node.int(range, self.faults))
    }

    pub(super) fn optional_address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let node = self.optional(name)?;
        read_address(&node, self.faults)
    }

    /// Reads a nested mapping with `read`. If the field is absent, returns `default`, which must be the
    /// value read from an empty mapping.
    pub(super) fn section<T>(
        &mut self,
        name: &'static str,
        default: T,
        read: impl FnOnce(&mut FieldReader<'_, '_>) -> T,
    ) -> T {
        let Some(node) = self.optional(name) else { return default };
        let mut fields = FieldReader::new(&node, self.faults);
        let value = read(&mut fields);
        fields.finish();
        value
    }

    /// Reports the fields of the mapping that were not read.
    pub(super) fn finish(self) {
        let known: Vec<&str> = self.known.iter().copied().collect();
        for (name, node) in &self.found {
            if self.known.contains(name.as_str()) {
                continue;
            }
            let expected = known.join(", ");
            self.faults.add(node, format!("unknown field; expected one of {expected}"));
        }
    }
}

pub(super) fn read_address(node: &Node<'_>, faults: &mut Faults) -> Option<SocketAddr> {
    let text = node.text(faults)?;
    let Ok(address) = text.parse::<SocketAddr>() else {
        let expected = "expected an address such as 127.0.0.1:7000";
        faults.add(node, format!("{expected}, found the text \"{text}\""));
        return None;
    };
    Some(address)
}

pub(super) fn read_common(fields: &mut FieldReader<'_, '_>) -> Option<CommonSettings> {
    let name = fields.name("name");
    let zone = fields.name("zone");
    let listen_peers = fields.address("listen_peers");
    let advertise_peers = fields.optional_address("advertise_peers");
    let listen_admin = fields.address("listen_admin");
    let log_level = fields.text_or("log_level", "info");
    let metrics_address = fields.optional_address("metrics_address");
    let metrics_prefix = fields.text_or("metrics_prefix", "winchvane");
    Some(CommonSettings {
        name: name?,
        zone: zone?,
        listen_peers: listen_peers?,
        advertise_peers,
        listen_admin: listen_admin?,
        log_level,
        metrics_address,
        metrics_prefix,
    })
}

/// Reads what the process may use; `memory_mb` is the default of its memory.
pub(super) fn read_resources(fields: &mut FieldReader<'_, '_>, memory_mb: u64) -> ResourceSettings {
    ResourceSettings {
        memory_max_mb: fields.int_or("memory_max_mb", memory_mb, 16..=1_000_000),
        descriptors_max: fields.optional_int("descriptors_max", 64..=10_000_000),
    }
}

/// Reports listeners that use the same port; port 0 is chosen by the system and never the same.
pub(super) fn check_ports(node: &Node<'_>, listeners: &[(&str, SocketAddr)], faults: &mut Faults) {
    for (position, (name, address)) in listeners.iter().enumerate() {
        for (other_name, other) in &listeners[..position] {
            if address.port() != other.port() || address.port() == 0 {
                continue;
            }
            let detail = format!("{name} and {other_name} both use port {}", address.port());
            faults.add(node, detail);
        }
    }
}
