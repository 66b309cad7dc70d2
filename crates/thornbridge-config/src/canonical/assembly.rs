//! A bundle put together from its sections.

use super::{CanonicalError, Content, Header, HeadersSnafu, OrphanSnafu, ServiceHead};
use crate::bundle::{BackEnd, Bundle, Layout, Service};
use std::collections::BTreeMap;
use thornbridge_proto::{BackEndId, LayoutId, SectionName, ServiceName};

/// Sections decoded so far.
#[derive(Default)]
pub(super) struct Assembly {
    headers: Vec<Header>,
    heads: BTreeMap<ServiceName, ServiceHead>,
    back_ends: BTreeMap<ServiceName, (SectionName, Vec<BackEnd>)>,
    shards: BTreeMap<(ServiceName, LayoutId), ShardRanges>,
}

/// Ranges of one layout's shards by their first shard, and the section of the last one seen.
struct ShardRanges {
    section: SectionName,
    ranges: BTreeMap<u32, Vec<Vec<BackEndId>>>,
}

impl Assembly {
    pub(super) fn add(&mut self, name: &SectionName, content: Content) {
        match content {
            Content::Header(header) => self.headers.push(header),
            Content::Service(head) => {
                self.heads.insert(head.name.clone(), head);
            }
            Content::BackEnds { service, back_ends } => {
                let entry = self.back_ends.entry(service);
                let (_, all) = entry.or_insert_with(|| (name.clone(), Vec::new()));
                all.extend(back_ends);
            }
            Content::Shards {
                service,
                layout,
                first,
                shards,
            } => {
                let entry = self.shards.entry((service, layout));
                let ranges = entry.or_insert_with(|| ShardRanges {
                    section: name.clone(),
                    ranges: BTreeMap::new(),
                });
                ranges.ranges.insert(first, shards);
            }
        }
    }

    pub(super) fn finish(mut self) -> Result<Bundle, CanonicalError> {
        let count = self.headers.len();
        let header = match self.headers.pop() {
            Some(header) if count == 1 => header,
            _ => return HeadersSnafu { count }.fail(),
        };
        let heads = std::mem::take(&mut self.heads);
        let services = heads
            .into_values()
            .map(|head| self.service(head))
            .collect::<Result<Vec<_>, _>>()?;
        self.ensure_used_up()?;
        Ok(Bundle {
            format: header.format,
            version: header.version,
            deployment: header.deployment,
            maximum_nodes: header.maximum_nodes,
            services,
        })
    }

    fn service(&mut self, head: ServiceHead) -> Result<Service, CanonicalError> {
        let back_ends = self.back_ends.remove(&head.name);
        let mut back_ends = back_ends.map_or_else(Vec::new, |(_, back_ends)| back_ends);
        back_ends.sort_by(|left, right| left.id.cmp(&right.id));
        let layouts = head
            .layouts
            .into_iter()
            .map(|layout| self.layout(&head.name, layout))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Service {
            name: head.name,
            kind: head.kind,
            priority: head.priority,
            completeness: head.completeness,
            limits: head.limits,
            back_ends,
            layouts,
            snapshots: head.snapshots,
        })
    }

    fn layout(&mut self, service: &ServiceName, id: LayoutId) -> Result<Layout, CanonicalError> {
        let mut shards = Vec::new();
        if let Some(found) = self.shards.remove(&(service.clone(), id.clone())) {
            for (first, range) in found.ranges {
                if first as usize != shards.len() {
                    let name = found.section;
                    return OrphanSnafu { name }.fail();
                }
                shards.extend(range);
            }
        }
        Ok(Layout { id, shards })
    }

    fn ensure_used_up(self) -> Result<(), CanonicalError> {
        let back_ends = self.back_ends.into_values().map(|(section, _)| section);
        let shards = self.shards.into_values().map(|ranges| ranges.section);
        match back_ends.chain(shards).next() {
            Some(name) => OrphanSnafu { name }.fail(),
            None => Ok(()),
        }
    }
}
