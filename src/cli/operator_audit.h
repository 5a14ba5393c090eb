#ifndef INDIGOLEAD_CLI_OPERATOR_AUDIT_H_
#define INDIGOLEAD_CLI_OPERATOR_AUDIT_H_

#include "cli/operator_store.h"
#include "core/control/audit.h"

namespace indigolead::cli {

/// Appends `record` to the operators' segment of the audit trail and drops the
/// oldest records when the segment is full. A failure is only reported on
/// `context.err`, since the change itself is already made.
void AppendAudit(const CommandContext& context, OperatorStore* store,
                 const AuditRecord& record);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_OPERATOR_AUDIT_H_
