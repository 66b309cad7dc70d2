//! The generation register: what is accepted, and what peers are answered.

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

/// A configuration was not accepted.
#[derive(Debug, Snafu)]
pub(super) enum Refusal {
    #[snafu(display("generation {generation} is not newer than the one in force"))]
    NotNewer { generation: Generation },
    #[snafu(display("generation {generation} is claimed by two records"))]
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
    #[snafu(display("the delta to generation {generation} applies to another bundle"))]
    OtherBase { generation: Generation },
}

/// Generations only rise here, and each is accepted with one record only.
#[derive(Debug)]
pub(super) struct Register {
    trusted_keys: Vec<TrustedKey>,
    kept_generations: usize,
    active: Option<Arc<ActiveConfiguration>>,
    earlier: VecDeque<(Digest, SectionIndex)>,
    verified: Option<GenerationRecord>,
    conflict_reported: Option<Generation>,
}

impl Register {
    pub(super) fn new(trusted_keys: Vec<TrustedKey>, kept_generations: usize) -> Self {
        Self {
            trusted_keys,
            kept_generations,
            active: None,
            earlier: VecDeque::new(),
            verified: None,
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

    /// Whether a record is worth having: newer than what is in force, and validly signed.
    pub(super) fn check(
        &mut self,
        record: &GenerationRecord,
        counters: &mut ConfigurationCounters,
    ) -> Result<(), Refusal> {
        let generation = record.generation;
        if self.generation().is_some_and(|known| known >= generation) {
            self.check_same(summary_of(record))?;
            return NotNewerSnafu { generation }.fail();
        }
        if self.verified.as_ref() == Some(record) {
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
        self.verified = Some(record.clone());
        Ok(())
    }

    /// Two records of one generation cannot come from one store; refused, and told once.
    pub(super) fn check_same(&mut self, claimed: GenerationSummary) -> Result<(), Refusal> {
        let generation = claimed.generation;
        let known = self.summary();
        let differs = known.is_some_and(|known| known.generation == generation && known != claimed);
        if differs {
            return ConflictingSnafu { generation }.fail();
        }
        Ok(())
    }

    /// Whether a conflict at this generation was not told yet.
    pub(super) fn is_first_conflict(&mut self, generation: Generation) -> bool {
        self.conflict_reported.replace(generation) != Some(generation)
    }

    /// Takes a bundle as published. The record must have been checked.
    pub(super) fn accept_bundle(
        &mut self,
        record: GenerationRecord,
        bundle: Bundle,
    ) -> Result<Arc<ActiveConfiguration>, Refusal> {
        let generation = record.generation;
        let active =
            ActiveConfiguration::new(record, bundle).context(ContentSnafu { generation })?;
        Ok(self.install(active))
    }

    /// Takes a bundle as a peer passed it on. The record must have been checked.
    pub(super) fn accept_sections(
        &mut self,
        record: GenerationRecord,
        sections: SectionSet,
    ) -> Result<Arc<ActiveConfiguration>, Refusal> {
        let generation = record.generation;
        let active = ActiveConfiguration::from_sections(record, sections)
            .context(ContentSnafu { generation })?;
        Ok(self.install(active))
    }

    /// Takes a difference to the bundle in force. The record must have been checked.
    pub(super) fn accept_delta(
        &mut self,
        record: GenerationRecord,
        base: Digest,
        delta: SectionDelta,
    ) -> Result<Arc<ActiveConfiguration>, Refusal> {
        let generation = record.generation;
        let known = self.active.as_ref();
        let Some(known) = known.filter(|known| known.record.digest == base) else {
            return OtherBaseSnafu { generation }.fail();
        };
        let sections = known.sections.changed_by(delta);
        self.accept_sections(record, sections)
    }

    fn install(&mut self, active: ActiveConfiguration) -> Arc<ActiveConfiguration> {
        let active = Arc::new(active);
        if let Some(replaced) = self.active.replace(Arc::clone(&active)) {
            let index = replaced.sections.index();
            self.earlier.push_front((replaced.record.digest, index));
            self.earlier.truncate(self.kept_generations);
        }
        active
    }

    /// The difference from a peer's bundle to the one in force, where the peer's is known here.
    pub(super) fn delta_from(&self, base: Digest) -> Option<ConfigurationMessage> {
        let active = self.active.as_ref()?;
        let delta = if active.record.digest == base {
            SectionDelta {
                changed: Vec::new(),
                removed: Vec::new(),
            }
        } else {
            let known = self.earlier.iter().find(|(digest, _)| *digest == base);
            active.sections.delta_from(&known?.1)
        };
        Some(ConfigurationMessage::Delta {
            record: active.record.clone(),
            base,
            changed: delta.changed,
            removed: delta.removed,
        })
    }

    /// The whole bundle in force.
    pub(super) fn whole(&self) -> Option<ConfigurationMessage> {
        let active = self.active.as_ref()?;
        Some(ConfigurationMessage::Whole {
            record: active.record.clone(),
            sections: active.sections.to_wire(),
        })
    }
}
