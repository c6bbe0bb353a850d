#pragma once

#include "deployment.h"
#include "message.h"
#include "record.h"

#include <list>
#include <mutex>
#include <string>
#include <thread>

/// What became of a caller's stream.
struct CallOutcome {
    long long sentAt = 0;
    /// An event has come.
    bool hasBegun = false;
    /// The whole answer has come.
    bool isServed = false;
};

/// Makes calls to one gateway at regular intervals, each on a thread and a connection of its own.
class Callers
{
public:
    Callers(const Gateway &gateway, Record &record);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// @param request makes the request of the call with an id and a number, from 1
    template<class MakeRequest>
    void begin(const std::string &name, int count, int gapMs, MakeRequest request)
    {
        for (int number = 1; number <= count; ++number) {
            const auto id = m_gateway.name + "-" + name + std::to_string(number);
            m_threads.emplace_back(
                [this, id, delay = static_cast<long long>(number) * gapMs, text = request(id, number)] {
                    call(id, delay, text);
                });
        }
    }

    /// Waits until all calls have ended, and returns what became of them.
    const std::list<CallOutcome> &outcomes();
    /// The number of calls that were served.
    int servedCount();

private:
    void call(const std::string &id, long long delayMs, const std::string &request);

    const Gateway &m_gateway;
    Record &m_record;
    std::mutex m_mutex;
    std::list<std::thread> m_threads;
    std::list<CallOutcome> m_outcomes;
};

/// A request for a stream. The further fields end with their line ends.
std::string
streamRequest(const std::string &host, const std::string &path, const std::string &id, const std::string &fields = {});
