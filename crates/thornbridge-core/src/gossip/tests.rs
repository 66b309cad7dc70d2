use super::transmissions;

#[test]
fn expected_misses_are_bounded_for_any_cluster_size() {
    for members in 2..5_000 {
        let copies = f64::from(transmissions(4, members));
        let expected_misses = members as f64 * (-copies).exp();
        assert!(
            expected_misses < 0.02,
            "{expected_misses} of {members} members missed"
        );
    }
}
