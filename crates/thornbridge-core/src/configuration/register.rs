//! Generation register: verifies and activates configurations, and builds replies to peers.

use super::active::{ActiveConfiguration, ActiveConfigurationError, summary_of};
use super::parameters::ConfigurationCounters;
use snafu::{ResultExt, Snafu};
use std::collections::VecDeque;
use std::sync::Arc;
use thornbridge_config::approval::{self, ApprovalError, TrustedKey};
use thornbridge_config::bundle::Bundle;
use thornbridge_config::canonical::{SectionDelta, SectionIndex, SectionSet};
use thornbridge_proto::peer::configuration::{
    ConfigurationMessage, GenerationRecord, GenerationSummary,
};
use thornbridge_proto::{Digest, Generation};

/// Reason for rejecting a configuration.
#[derive(Debug, Snafu)]
pub(super) enum Rejection {
    #[snafu(display("generation {generation} is not newer than the active one"))]
    NotNewer { generation: Generation },
    #[snafu(display("generation {generation} has two different records"))]
    Conflicting { generation: Generation },
    #[snafu(display("generation {generation}: {source}"))]
    Approval {
        generation: Generation,
        source: ApprovalError,
    },
    #[snafu(display("generation {generation}: {source}"))]
    Content {
        generation: Generation,
        source: ActiveConfigurationError,
    },
    #[snafu(display("the base of the delta to generation {generation} is not the active bundle"))]
    OtherBase { generation: Generation },
}

/// The active configuration of a node. Generations only increase, each with a single record.
#[derive(Debug)]
pub(super) struct Register {
    trusted_keys: Vec<TrustedKey>,
    kept_generations: usize,
    active: Option<Arc<ActiveConfiguration>>,
    previous_indices: VecDeque<(Digest, SectionIndex)>,
    last_verified: Option<GenerationRecord>,
    conflict_reported: Option<Generation>,
}

impl Register {
    pub(super) fn new(trusted_keys: Vec<TrustedKey>, kept_generations: usize) -> Self {
        Self {
            trusted_keys,
            kept_generations,
            active: None,
            previous_indices: VecDeque::new(),
            last_verified: None,
            conflict_reported: None,
        }
    }

    pub(super) fn active(&self) -> Option<&Arc<ActiveConfiguration>> {
        self.active.as_ref()
    }

    pub(super) fn generation(&self) -> Option<Generation> {
        let active = self.active.as_ref();
        active.map(|active| active.record.generation)
    }

    pub(super) fn summary(&self) -> Option<GenerationSummary> {
        self.active.as_ref().map(|active| active.summary)
    }

    pub(super) fn digest(&self) -> Option<Digest> {
        let active = self.active.as_ref();
        active.map(|active| active.record.digest)
    }

    /// Checks that a record is newer than the active one and validly signed.
    pub(super) fn check(
        &mut self,
        record: &GenerationRecord,
        counters: &mut ConfigurationCounters,
    ) -> Result<(), Rejection> {
        let generation = record.generation;
        if self.generation().is_some_and(|known| known >= generation) {
            self.check_conflict(summary_of(record))?;
            return NotNewerSnafu { generation }.fail();
        }
        if self.last_verified.as_ref() == Some(record) {
            return Ok(());
        }
        counters.signatures_checked += 1;
        approval::verify(
            &self.trusted_keys,
            &record.key_id,
            &record.version,
            &record.digest,
            &record.signature,
        )
        .context(ApprovalSnafu { generation })?;
        self.last_verified = Some(record.clone());
        Ok(())
    }

    /// Rejects a second, different record of the active generation.
    pub(super) fn check_conflict(&mut self, received: GenerationSummary) -> Result<(), Rejection> {
        let generation = received.generation;
        let known = self.summary();
        let differs =
            known.is_some_and(|known| known.generation == generation && known != received);
        if differs {
            return ConflictingSnafu { generation }.fail();
        }
        Ok(())
    }

    /// Whether this is the first conflict reported for the generation.
    pub(super) fn is_first_conflict(&mut self, generation: Generation) -> bool {
        self.conflict_reported.replace(generation) != Some(generation)
    }

    /// Activates a published bundle. The record must have been checked.
    pub(super) fn activate_bundle(
        &mut self,
        record: GenerationRecord,
        bundle: Bundle,
    ) -> Result<Arc<ActiveConfiguration>, Rejection> {
        let generation = record.generation;
        let active =
            ActiveConfiguration::new(record, bundle).context(ContentSnafu { generation })?;
        Ok(self.install(active))
    }

    /// Activates a bundle received from a peer. The record must have been checked.
    pub(super) fn activate_sections(
        &mut self,
        record: GenerationRecord,
        sections: SectionSet,
    ) -> Result<Arc<ActiveConfiguration>, Rejection> {
        let generation = record.generation;
        let active = ActiveConfiguration::from_sections(record, sections)
            .context(ContentSnafu { generation })?;
        Ok(self.install(active))
    }

    /// Applies a delta to the active bundle. The record must have been checked.
    pub(super) fn apply_delta(
        &mut self,
        record: GenerationRecord,
        base: Digest,
        delta: SectionDelta,
    ) -> Result<Arc<ActiveConfiguration>, Rejection> {
        let generation = record.generation;
        let known = self.active.as_ref();
        let Some(known) = known.filter(|known| known.record.digest == base) else {
            return OtherBaseSnafu { generation }.fail();
        };
        let sections = known.sections.changed_by(delta);
        self.activate_sections(record, sections)
    }

    fn install(&mut self, active: ActiveConfiguration) -> Arc<ActiveConfiguration> {
        let active = Arc::new(active);
        if let Some(replaced) = self.active.replace(Arc::clone(&active)) {
            let index = replaced.sections.index();
            self.previous_indices
                .push_front((replaced.record.digest, index));
            self.previous_indices.truncate(self.kept_generations);
        }
        active
    }

    /// Delta from a peer's bundle to the active one; `None` if the peer's bundle is not known.
    pub(super) fn delta_from(&self, base: Digest) -> Option<ConfigurationMessage> {
        let active = self.active.as_ref()?;
        let delta = if active.record.digest == base {
            SectionDelta {
                changed: Vec::new(),
                removed: Vec::new(),
            }
        } else {
            let known = self
                .previous_indices
                .iter()
                .find(|(digest, _)| *digest == base);
            active.sections.delta_from(&known?.1)
        };
        Some(ConfigurationMessage::Delta {
            record: active.record.clone(),
            base,
            changed: delta.changed,
            removed: delta.removed,
        })
    }

    /// Message with the whole active bundle.
    pub(super) fn whole_bundle(&self) -> Option<ConfigurationMessage> {
        let active = self.active.as_ref()?;
        Some(ConfigurationMessage::Whole {
            record: active.record.clone(),
            sections: active.sections.to_wire(),
        })
    }
}
