#include "quietgroup.h"

#include "deployment.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace
{

using Json = nlohmann::json;

constexpr int Slots = 10;
constexpr int KvTokens = 310000;
constexpr int Ok = 200;
constexpr int Accepted = 202;
constexpr int Conflict = 409;
constexpr int Misdirected = 421;

Json membership(const std::string &group, std::size_t rank)
{
    return {{"name", group}, {"epoch", 1}, {"rank", rank}, {"state", "open"}};
}

} // namespace

bool sendAnswer(const ModelServer::Call &call, int status, const std::string &body, const std::string &fields)
{
    return call.socket.send(call.answerHead(status, fields + "Content-Length: " + std::to_string(body.size()) + "\r\n")
                            + body);
}

QuietGroup::QuietGroup(Options options, Record &record)
    : m_options(std::move(options))
{
    for (std::size_t rank = 0; rank < m_options.zones.size(); ++rank) {
        m_ranks.push_back(std::make_unique<ModelServer>(
            idOf(rank), record, [this, rank](const ModelServer::Call &call) { return answer(call, rank); }));
    }
}

std::size_t QuietGroup::size() const
{
    return m_options.zones.size();
}

std::string QuietGroup::idOf(std::size_t rank) const
{
    return m_options.service + "-" + m_options.name + "-" + std::to_string(rank);
}

std::string QuietGroup::spec(std::size_t rank) const
{
    auto spec = Json::parse(serverSpec(m_options.service, m_ranks[rank]->port(), m_options.zones[rank], Slots));
    spec["group"] = membership(m_options.name, rank);
    spec["size"] = size();
    spec["models"] = Json::array(
        {Json{{"name", "m"}, {"version", std::atoi(m_options.version.c_str())}, {"adapters", Json::array()}}});
    return spec.dump();
}

bool QuietGroup::answer(const ModelServer::Call &call, std::size_t rank) const
{
    const auto path = call.head.path();
    if (path == "/report") {
        const Json report{{"stage", "both"},
                          {"models", Json::array()},
                          {"busy", false},
                          {"sequence", 0},
                          {"num-waiting", 0},
                          {"num-running", 0},
                          {"kv-used", 0},
                          {"kv-total", KvTokens},
                          {"handles", 0},
                          {"pace", 1.0},
                          {"step", 0},
                          {"map", 0},
                          {"size", size()},
                          {"group", membership(m_options.name, rank)}};
        return sendAnswer(call, Ok, report.dump());
    }
    if (path.starts_with("/picked?lists")) {
        Json experts = Json::array();
        for (auto expert = rank; expert < Experts; expert += size()) {
            experts.push_back(expert);
        }
        const Json map{{"version", 0}, {"experts", Json::array({experts})}};
        return sendAnswer(call, Ok, Json{{"epoch", 1}, {"map", map}}.dump());
    }
    if (path.starts_with("/picked")) {
        return sendAnswer(call, Ok, Json{{"step", 0}, {"epoch", 1}, {"counts", std::vector<int>(Experts, 0)}}.dump());
    }
    if (path == "/order") {
        // There is nothing to disarm.
        const auto order = Json::parse(call.body, nullptr, false);
        const bool isDisarm = order.is_object() && order.value("operation", "") == "disarm";
        return sendAnswer(call, isDisarm ? Conflict : Accepted, "{}");
    }
    return path == "/health" ? sendAnswer(call, Ok, "") : answerStream(call);
}

bool QuietGroup::answerStream(const ModelServer::Call &call) const
{
    auto &record = call.server.record();
    const auto versions = "Cardamomhill-Weight-Versions: " + m_options.version + "\r\n";
    const auto expected = call.head.header("cardamomhill-expected-version");
    if (!expected.empty() && expected != m_options.version) {
        record.write("server " + call.server.id() + " answers 421 to " + call.id() + ", which expects version "
                     + expected);
        return sendAnswer(call, Misdirected, "", "Cardamomhill-Not-Executed: 1\r\n" + versions);
    }
    record.write("server " + call.server.id() + " runs " + call.id());
    int number = std::atoi(call.head.header("last-event-id").c_str());
    bool isSent = call.socket.send(
        call.answerHead(Ok, versions + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    while (isSent && number < m_options.events && !call.server.isStopping()) {
        ++number;
        isSent = call.socket.send(chunk("id: " + std::to_string(number) + "\ndata: text\n\n"));
        sleepMs(m_options.eventIntervalMs);
    }
    return isSent && call.socket.send("0\r\n\r\n");
}
