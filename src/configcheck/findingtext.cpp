#include "configcheck/findingtext.h"

#include "configcheck/finding.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>

namespace Cardamomhill
{

namespace
{

bool isPlain(char character)
{
    constexpr std::string_view Signs = "-_./:[],";
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z') || Signs.find(character) != std::string_view::npos;
}

/// Writes the names and values of a finding's detail.
class DetailWriter
{
public:
    explicit DetailWriter(std::string &line)
        : m_line(line)
    {
    }

    void operator()(std::monostate)
    {
    }

    void operator()(FieldProblem problem)
    {
        add("reason", std::string(nameOf(problem)));
    }

    void operator()(const NamedEntry &entry)
    {
        add("name", entry.name);
    }

    void operator()(const OtherEntry &entry)
    {
        add("by", entry.path);
    }

    void operator()(const LimitConflict &conflict)
    {
        add("value", conflict.value);
        add("limit", conflict.limit);
        if (!conflict.limitPath.empty()) {
            add("limit-path", conflict.limitPath);
        }
    }

    void operator()(const EntryChange &change)
    {
        add("name", change.name);
        if (!change.oldValue.empty()) {
            add("old", change.oldValue);
        }
        if (!change.newValue.empty()) {
            add("new", change.newValue);
        }
    }

    void operator()(const ValueChange &change)
    {
        add("old", change.oldValue);
        add("new", change.newValue);
    }

    void operator()(const KeyChange &change)
    {
        add("organisation", change.organisation);
        add("added", std::to_string(change.added));
        add("removed", std::to_string(change.removed));
    }

    void add(std::string_view name, const std::string &value)
    {
        m_line += m_line.empty() ? "" : " ";
        m_line += name;
        m_line += '=';
        if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
            m_line += value;
        } else {
            m_line += nlohmann::json(value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
        }
    }

private:
    std::string &m_line;
};

} // namespace

std::string textOf(const Finding &finding)
{
    std::string line;
    DetailWriter writer(line);
    writer.add("finding", std::string(nameOf(finding.kind)));
    if (!finding.path.empty()) {
        writer.add("path", finding.path);
    }
    std::visit(writer, finding.detail);
    return line;
}

} // namespace Cardamomhill
