#include "standins/standin_version.h"

namespace indigolead::standins {

const char* Version() { return INDIGOLEAD_VERSION; }

}  // namespace indigolead::standins
