use super::JoinSchedule;
use crate::membership::MembershipParameters;
use crate::time::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, host), 7100))
}

/// Guards against two nodes that joined through each other never contacting the other seeds.
#[test]
fn seed_that_is_not_member_is_contacted_after_joining() {
    let parameters = MembershipParameters::default();
    let member = address(1);
    for seed in 0..50 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let seeds = vec![member, address(2), address(3)];
        let mut joining = JoinSchedule::new(&parameters, address(0), seeds);
        joining.restart(&parameters, Timestamp::ZERO, &mut random);
        joining.mark_joined(&parameters, Timestamp::ZERO);
        let soon = Timestamp::ZERO + Duration::from_secs(1);
        let contacted =
            joining.next_address_due(&parameters, soon, &mut random, |address| address == member);
        assert!(
            contacted.is_some_and(|contacted| contacted != member),
            "{contacted:?}"
        );
    }
}

#[test]
fn no_seed_is_contacted_while_all_are_members() {
    let parameters = MembershipParameters::default();
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut joining = JoinSchedule::new(&parameters, address(0), vec![address(1), address(2)]);
    joining.restart(&parameters, Timestamp::ZERO, &mut random);
    joining.mark_joined(&parameters, Timestamp::ZERO);
    for second in 1..300 {
        let now = Timestamp::ZERO + Duration::from_secs(second);
        assert_eq!(
            joining.next_address_due(&parameters, now, &mut random, |_| true),
            None
        );
    }
}
