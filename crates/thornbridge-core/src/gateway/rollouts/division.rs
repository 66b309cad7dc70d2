//! Division of permits among the routes of a node, and between requests and their companions.

use super::exposure::{CompanionFund, Ledger};
use thornbridge_proto::peer::rollout::companions_of;

/// What limits the companions of one division.
#[derive(Clone, Copy, Debug)]
pub(super) struct CompanionPlan {
    /// Whether the node is one of those that send companions now.
    pub(super) admitted: bool,
    /// Expected number of requests until sampling ends.
    pub(super) further_requests: f64,
    /// Requests that completion needs.
    pub(super) reserve: f64,
}

/// Divides permits among routes: those with the fewest answers and outstanding permits first, to each
/// no more than it has requests. Part of the permits are for companions of these requests.
pub(super) fn divide<'a>(
    mut shares: Vec<RouteShare<'a>>,
    permits: u32,
    ledger: &Ledger,
    plan: CompanionPlan,
) -> Vec<RouteShare<'a>> {
    let mut left = permits;
    let (mut paid, mut spare) = (0, 0);
    while left > 0 {
        let open = shares.iter_mut().filter(|share| share.is_open());
        let Some(share) = open.min_by_key(|share| share.sampled) else {
            break;
        };
        let fund = match plan.admitted && share.accepts_companions {
            true => ledger.companion_fund((permits - left, paid), spare, plan),
            false => None,
        };
        match fund {
            None => {}
            Some(CompanionFund::Spare) => spare += 1,
            // A companion is worth waiting for the permits of a pair.
            Some(CompanionFund::Sample) if left == 1 => break,
            Some(CompanionFund::Sample) => {
                paid += 1;
                left -= 1;
            }
        }
        left -= 1;
        share.grant(fund);
    }
    shares.retain(|share| share.permits > 0);
    shares
}

/// Permits of a route while they are divided.
#[derive(Debug)]
pub(super) struct RouteShare<'a> {
    pub(super) route: &'a str,
    pub(super) requests: u32,
    /// Whether the node can send companions of such requests now.
    pub(super) accepts_companions: bool,
    /// Answers of the version on trial and outstanding permits.
    pub(super) sampled: u32,
    pub(super) permits: u32,
    /// Companions paid from the sample, and from what is spare.
    pub(super) paid_companions: u32,
    pub(super) spare_companions: u32,
}

impl RouteShare<'_> {
    /// Permits by the name under which they are granted.
    pub(super) fn permits(&self) -> impl Iterator<Item = (String, u32)> {
        let requests = (self.route.to_owned(), self.permits);
        let companions = self.paid_companions + self.spare_companions;
        let companions = (companions_of(self.route), companions);
        [requests, companions]
            .into_iter()
            .filter(|(_, permits)| *permits > 0)
    }

    fn grant(&mut self, companion: Option<CompanionFund>) {
        self.permits += 1;
        self.sampled += 1;
        match companion {
            None => {}
            Some(CompanionFund::Spare) => self.spare_companions += 1,
            Some(CompanionFund::Sample) => self.paid_companions += 1,
        }
    }

    fn is_open(&self) -> bool {
        self.permits < self.requests
    }
}
