#ifndef INDIGOLEAD_STORE_LISTING_CHANGES_H_
#define INDIGOLEAD_STORE_LISTING_CHANGES_H_

#include <vector>

#include "store/object_store.h"

namespace indigolead {

/// Returns the difference between the listing `before` and the later listing
/// `after` of the same prefix, in the form a watch reports it: one change for
/// each object that is new, has another value or was deleted. All changes have
/// the version of `after`, since their own versions are unknown.
std::vector<WatchEvent> DiffListings(const ObjectStore::Listing& before,
                                     const ObjectStore::Listing& after);

}  // namespace indigolead

#endif  // INDIGOLEAD_STORE_LISTING_CHANGES_H_
