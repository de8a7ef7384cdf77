//! Accepted declarations and the services rendered from them, with the version rules for updates.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::{Document, DocumentKind, Template, render};
use crate::message::{ApplyReply, Change, DocumentVerdict, Service, Verdict};

const MAX_PROBLEMS_PER_DOCUMENT: usize = 5;

/// The accepted declarations and the services rendered from them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Config {
    documents: BTreeMap<(DocumentKind, Arc<str>), Document>,
    services: BTreeMap<Arc<str>, Service>,
}

impl Config {
    /// Accepts all of `documents` or none.
    ///
    /// A document is accepted if its version is higher than the stored one, or if version and
    /// content are equal to it. Nothing is stored if `dry_run` is set.
    pub fn apply(
        &mut self,
        index: u64,
        documents: Vec<Document>,
        dry_run: bool,
    ) -> (ApplyReply, Vec<Change>) {
        let mut verdicts = Vec::with_capacity(documents.len());
        for document in &documents {
            verdicts.push(self.compare(document));
        }
        let rendered = self.render_all(&documents, &mut verdicts);
        let mut accepted = true;
        for verdict in &verdicts {
            accepted &= !matches!(verdict, Verdict::Conflict { .. } | Verdict::Invalid { .. });
        }
        let reply = ApplyReply {
            accepted,
            index,
            verdicts: document_verdicts(&documents, verdicts.clone()),
        };
        if !accepted || dry_run {
            return (reply, Vec::new());
        }
        for (document, verdict) in documents.into_iter().zip(&verdicts) {
            if *verdict == Verdict::Unchanged {
                continue;
            }
            self.documents.insert((document.kind(), document.name().clone()), document);
        }
        (reply, self.take_rendered(rendered))
    }

    fn compare(&self, document: &Document) -> Verdict {
        let key = (document.kind(), document.name().clone());
        let Some(stored) = self.documents.get(&key) else { return Verdict::Created };
        let stored_version = stored.version();
        if document.version() > stored_version {
            return Verdict::Updated;
        }
        if document == stored {
            return Verdict::Unchanged;
        }
        let same_version = document.version() == stored_version;
        Verdict::Conflict { stored_version, same_version }
    }

    /// Renders the services that change; a retired service is rendered as `None`.
    fn render_all(
        &self,
        documents: &[Document],
        verdicts: &mut [Verdict],
    ) -> BTreeMap<Arc<str>, Option<Service>> {
        let mut templates: BTreeMap<&Arc<str>, &Template> = BTreeMap::new();
        for document in documents {
            if let Document::Template(template) = document {
                templates.insert(&template.name, template);
            }
        }
        let mut rendered = BTreeMap::new();
        for (position, document) in documents.iter().enumerate() {
            if matches!(verdicts[position], Verdict::Unchanged | Verdict::Conflict { .. }) {
                continue;
            }
            let Document::Service(declaration) = document else { continue };
            if declaration.retired {
                rendered.insert(declaration.name.clone(), None);
                continue;
            }
            let template = templates
                .get(&declaration.template)
                .copied()
                .or_else(|| self.template(&declaration.template));
            let result = match template {
                Some(template) => render(template, declaration),
                None => Err(vec![format!("template: \"{}\" is not known", declaration.template)]),
            };
            match result {
                Ok(service) => {
                    rendered.insert(declaration.name.clone(), Some(service));
                }
                Err(problems) => verdicts[position] = Verdict::Invalid { problems },
            }
        }
        for (position, document) in documents.iter().enumerate() {
            let Document::Template(template) = document else { continue };
            if verdicts[position] != Verdict::Updated {
                continue;
            }
            let problems = self.render_dependents(template, &mut rendered);
            if !problems.is_empty() {
                verdicts[position] = Verdict::Invalid { problems };
            }
        }
        rendered
    }

    /// Renders the stored services that use a changed template again; returns the problems found.
    fn render_dependents(
        &self,
        template: &Template,
        rendered: &mut BTreeMap<Arc<str>, Option<Service>>,
    ) -> Vec<String> {
        let mut problems = Vec::new();
        for document in self.documents.values() {
            let Document::Service(declaration) = document else { continue };
            if declaration.template != template.name
                || declaration.retired
                || rendered.contains_key(&declaration.name)
            {
                continue;
            }
            match render(template, declaration) {
                Ok(service) => {
                    rendered.insert(declaration.name.clone(), Some(service));
                }
                Err(found) if problems.len() < MAX_PROBLEMS_PER_DOCUMENT => problems.push(format!(
                    "breaks service \"{}\": {}",
                    declaration.name,
                    found.join("; ")
                )),
                Err(_) => {}
            }
        }
        problems
    }

    fn take_rendered(&mut self, rendered: BTreeMap<Arc<str>, Option<Service>>) -> Vec<Change> {
        let mut changes = Vec::with_capacity(rendered.len());
        for (name, service) in rendered {
            let Some(service) = service else {
                if self.services.remove(&name).is_some() {
                    changes.push(Change::ServiceRetired(name));
                }
                continue;
            };
            if self.services.get(&name) == Some(&service) {
                continue;
            }
            self.services.insert(name, service.clone());
            changes.push(Change::Service(service));
        }
        changes
    }

    fn template(&self, name: &Arc<str>) -> Option<&Template> {
        match self.documents.get(&(DocumentKind::Template, name.clone()))? {
            Document::Template(template) => Some(template),
            Document::Service(_) => None,
        }
    }

    /// The accepted declarations that match `kind` and `name`.
    pub fn documents(&self, kind: Option<DocumentKind>, name: Option<&str>) -> Vec<Document> {
        let mut found = Vec::new();
        for ((document_kind, document_name), document) in &self.documents {
            if kind.is_some_and(|kind| kind != *document_kind) {
                continue;
            }
            if name.is_some_and(|name| name != &**document_name) {
                continue;
            }
            found.push(document.clone());
        }
        found
    }

    /// The services in force.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &Service> {
        self.services.values()
    }
}

fn document_verdicts(documents: &[Document], verdicts: Vec<Verdict>) -> Vec<DocumentVerdict> {
    let mut described = Vec::with_capacity(documents.len());
    for (document, verdict) in documents.iter().zip(verdicts) {
        described.push(DocumentVerdict {
            kind: document.kind(),
            name: document.name().clone(),
            version: document.version(),
            verdict,
        });
    }
    described
}
