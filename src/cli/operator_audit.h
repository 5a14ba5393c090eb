#ifndef INDIGOLEAD_CLI_OPERATOR_AUDIT_H_
#define INDIGOLEAD_CLI_OPERATOR_AUDIT_H_

#include "cli/operator_store.h"
#include "core/control/audit.h"

namespace indigolead::cli {

/// Appends `record` to the operators' segment of the audit trail, whose oldest
/// records go when it is full. Says so on `context.err` if that failed: the
/// change itself stands.
void AppendAudit(const CommandContext& context, OperatorStore* store,
                 const AuditRecord& record);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_OPERATOR_AUDIT_H_
