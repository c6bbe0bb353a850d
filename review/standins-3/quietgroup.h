#pragma once

#include "modelserver.h"
#include "record.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// A stand-in for a group of model servers whose experts are all chosen alike, so that its map is never switched. Each
/// rank answers streams by itself.
class QuietGroup
{
public:
    static constexpr int Experts = 8;

    struct Options {
        std::string name;
        std::string service;
        /// The zone of each rank.
        std::vector<std::string> zones;
        /// Events of a stream, and the time between them.
        int events = 20;
        int eventIntervalMs = 30;
        /// The version of the weights. Requests that expect another one get 421.
        std::string version = "1";
    };

    QuietGroup(Options options, Record &record);

    std::size_t size() const;
    std::string idOf(std::size_t rank) const;
    /// The registration of a rank.
    std::string spec(std::size_t rank) const;

private:
    bool answer(const ModelServer::Call &call, std::size_t rank) const;
    bool answerStream(const ModelServer::Call &call) const;

    Options m_options;
    std::vector<std::unique_ptr<ModelServer>> m_ranks;
};

/// Sends a whole answer.
bool sendAnswer(const ModelServer::Call &call, int status, const std::string &body, const std::string &fields = {});
