#ifndef INDIGOLEAD_STORE_LISTING_CHANGES_H_
#define INDIGOLEAD_STORE_LISTING_CHANGES_H_

#include <vector>

#include "store/object_store.h"

namespace indigolead {

/// Returns what has changed from the listing `before` to the later one `after`
/// of the same prefix, as a watch would tell it: one change for each object
/// that is new, has another value or is gone. All bear the version of `after`,
/// since when each of them was made is not known.
std::vector<WatchEvent> ChangesBetween(const ObjectStore::Listing& before,
                                       const ObjectStore::Listing& after);

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_LISTING_CHANGES_H_
