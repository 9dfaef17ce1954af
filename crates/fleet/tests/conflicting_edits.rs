//! Guards against edits that are lost or applied twice when several operators edit concurrently and replies of the
//! store are lost.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_fleet::table_edit::EditStep;
use vanillapick_fleet::table_edit::RebaseError;
use vanillapick_fleet::table_edit::next_step;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::target::TargetEntry;

const OPERATORS: usize = 4;
const EDITS_EACH: usize = 25;

/// A store with compare-and-swap. `delayed_write` is a write without a reply that has not taken effect yet.
struct CasStore {
    table: ConfigTable,
    delayed_write: Option<(u64, ConfigTable)>,
    writes: usize,
}

enum WriteReply {
    Accepted,
    Conflict,
    Lost,
}

impl CasStore {
    fn compare_and_swap(&mut self, expect: u64, next: ConfigTable) -> bool {
        if self.table.revision != expect {
            return false;
        }
        self.table = next;
        self.writes += 1;
        true
    }

    fn apply_delayed_write(&mut self) {
        if let Some((expect, next)) = self.delayed_write.take() {
            self.compare_and_swap(expect, next);
        }
    }

    fn write(&mut self, expect: u64, next: ConfigTable, rng: &mut ChaCha8Rng) -> WriteReply {
        match rng.random_range(0..10) {
            // The write takes effect after the writer has read the table again.
            0 => {
                self.apply_delayed_write();
                self.delayed_write = Some((expect, next));
                WriteReply::Lost
            }
            1..4 => {
                self.compare_and_swap(expect, next);
                WriteReply::Lost
            }
            _ if self.compare_and_swap(expect, next) => WriteReply::Accepted,
            _ => WriteReply::Conflict,
        }
    }
}

struct Operator {
    name: usize,
    accepted: usize,
    conflicts: usize,
    draft: Option<(ConfigTable, ConfigTable)>,
    write: Option<(u64, ConfigTable)>,
}

impl Operator {
    fn edit_id(&self) -> String {
        format!("operator-{}-edit-{}", self.name, self.accepted)
    }

    /// Each edit adds a unique target to one of two pools. Changing a counter would not work: two operators who set the
    /// same value make the same edit, which is not a conflict.
    fn step(&mut self, store: &mut CasStore, rng: &mut ChaCha8Rng) {
        if let Some((expect, next)) = self.write.take() {
            if let WriteReply::Accepted = store.write(expect, next, rng) {
                self.finish();
            }
            return;
        }
        let current = store.table.clone();
        let Some((base, mine)) = &self.draft else {
            let mut mine = current.clone();
            let pool = format!("pool-{:02}", rng.random_range(0..2));
            let row = mine.pools.get_mut(&pool).expect("the table has two pools");
            row.targets.push(TargetEntry { id: self.edit_id(), ..row.targets[0].clone() });
            self.draft = Some((current, mine));
            return;
        };
        match next_step(base, mine, &current, &self.edit_id()) {
            Ok(EditStep::AlreadyApplied) => self.finish(),
            Ok(EditStep::Write(next)) => self.write = Some((current.revision, next)),
            Err(RebaseError::Conflicts { conflicts }) => {
                assert_eq!(conflicts.len(), 1, "one row was edited");
                self.conflicts += 1;
                self.draft = None;
            }
            Err(RebaseError::Findings { findings }) => panic!("{findings:?}"),
        }
    }

    fn finish(&mut self) {
        self.accepted += 1;
        self.draft = None;
    }
}

#[test]
fn conflicting_edits() {
    let mut lost_or_duplicated = Vec::new();
    let mut conflicts = 0;
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut store = CasStore { table: sample_table(2, 200), delayed_write: None, writes: 0 };
        let mut operators: Vec<_> = (0..OPERATORS)
            .map(|name| Operator { name, accepted: 0, conflicts: 0, draft: None, write: None })
            .collect();
        while let Some(_waiting) = operators.iter().find(|operator| operator.accepted < EDITS_EACH)
        {
            if rng.random_range(0..3) == 0 {
                store.apply_delayed_write();
            }
            let next = rng.random_range(0..OPERATORS);
            if operators[next].accepted < EDITS_EACH {
                operators[next].step(&mut store, &mut rng);
            }
        }
        let targets = store.table.pools.values().flat_map(|row| &row.targets);
        let added = targets.filter(|target| target.id.starts_with("operator-")).count();
        conflicts += operators.iter().map(|operator| operator.conflicts).sum::<usize>();
        let accepted: usize = operators.iter().map(|operator| operator.accepted).sum();
        if added != accepted || store.writes != accepted {
            lost_or_duplicated.push((seed, accepted, added, store.writes));
        }
    }
    assert!(0 < conflicts, "with these seeds, operators edit the same row concurrently");
    assert_eq!(lost_or_duplicated, [], "(seed, accepted, in the table, applied writes)");
}
