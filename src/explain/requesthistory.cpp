#include "explain/requesthistory.h"

#include "explain/eventexplanation.h"

#include <algorithm>
#include <ostream>

namespace Cardamomhill
{

namespace
{

void printLine(std::ostream &out, const LogLine &line)
{
    out << line.time << ' ' << line.event;
    for (const auto &[name, value] : line.fields) {
        if (name != "request") {
            out << ' ' << name << '=' << value;
        }
    }
    out << '\n';
}

} // namespace

RequestHistory::RequestHistory(std::string request)
    : m_request(std::move(request))
{
}

void RequestHistory::addLine(const std::string &file, std::string_view text)
{
    auto line = parseLogLine(text);
    if (line.has_error()) {
        ++m_skippedLines[line.error()];
        return;
    }
    const auto process = line.value().source.empty() ? file : line.value().source;
    if (line.value().field("request") == m_request) {
        m_entries.push_back({process, std::move(line.value())});
    } else if (!topicOf(line.value()).empty()) {
        m_states[process].push_back(std::move(line.value()));
    }
}

bool RequestHistory::hasRequest() const
{
    return !m_entries.empty();
}

std::vector<RequestHistory::Entry> RequestHistory::sortedEntries() const
{
    auto sorted = m_entries;
    std::stable_sort(
        sorted.begin(), sorted.end(), [](const Entry &a, const Entry &b) { return a.line.time < b.line.time; });
    return sorted;
}

void RequestHistory::print(std::ostream &out) const
{
    out << "request " << m_request << '\n';
    std::set<std::string> processes;
    std::set<std::string> servers;
    for (const auto &entry : sortedEntries()) {
        processes.insert(entry.process);
        servers.insert(entry.line.field("server"));
        out << "  [" << entry.process << "] ";
        printLine(out, entry.line);
        const auto explanation = explanationOf(entry.line);
        if (!explanation.empty()) {
            out << "      " << explanation << '\n';
        }
    }
    for (const auto &process : processes) {
        printState(out, process, servers);
    }
    for (const auto &[reason, count] : m_skippedLines) {
        out << count << ' ' << nameOf(reason) << " lines were left out\n";
    }
}

void RequestHistory::printState(std::ostream &out,
                                const std::string &process,
                                const std::set<std::string> &servers) const
{
    const auto states = m_states.find(process);
    if (states == m_states.end()) {
        return;
    }
    std::string first;
    std::string last;
    for (const auto &entry : sortedEntries()) {
        if (entry.process == process) {
            first = first.empty() ? entry.line.time : first;
            last = entry.line.time;
        }
    }
    std::map<std::string, LogLine> before;
    std::vector<LogLine> meanwhile;
    for (const auto &line : states->second) {
        // Skips servers to which the request was not sent.
        if (line.event.starts_with("server-") && !servers.contains(line.field("server"))) {
            continue;
        }
        if (line.time < first) {
            before[topicOf(line)] = line;
        } else if (line.time <= last) {
            meanwhile.push_back(line);
        }
    }
    out << "state of " << process << " when its first line about the request was written\n";
    for (const auto &[topic, line] : before) {
        out << "  " << topic << ": ";
        printLine(out, line);
    }
    if (!meanwhile.empty()) {
        out << "changes until its last line about the request\n";
    }
    for (const auto &line : meanwhile) {
        out << "  ";
        printLine(out, line);
    }
}

} // namespace Cardamomhill
