//! Forged configuration messages: rejected and counted, without any other effect.

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
    rejections_reported: usize,
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
    /// A register in which generation 5 is active.
    fn new() -> Self {
        let register = ConfigurationRegister::new(Default::default(), sample::trusted_keys());
        let mut receiver = Self {
            register,
            rejections_reported: 0,
        };
        receiver.receive(whole(5, &sample::bundle("v5", &["search"])));
        assert_eq!(receiver.generation(), 5);
        receiver
    }

    fn receive(&mut self, message: ConfigurationMessage) {
        let mut random = Pcg64Mcg::seed_from_u64(1);
        let (mut actions, mut signals) = (VecDeque::new(), VecDeque::new());
        let now = Timestamp::ZERO;
        let mut context = Context::new(now, &mut random, &mut actions, &mut signals);
        let from = PeerEndpoint {
            node: NodeId(9),
            address: ([10, 0, 0, 9], 7400).into(),
        };
        self.register.peer_message(&mut context, from, message);
        let is_rejection = |action: &&Action| {
            matches!(
                action,
                Action::StateChanged(StateChange::ConfigurationRejected { .. })
            )
        };
        self.rejections_reported += actions.iter().filter(is_rejection).count();
    }

    fn generation(&self) -> u64 {
        self.register.active().unwrap().record.generation.0
    }

    fn rejected(&self) -> u64 {
        self.register.counters().refused
    }
}

#[test]
fn signature_of_untrusted_key_is_rejected() {
    let mut receiver = Receiver::new();
    let bundle = sample::bundle("v6", &["search"]);
    receiver.receive(ConfigurationMessage::Whole {
        record: record(6, &bundle, &SigningKey::from_bytes(&[8; 32])),
        sections: SectionSet::of(&bundle).unwrap().to_wire(),
    });
    assert_eq!((receiver.generation(), receiver.rejected()), (5, 1));
}

#[test]
fn content_with_unapproved_digest_is_rejected() {
    let mut receiver = Receiver::new();
    let approved = sample::bundle("v6", &["search"]);
    let other = sample::bundle("v6", &["search", "cards"]);
    receiver.receive(ConfigurationMessage::Whole {
        record: record(6, &approved, &sample::signing_key()),
        sections: SectionSet::of(&other).unwrap().to_wire(),
    });
    assert_eq!((receiver.generation(), receiver.rejected()), (5, 1));
}

#[test]
fn delta_with_wrong_result_is_rejected_and_counted() {
    let mut receiver = Receiver::new();
    let approved = sample::bundle("v6", &["search", "cards"]);
    receiver.receive(ConfigurationMessage::Delta {
        record: record(6, &approved, &sample::signing_key()),
        base: receiver.register.active().unwrap().record.digest,
        changed: Vec::new(),
        removed: Vec::new(),
    });
    assert_eq!((receiver.generation(), receiver.rejected()), (5, 1));
    assert_eq!(receiver.register.counters().deltas_failed, 1);
}

#[test]
fn older_generation_is_ignored_though_validly_signed() {
    let mut receiver = Receiver::new();
    receiver.receive(whole(4, &sample::bundle("v4", &["search"])));
    assert_eq!((receiver.generation(), receiver.rejected()), (5, 0));
    assert_eq!(receiver.register.counters().stale, 1);
}

#[test]
fn conflicting_records_are_rejected_and_reported_once() {
    let mut receiver = Receiver::new();
    for _ in 0..2 {
        receiver.receive(whole(5, &sample::bundle("v6", &["search"])));
        receiver.receive(ConfigurationMessage::Announce {
            summary: Some(GenerationSummary {
                generation: Generation(5),
                fingerprint: 1,
            }),
            platform_age_ms: None,
        });
    }
    assert_eq!((receiver.generation(), receiver.rejected()), (5, 4));
    assert_eq!(receiver.register.counters().conflicting, 4);
    assert_eq!(receiver.rejections_reported, 1);
}

#[test]
fn signature_is_verified_once_per_generation() {
    let mut receiver = Receiver::new();
    let before = receiver.register.counters().signatures_checked;
    for _ in 0..10 {
        receiver.receive(whole(6, &sample::bundle("v6", &["search"])));
    }
    assert_eq!(receiver.generation(), 6);
    let after = receiver.register.counters().signatures_checked;
    assert_eq!(after - before, 1);
}
