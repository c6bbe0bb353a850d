#pragma once

#include "configcheck/entrychange.h"
#include "configcheck/fieldproblem.h"
#include "configcheck/findingkind.h"
#include "configcheck/keychange.h"
#include "configcheck/limitconflict.h"
#include "configcheck/namedentry.h"
#include "configcheck/otherentry.h"
#include "configcheck/valuechange.h"

#include <string>
#include <variant>
#include <vector>

namespace Cardamomhill
{

/// One result of a check of a configuration document.
struct Finding {
    using Detail = std::variant<std::monostate,
                                FieldProblem,
                                NamedEntry,
                                OtherEntry,
                                LimitConflict,
                                EntryChange,
                                ValueChange,
                                KeyChange>;

    FindingKind kind = FindingKind::FieldRejected;
    /// The entry or field of the document; of the version that it is compared with, if the entry was removed. Empty for
    /// the whole document.
    std::string path;
    Detail detail;

    bool operator==(const Finding &) const = default;
};

using Findings = std::vector<Finding>;

} // namespace Cardamomhill
