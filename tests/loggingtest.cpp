#include "logging/logging.h"
#include "net/steadynow.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>

using namespace Cardamomhill;

namespace
{

constexpr int Lines = 20'000;

/// A pipe in place of standard output, whose reader starts late.
class LateReader
{
public:
    LateReader()
        : m_saved(dup(STDOUT_FILENO))
    {
        REQUIRE(pipe(m_pipeEnds.data()) == 0);
        REQUIRE(dup2(m_pipeEnds[1], STDOUT_FILENO) >= 0);
        close(m_pipeEnds[1]);
    }

    void start()
    {
        m_reader = std::thread([this] {
            std::array<char, 65536> buffer{};
            for (auto size = read(m_pipeEnds[0], buffer.data(), buffer.size()); size > 0;
                 size = read(m_pipeEnds[0], buffer.data(), buffer.size())) {
                m_output.append(buffer.data(), static_cast<std::size_t>(size));
            }
        });
    }

    /// Restores standard output and returns what was written.
    const std::string &finish()
    {
        dup2(m_saved, STDOUT_FILENO);
        close(m_saved);
        m_reader.join();
        close(m_pipeEnds[0]);
        return m_output;
    }

private:
    std::array<int, 2> m_pipeEnds{};
    int m_saved;
    std::string m_output;
    std::thread m_reader;
};

void fillBuffer()
{
    for (int i = 0; i < Lines; ++i) {
        logEvent(LogLevel::Info, "filler", {{"number", i}, {"text", std::string(200, 'x')}});
    }
}

} // namespace

TEST_CASE("buffered logging does not wait for a reader, drops lines when the buffer is full and logs how many")
{
    LateReader reader;
    startBufferedLogging(LogLevel::Info);
    const auto start = steadyNow();
    fillBuffer();
    const auto elapsed = steadyNow() - start;
    reader.start();
    stopLogging();
    const auto &output = reader.finish();

    CHECK(elapsed < Seconds(10));
    CHECK(output.find("event=filler") != std::string::npos);
    CHECK(output.find("Discarded") != std::string::npos);
    CHECK(output.size() < Lines * 200U);
}

TEST_CASE("the last lines of a process are written although the buffer was full")
{
    LateReader reader;
    startBufferedLogging(LogLevel::Info);
    fillBuffer();
    reader.start();
    endBufferedLogging();
    logEvent(LogLevel::Info, "last", {{"number", 1}});
    stopLogging();
    const auto &output = reader.finish();

    CHECK(output.find("event=filler") != std::string::npos);
    CHECK(output.find("Discarded") != std::string::npos);
    CHECK(output.find("event=last number=1") != std::string::npos);
}
