#ifndef INDIGOLEAD_STANDINS_STANDIN_VERSION_H_
#define INDIGOLEAD_STANDINS_STANDIN_VERSION_H_

namespace indigolead::standins {

/// Returns the version printed by `indigolead-standin`.
const char* Version();

}  // namespace indigolead::standins

#endif  // INDIGOLEAD_STANDINS_STANDIN_VERSION_H_
