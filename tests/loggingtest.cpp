#include "logging/logging.h"
#include "net/steadynow.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>

using namespace Cardamomhill;

TEST_CASE("buffered logging does not wait for a reader, drops lines when the buffer is full and logs how many")
{
    std::array<int, 2> pipeEnds{};
    REQUIRE(pipe(pipeEnds.data()) == 0);
    const int saved = dup(STDOUT_FILENO);
    REQUIRE(dup2(pipeEnds[1], STDOUT_FILENO) >= 0);
    close(pipeEnds[1]);

    startBufferedLogging(LogLevel::Info);
    constexpr int Lines = 20'000;
    const auto start = steadyNow();
    for (int i = 0; i < Lines; ++i) {
        logEvent(LogLevel::Info, "filler", {{"number", i}, {"text", std::string(200, 'x')}});
    }
    const auto elapsed = steadyNow() - start;

    std::string output;
    std::thread reader([&] {
        std::array<char, 65536> buffer{};
        for (auto size = read(pipeEnds[0], buffer.data(), buffer.size()); size > 0;
             size = read(pipeEnds[0], buffer.data(), buffer.size())) {
            output.append(buffer.data(), static_cast<std::size_t>(size));
        }
    });
    stopLogging();
    dup2(saved, STDOUT_FILENO);
    close(saved);
    reader.join();
    close(pipeEnds[0]);

    CHECK(elapsed < Seconds(10));
    CHECK(output.find("event=filler") != std::string::npos);
    CHECK(output.find("Discarded") != std::string::npos);
    CHECK(output.size() < Lines * 200U);
}
