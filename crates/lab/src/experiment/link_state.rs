//! Simulated network between failure domains: delays between entry hosts, and failure domains that are cut off.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use vanillapick_entry::link_rule::LinkCondition;
use vanillapick_entry::link_rule::LinkRule;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::link::LinkDelay;

#[derive(Debug, Default)]
struct AddressMap {
    target_domains: HashMap<SocketAddr, DomainId>,
    host_domains: HashMap<SocketAddr, DomainId>,
    cut_off: BTreeSet<DomainId>,
}

/// Network state shared by all entry hosts of an experiment. Addresses that were not added, such as the platform's,
/// belong to no failure domain.
#[derive(Clone, Debug, Default)]
pub struct LinkState {
    map: Arc<Mutex<AddressMap>>,
    links: Arc<Vec<LinkDelay>>,
}

impl LinkState {
    /// Starts with no failure domain cut off.
    pub fn new(links: Vec<LinkDelay>) -> Self {
        Self { map: Arc::default(), links: Arc::new(links) }
    }

    /// Sets the failure domain of a target. Calls to targets get no delay here, as the target stand-in adds it.
    pub fn add_target(&self, address: SocketAddr, domain: &str) {
        self.lock().target_domains.insert(address, domain.to_owned());
    }

    /// Sets the failure domain of an entry host.
    pub fn add_host(&self, address: SocketAddr, domain: &str) {
        self.lock().host_domains.insert(address, domain.to_owned());
    }

    /// Replaces the failure domains that are cut off from each other, from all others and from the platform.
    pub fn set_cut_off(&self, domains: BTreeSet<DomainId>) {
        self.lock().cut_off = domains;
    }

    /// Returns the rule for outgoing connections of a host in `domain`.
    pub fn rule_for_domain(&self, domain: &str) -> LinkRule {
        let (state, domain) = (self.clone(), domain.to_owned());
        LinkRule::new(move |address| state.condition(&domain, address))
    }

    fn condition(&self, from: &str, address: SocketAddr) -> LinkCondition {
        let map = self.lock();
        let host = map.host_domains.get(&address);
        let to = host.or_else(|| map.target_domains.get(&address)).map_or("", String::as_str);
        if to != from && (map.cut_off.contains(from) || map.cut_off.contains(to)) {
            return LinkCondition::Cut;
        }
        let is_link = |link: &&LinkDelay| {
            (link.from == from && link.to == to) || (link.from == to && link.to == from)
        };
        let link = self.links.iter().find(is_link).filter(|_| host.is_some());
        LinkCondition::Up(link.map_or(Duration::ZERO, |link| link.delay))
    }

    fn lock(&self) -> MutexGuard<'_, AddressMap> {
        self.map.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
