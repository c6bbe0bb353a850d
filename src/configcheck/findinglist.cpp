#include "configcheck/findinglist.h"

#include "configcheck/documentcodec.h"

#include <utility>

namespace Cardamomhill::internal
{

FindingList::FindingList(const DocumentCodec &codec)
    : m_codec(codec)
{
}

void FindingList::add(FindingKind kind, std::string path, Finding::Detail detail)
{
    m_findings.push_back({kind, std::move(path), std::move(detail)});
}

std::string FindingList::pathOf(const std::string &entry, ConfigurationField field) const
{
    return entry + (entry.empty() ? "" : ".") + std::string(m_codec.fieldName(field));
}

bool FindingList::isEmpty() const
{
    return m_findings.empty();
}

Findings FindingList::take()
{
    return std::move(m_findings);
}

std::string elementPath(const std::string &array, std::size_t index)
{
    return array + "[" + std::to_string(index) + "]";
}

} // namespace Cardamomhill::internal
