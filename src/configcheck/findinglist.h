#pragma once

#include "configcheck/configurationfield.h"
#include "configcheck/finding.h"

#include <string>

namespace Cardamomhill
{

class DocumentCodec;
} // namespace Cardamomhill

namespace Cardamomhill::internal
{

/// Collects findings and writes the paths of the fields that they are about.
class FindingList
{
public:
    explicit FindingList(const DocumentCodec &codec);

    /// @param path the path of an entry
    void add(FindingKind kind, std::string path, Finding::Detail detail = {});

    /// The path of a field.
    /// @param entry the path of its entry; empty for a member of the document
    std::string pathOf(const std::string &entry, ConfigurationField field) const;

    bool isEmpty() const;
    Findings take();

private:
    const DocumentCodec &m_codec;
    Findings m_findings;
};

/// The path of an element of an array.
std::string elementPath(const std::string &array, std::size_t index);

} // namespace Cardamomhill::internal
