//! Messages that no honest peer sends: refused, counted, and without effect.

use crate::sample;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use thornbridge_config::approval::{self, SigningKey};
use thornbridge_config::bundle::Bundle;
use thornbridge_config::canonical::SectionSet;
use thornbridge_core::configuration::ConfigurationRegister;
use thornbridge_core::{Action, Context, StateChange, Timestamp};
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::configuration::{
    ConfigurationMessage, GenerationRecord, GenerationSummary,
};
use thornbridge_proto::{Generation, NodeId};

struct Receiver {
    register: ConfigurationRegister,
    refusals_told: usize,
}

fn record(generation: u64, bundle: &Bundle, key: &SigningKey) -> GenerationRecord {
    let digest = SectionSet::of(bundle).unwrap().digest();
    GenerationRecord {
        generation: Generation(generation),
        version: bundle.version.clone(),
        digest,
        change: "change".into(),
        key_id: sample::KEY_ID.to_owned(),
        signature: approval::sign(key, &bundle.version, &digest),
    }
}

fn whole(generation: u64, bundle: &Bundle) -> ConfigurationMessage {
    ConfigurationMessage::Whole {
        record: record(generation, bundle, &sample::signing_key()),
        sections: SectionSet::of(bundle).unwrap().to_wire(),
    }
}

impl Receiver {
    /// A register in which generation 5 is in force.
    fn new() -> Self {
        let register = ConfigurationRegister::new(Default::default(), sample::trusted_keys());
        let mut receiver = Self {
            register,
            refusals_told: 0,
        };
        receiver.take(whole(5, &sample::bundle("v5", &["search"])));
        assert_eq!(receiver.generation(), 5);
        receiver
    }

    fn take(&mut self, message: ConfigurationMessage) {
        let mut random = Pcg64Mcg::seed_from_u64(1);
        let (mut actions, mut signals) = (VecDeque::new(), VecDeque::new());
        let now = Timestamp::ZERO;
        let mut context = Context::new(now, &mut random, &mut actions, &mut signals);
        let from = PeerEndpoint {
            node: NodeId(9),
            address: ([10, 0, 0, 9], 7400).into(),
        };
        self.register.peer_message(&mut context, from, message);
        let told = |action: &&Action| {
            matches!(
                action,
                Action::StateChanged(StateChange::ConfigurationRejected { .. })
            )
        };
        self.refusals_told += actions.iter().filter(told).count();
    }

    fn generation(&self) -> u64 {
        self.register.active().unwrap().record.generation.0
    }

    fn refused(&self) -> u64 {
        self.register.counters().refused
    }
}

#[test]
fn a_signature_by_an_unknown_key_is_refused() {
    let mut receiver = Receiver::new();
    let bundle = sample::bundle("v6", &["search"]);
    receiver.take(ConfigurationMessage::Whole {
        record: record(6, &bundle, &SigningKey::from_bytes(&[8; 32])),
        sections: SectionSet::of(&bundle).unwrap().to_wire(),
    });
    assert_eq!((receiver.generation(), receiver.refused()), (5, 1));
}

#[test]
fn content_other_than_the_approved_is_refused() {
    let mut receiver = Receiver::new();
    let approved = sample::bundle("v6", &["search"]);
    let other = sample::bundle("v6", &["search", "cards"]);
    receiver.take(ConfigurationMessage::Whole {
        record: record(6, &approved, &sample::signing_key()),
        sections: SectionSet::of(&other).unwrap().to_wire(),
    });
    assert_eq!((receiver.generation(), receiver.refused()), (5, 1));
}

#[test]
fn a_delta_that_leads_elsewhere_is_refused_and_the_whole_bundle_asked_for() {
    let mut receiver = Receiver::new();
    let approved = sample::bundle("v6", &["search", "cards"]);
    receiver.take(ConfigurationMessage::Delta {
        record: record(6, &approved, &sample::signing_key()),
        base: receiver.register.active().unwrap().record.digest,
        changed: Vec::new(),
        removed: Vec::new(),
    });
    assert_eq!((receiver.generation(), receiver.refused()), (5, 1));
    assert_eq!(receiver.register.counters().deltas_failed, 1);
}

#[test]
fn a_lower_generation_is_left_alone_though_it_is_validly_signed() {
    let mut receiver = Receiver::new();
    receiver.take(whole(4, &sample::bundle("v4", &["search"])));
    assert_eq!((receiver.generation(), receiver.refused()), (5, 0));
    assert_eq!(receiver.register.counters().stale, 1);
}

#[test]
fn two_records_of_one_generation_are_refused_counted_and_told_once() {
    let mut receiver = Receiver::new();
    for _ in 0..2 {
        receiver.take(whole(5, &sample::bundle("v6", &["search"])));
        receiver.take(ConfigurationMessage::Announce {
            summary: Some(GenerationSummary {
                generation: Generation(5),
                fingerprint: 1,
            }),
            platform_age_ms: None,
        });
    }
    assert_eq!((receiver.generation(), receiver.refused()), (5, 4));
    assert_eq!(receiver.register.counters().conflicting, 4);
    assert_eq!(receiver.refusals_told, 1);
}

#[test]
fn a_signature_is_checked_once_for_each_generation() {
    let mut receiver = Receiver::new();
    let before = receiver.register.counters().signatures_checked;
    for _ in 0..10 {
        receiver.take(whole(6, &sample::bundle("v6", &["search"])));
    }
    assert_eq!(receiver.generation(), 6);
    let after = receiver.register.counters().signatures_checked;
    assert_eq!(after - before, 1);
}
