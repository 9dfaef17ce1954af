//! Guards against hosts that do not converge after some sequence of faults: seeded runs with lost messages, partitions,
//! restarts and store outages, after which all hosts have to agree.

mod support;

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillapick_fleet::simulation::SimulatedFleet;
use vanillapick_fleet::simulation::WALL_START_MS;
use vanillapick_fleet::simulation::host_entry;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_model::table::ConfigTable;

use crate::support::count_requests;
use crate::support::counted_requests;
use crate::support::next_table;
use crate::support::rollback;

const HOSTS: u32 = 9;
const DOMAINS: u32 = 3;
const SEEDS: u64 = 30;
const STEPS: u32 = 25;

/// A simulated fleet and the state that its hosts have to converge to.
struct FaultRun {
    fleet: SimulatedFleet,
    rng: ChaCha8Rng,
    accepted: ConfigTable,
    rollbacks: Vec<String>,
    requests: u64,
    /// Upper bound of the requests that a restart may have lost before they were replicated.
    possibly_lost: u64,
}

impl FaultRun {
    fn step(&mut self, step: u32) {
        let host = host_entry(self.rng.random_range(0..HOSTS), DOMAINS);
        match self.rng.random_range(0..7) {
            0 => {
                self.fleet.partitioned_domains.insert(host.domain);
            }
            1 => self.fleet.partitioned_domains.clear(),
            2 => {
                // A restart loses what the host has not sent to others yet.
                self.possibly_lost = self.requests;
                self.fleet.start(host);
            }
            3 => {
                let is_available = self.fleet.stored_config.is_some();
                self.fleet.stored_config = (!is_available).then(|| self.accepted.clone());
            }
            4 if self.fleet.stored_config.is_some() => {
                self.accepted = next_table(&self.accepted);
                self.fleet.write_store(self.accepted.clone());
            }
            5 => {
                let id = format!("move-{}", 10 + step);
                let flag = rollback(&id, WALL_START_MS, "failures");
                self.fleet
                    .run_on_host(&host.id, |peer, now, rng| peer.announce_rollback(flag, now, rng));
                // Leaves the host enough time to inform a peer before a restart.
                self.fleet.run_for(Duration::from_secs(2));
                self.rollbacks.push(id);
            }
            _ => {
                count_requests(&mut self.fleet, &host.id, 1);
                self.requests += 1;
            }
        }
        let pause = self.rng.random_range(100..4000);
        self.fleet.run_for(Duration::from_millis(pause));
    }

    fn heal(&mut self) {
        self.fleet.partitioned_domains.clear();
        self.fleet.loss_percent = 0;
        self.fleet.write_store(self.accepted.clone());
        self.fleet.run_for(Duration::from_secs(40));
    }
}

#[test]
fn hosts_agree_after_any_order_of_faults() {
    let mut runs_with_possible_loss = 0;
    for seed in 0..SEEDS {
        let table = sample_table(DOMAINS, 4);
        let mut fleet = SimulatedFleet::with_hosts(HOSTS, DOMAINS, table.clone(), seed);
        fleet.loss_percent = 10;
        fleet.run_for(Duration::from_secs(5));
        let mut run = FaultRun {
            fleet,
            rng: ChaCha8Rng::seed_from_u64(seed),
            accepted: table,
            rollbacks: Vec::new(),
            requests: 0,
            possibly_lost: 0,
        };
        for step in 0..STEPS {
            run.step(step);
        }
        run.heal();

        let fleet = &run.fleet;
        assert!(
            fleet.has_converged_on(run.accepted.revision),
            "seed {seed}: the last accepted edit is not active everywhere"
        );
        for (id, host) in &fleet.hosts {
            let live = host.peer.live_hosts().len();
            assert_eq!(live, HOSTS as usize, "seed {seed}: live hosts as {id} sees them");
            let has_reverted = !host.installed.is_sorted_by(|left, right| left.1 < right.1);
            assert!(!has_reverted, "seed {seed}: {id} installed {:?}", host.installed);
            for rollback in &run.rollbacks {
                assert!(
                    host.peer.rollback(rollback).is_some(),
                    "seed {seed}: {id} lacks {rollback}"
                );
            }
        }
        let counts = counted_requests(fleet);
        assert!(counts.iter().all(|count| *count == counts[0]), "seed {seed}: {counts:?}");
        assert!(counts[0] <= run.requests, "seed {seed}: requests counted twice");
        assert!(
            run.requests - run.possibly_lost <= counts[0],
            "seed {seed}: counts lost without a restart"
        );
        runs_with_possible_loss += u64::from(run.possibly_lost != 0);
    }
    assert!(runs_with_possible_loss < SEEDS, "at least one run has no restart after a count");
}
