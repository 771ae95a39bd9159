//! Map in a sorted vector.

use std::{borrow::Borrow, mem};

/// Map in a vector sorted by key, with binary search; inserting and removing takes linear time.
///
/// Iteration is in the order of the keys, so equal inputs give equal outputs in each run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SortedVec<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedVec<K, V> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<K: Ord, V> SortedVec<K, V> {
    /// Creates a map without entries.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn position<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
    {
        self.entries.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.position(key).ok().map(|i| &self.entries[i].1)
    }

    /// Returns the value of a key for modification.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        let i = self.position(key).ok()?;
        Some(&mut self.entries[i].1)
    }

    /// Returns whether a key is present.
    #[must_use]
    pub fn contains_key<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.position(key).is_ok()
    }

    /// Sets the value of a key, and returns the value that it replaces.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(i) => Some(mem::replace(&mut self.entries[i].1, value)),
            Err(i) => {
                self.entries.insert(i, (key, value));
                None
            }
        }
    }

    /// Removes a key and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let i = self.position(key).ok()?;
        Some(self.entries.remove(i).1)
    }

    /// Returns the value of a key, after inserting the result of `make` if the key is absent.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let i = match self.position(&key) {
            Ok(i) => i,
            Err(i) => {
                self.entries.insert(i, (key, make()));
                i
            }
        };
        &mut self.entries[i].1
    }

    /// Removes the entries for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(k, v)| keep(k, v));
    }

    /// Iterates over the entries in the order of keys.
    #[must_use]
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.entries.iter().map(|(k, v)| (k, v))
    }

    /// Iterates over the entries in the order of keys, with mutable values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Iterates over the keys in order.
    #[must_use]
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + ExactSizeIterator {
        self.entries.iter().map(|(k, _)| k)
    }

    /// Iterates over the values in the order of keys.
    #[must_use]
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + ExactSizeIterator {
        self.entries.iter().map(|(_, v)| v)
    }

    /// Iterates over the entries whose keys are at least `key`, in order.
    pub fn iter_from<Q: Ord + ?Sized>(
        &self,
        key: &Q,
    ) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator
    where
        K: Borrow<Q>,
    {
        let (Ok(i) | Err(i)) = self.position(key);
        self.entries[i..].iter().map(|(k, v)| (k, v))
    }

    /// Returns the entry with the lowest key.
    #[must_use]
    pub fn first(&self) -> Option<(&K, &V)> {
        self.entries.first().map(|(k, v)| (k, v))
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedVec<K, V> {
    /// Collects entries; of several entries with the same key, the last one is kept.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut entries: Vec<(K, V)> = entries.into_iter().collect();
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        entries.reverse();
        entries.dedup_by(|later, kept| later.0 == kept.0);
        entries.reverse();
        Self { entries }
    }
}

impl<K, V> IntoIterator for SortedVec<K, V> {
    type IntoIter = std::vec::IntoIter<(K, V)>;
    type Item = (K, V);

    fn into_iter(self) -> Self::IntoIter {
        self.entries.into_iter()
    }
}
