//! Positions in the history of the platform's store.

/// Position in the store's history of changes; increases with every write of an era.
pub type StoreRevision = u64;

/// Number of times that the store was restored from an earlier copy of its contents. Revisions and leases are valid within
/// an era only: the next one gives out again what was given out after the copy was made.
pub type StoreEra = u64;

/// Position in the histories of the store: positions of a later era are greater.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StorePosition {
    pub era: StoreEra,
    pub revision: StoreRevision,
}
