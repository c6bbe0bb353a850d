#include "traffic/promptblame.h"
#include "core/random.h"
#include "traffic/crashsuspects.h"
#include "traffic/promptnotice.h"
#include "traffic/promptnoticequeue.h"
#include "traffic/promptpartids.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>
#include <map>
#include <set>
#include <vector>

using namespace Cardamomhill;

namespace
{

constexpr SteadyTime Start{Seconds(100)};
/// Apart enough to count each crash by itself, and for all reports to have come.
constexpr Milliseconds Apart{1000};

std::vector<PromptSuspect> prompt(const std::vector<std::string> &parts)
{
    std::vector<PromptSuspect> suspects;
    suspects.reserve(parts.size());
    for (const auto &part : parts) {
        suspects.push_back({part, static_cast<std::uint32_t>(suspects.size()), false});
    }
    return suspects;
}

/// Blame with a clock, which crashes move on.
struct Scene {
    PromptBlame blame;
    SteadyTime now = Start;
    std::uint64_t process = 0;

    void crash(const std::vector<std::string> &parts, Milliseconds later = Apart)
    {
        blame.recordCrash(++process, prompt(parts), now);
        now += later;
    }

    std::optional<std::string> decide()
    {
        return blame.decide(now);
    }
};

/// Plays calls with random prompts at servers, of which those with one part crash their server.
/// @return what was blocked, and how many crashes there were
std::pair<std::set<std::string>, std::size_t> playCrashes(std::uint64_t seed)
{
    constexpr int Calls = 400;
    constexpr std::size_t CallsPerServer = 4;
    Random random(seed);
    Scene scene;
    std::set<std::string> blocked;
    std::vector<std::vector<std::string>> queue;
    for (int call = 0; call < Calls; ++call) {
        const bool isBad = call > 50 && random() % 8 == 0;
        std::vector<std::string> parts{"class" + std::to_string(random() % 3),
                                       isBad ? "bad" : "topic" + std::to_string(random() % 30)};
        if (isBad && random() % 2 == 0) {
            parts.push_back("session" + std::to_string(call));
        }
        scene.now += Milliseconds(random() % 200);
        if (const auto part = scene.decide()) {
            blocked.insert(*part);
        }
        if (scene.blame.isBlocked(parts[0], scene.now) || scene.blame.isBlocked(parts[1], scene.now)) {
            continue;
        }
        // The calls that wait at a server crash with the one that it begins to answer.
        queue.push_back(parts);
        if (isBad) {
            for (const auto &waiting : queue) {
                scene.blame.recordCrash(call, prompt(waiting), scene.now);
            }
            ++scene.process;
            queue.clear();
        } else if (queue.size() > CallsPerServer) {
            for (const auto &part : queue.front()) {
                scene.blame.recordSound(part, scene.now);
            }
            queue.erase(queue.begin());
        }
    }
    return {blocked, scene.process};
}

} // namespace

TEST_CASE("the part that several crashes have in common is blocked, and no other one")
{
    Scene scene;
    scene.crash({"a", "bad"});
    scene.blame.recordSound("a", scene.now);
    scene.crash({"b", "bad"});
    CHECK_FALSE(scene.decide());
    scene.crash({"a", "bad", "c"});
    CHECK(scene.decide() == "bad");
    CHECK_FALSE(scene.decide());
    CHECK(scene.blame.isBlocked("bad", scene.now));
    for (const auto *part : {"a", "b", "c"}) {
        CHECK_FALSE(scene.blame.isBlocked(part, scene.now));
    }
}

TEST_CASE("servers that crash at the same time do not make a part suspect that their calls share")
{
    Scene scene;
    for (int server = 0; server < 20; ++server) {
        scene.crash({"shared"}, Milliseconds(1));
    }
    scene.now += Apart;
    CHECK_FALSE(scene.decide());
}

TEST_CASE("reports of several hosts about one crash count once")
{
    Scene scene;
    for (int host = 0; host < 5; ++host) {
        scene.blame.recordCrash(1, prompt({"a"}), scene.now);
        scene.now += Apart;
    }
    CHECK_FALSE(scene.decide());
}

TEST_CASE("nothing is decided while other hosts may still report")
{
    Scene scene;
    scene.crash({"bad"});
    scene.crash({"bad"});
    scene.crash({"bad"}, Milliseconds(100));
    CHECK_FALSE(scene.decide());
    scene.now += Apart;
    CHECK(scene.decide() == "bad");
}

TEST_CASE("an answer that goes on clears a part, also when it was blocked")
{
    Scene scene;
    scene.crash({"a"});
    scene.crash({"a"});
    CHECK(scene.blame.recordSound("a", scene.now));
    scene.crash({"a"});
    CHECK_FALSE(scene.decide());
    scene.crash({"a"});
    scene.crash({"a"});
    scene.crash({"a"});
    scene.crash({"a"});
    CHECK(scene.decide() == "a");
    CHECK(scene.blame.recordSound("a", scene.now));
    CHECK_FALSE(scene.blame.isBlocked("a", scene.now));
    CHECK_FALSE(scene.blame.recordSound("a", scene.now));
    // Another host that has not heard it yet.
    CHECK_FALSE(scene.blame.block({"a", 60'000}, scene.now));
    // Another host that has counted crashes after the last answer.
    scene.crash({"a"}, Milliseconds(10));
    CHECK(scene.blame.block({"a", 60'000}, scene.now));
}

TEST_CASE("of two parts that all crashes share, the one that fewer calls share is blocked, and the other one only if "
          "crashes go on")
{
    Scene scene;
    for (int crash = 0; crash < 3; ++crash) {
        scene.crash({"common", "rare"});
    }
    CHECK(scene.decide() == "rare");
    CHECK_FALSE(scene.decide());
    // A late report of an explained crash.
    scene.blame.recordCrash(3, prompt({"common"}), scene.now);
    // The crash of a call that was under way.
    scene.crash({"common", "rare"});
    CHECK_FALSE(scene.decide());
    scene.crash({"common", "other"});
    scene.crash({"common"});
    CHECK_FALSE(scene.decide());
    scene.crash({"common"});
    CHECK(scene.decide() == "common");
}

TEST_CASE("a part under which answers went on is blocked only after more crashes")
{
    Scene scene;
    scene.blame.recordSound("a", scene.now);
    for (int crash = 0; crash < 4; ++crash) {
        scene.crash({"a"});
        CHECK_FALSE(scene.decide());
    }
    scene.crash({"a"});
    CHECK(scene.decide() == "a");
}

TEST_CASE("a block ends some time after the last call that it refused")
{
    Scene scene;
    CHECK(scene.blame.block({"a", 1000}, scene.now));
    CHECK_FALSE(scene.blame.block({"a", 500}, scene.now));
    CHECK(scene.blame.isBlocked("a", scene.now + Milliseconds(999)));
    CHECK_FALSE(scene.blame.isBlocked("a", scene.now + Milliseconds(1000)));
    const auto time = scene.blame.recordRefusal("a", scene.now);
    CHECK(time == PromptBlameOptions().blockTime);
    CHECK(scene.blame.isBlocked("a", scene.now + time - Milliseconds(1)));
    CHECK_FALSE(scene.blame.isBlocked("a", scene.now + time));
    CHECK(scene.blame.recordRefusal("unknown", scene.now) == Milliseconds(0));
}

TEST_CASE("suspicions end without further crashes, and their number is limited")
{
    Scene scene;
    scene.crash({"a"});
    scene.crash({"a"});
    scene.now += PromptBlameOptions().suspicionLifetime;
    CHECK_FALSE(scene.decide());
    scene.crash({"a"});
    CHECK_FALSE(scene.decide());
    PromptBlameOptions options;
    options.maxBlocked = 2;
    PromptBlame small(options);
    CHECK(small.block({"a", 1000}, Start));
    CHECK(small.block({"b", 2000}, Start));
    CHECK_FALSE(small.block({"c", 1000}, Start));
    CHECK(small.block({"c", 1000}, Start + Milliseconds(1500)));
    CHECK(small.blockedParts(Start + Milliseconds(1500)).size() == 2);
}

TEST_CASE("the part that crashes servers is found among any prompts, soon and alone")
{
    CHECK(rc::check("only the part that crashes servers is blocked, after few crashes", [](std::uint64_t seed) {
        const auto [blocked, crashes] = playCrashes(seed);
        RC_ASSERT(blocked == std::set<std::string>{"bad"});
        RC_ASSERT(crashes <= 8U);
    }));
}

TEST_CASE("a notice about prompts is read as it was written, and other bytes are no notice")
{
    PromptNotice notice;
    notice.host = "h1";
    notice.crashes = {{7, {{"a", 1, true}}}};
    notice.sound = {"b"};
    notice.blocked = {{"c", 500}};
    const auto bytes = packPromptNotice(notice);
    const auto read = unpackPromptNotice(bytes);
    REQUIRE(read.has_value());
    CHECK(read->host == "h1");
    REQUIRE(read->crashes.size() == 1);
    CHECK(read->crashes[0].process == 7);
    REQUIRE(read->crashes[0].suspects.size() == 1);
    CHECK(read->crashes[0].suspects[0].part == "a");
    CHECK(read->crashes[0].suspects[0].position == 1);
    CHECK(read->crashes[0].suspects[0].isKnownSound);
    CHECK(read->sound == notice.sound);
    REQUIRE(read->blocked.size() == 1);
    CHECK(read->blocked[0].remaining() == Milliseconds(500));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(unpackPromptNotice(bytes.substr(0, size)));
    }
    notice.format = PromptNotice::CurrentFormat + 1;
    CHECK_FALSE(unpackPromptNotice(packPromptNotice(notice)));
}

// Guards against hosts that tell each other only the first parts of a prompt, or send datagrams that cannot be read.
TEST_CASE("everything a host has to tell about prompts arrives, in notices of limited size")
{
    constexpr std::size_t Suspects = 3000;
    constexpr std::size_t Others = 400;
    PromptNoticeQueue queue("h1");
    std::vector<BlockedPart> blocked;
    blocked.reserve(Others);
    for (std::uint64_t process = 1; process <= 3; ++process) {
        CrashReport report{process, {}};
        report.suspects.reserve(Suspects);
        for (std::size_t index = 0; index < Suspects; ++index) {
            const auto part = std::string(PromptPartIds::MaxIdLength - 8, 'p') + std::to_string(index);
            report.suspects.push_back({part, 4'000'000'000, false});
        }
        queue.addCrash(report);
    }
    for (std::size_t index = 0; index < Others; ++index) {
        queue.addSound(std::string(PromptPartIds::MaxIdLength - 8, 's') + std::to_string(index));
        blocked.push_back({std::string(PromptPartIds::MaxIdLength - 8, 'b') + std::to_string(index),
                           std::numeric_limits<std::uint64_t>::max()});
    }
    queue.setBlocked(blocked);
    std::map<std::uint64_t, std::size_t> suspects;
    std::size_t soundCount = 0;
    std::size_t blockedCount = 0;
    while (!queue.isEmpty()) {
        const auto notice = queue.next();
        REQUIRE_FALSE(notice.isEmpty());
        REQUIRE(packPromptNotice(notice).size() <= PromptNoticeQueue::MaxNoticeBytes + notice.host.size());
        for (const auto &report : notice.crashes) {
            suspects[report.process] += report.suspects.size();
        }
        soundCount += notice.sound.size();
        blockedCount += notice.blocked.size();
    }
    CHECK(suspects == std::map<std::uint64_t, std::size_t>{{1, Suspects}, {2, Suspects}, {3, Suspects}});
    CHECK(soundCount == Others);
    CHECK(blockedCount == Others);
}

// Guards against a burst of crashes that is told two a tick, which delays the verdict.
TEST_CASE("many crashes under short prompts are told in one notice")
{
    PromptNoticeQueue queue("h1");
    for (std::uint64_t process = 1; process <= 50; ++process) {
        queue.addCrash({process, prompt({"a", "bad", "c"})});
    }
    CHECK(queue.next().crashes.size() == 50);
    CHECK(queue.isEmpty());
}

TEST_CASE("of more suspects than are reported, sound parts and the first parts of prompts are left out")
{
    CrashSuspects suspects(3);
    for (std::uint32_t position = 0; position < 100; ++position) {
        suspects.add("p" + std::to_string(position), position, position >= 98);
    }
    suspects.add("p5", 400, false);
    const auto ranked = suspects.ranked();
    REQUIRE(ranked.size() == 3);
    CHECK(ranked[0].part == "p5");
    CHECK(ranked[1].part == "p97");
    CHECK(ranked[2].part == "p96");
}

// Guards against prompts that fill the tables, after which no other part is found to crash servers.
TEST_CASE("a part that crashes servers is found after any number of other parts were suspected or sound")
{
    PromptBlameOptions options;
    options.maxSuspects = 100;
    options.maxKnownSound = 100;
    Scene scene;
    scene.blame = PromptBlame(options);
    for (int call = 0; call < 300; ++call) {
        scene.blame.recordSound("sound" + std::to_string(call), scene.now);
    }
    CHECK(scene.blame.isKnownSound("sound299"));
    CHECK_FALSE(scene.blame.isKnownSound("sound0"));
    for (int crash = 0; crash < 3; ++crash) {
        std::vector<std::string> parts;
        parts.reserve(150);
        for (int part = 0; part < 150; ++part) {
            parts.push_back("own" + std::to_string(crash * 150 + part));
        }
        scene.crash(parts);
    }
    CHECK_FALSE(scene.decide());
    for (int crash = 0; crash < 3; ++crash) {
        std::vector<std::string> parts{"bad"};
        parts.reserve(91);
        for (int part = 0; part < 90; ++part) {
            parts.push_back("next" + std::to_string(crash * 90 + part));
        }
        scene.crash(parts);
    }
    CHECK(scene.decide() == "bad");
}

// Guards against a table of blocked parts that is full and lets every further part crash servers.
TEST_CASE("a part that another host has blocked replaces the block that ends first when there are too many")
{
    PromptBlameOptions options;
    options.maxBlocked = 2;
    PromptBlame blame(options);
    CHECK(blame.block({"a", 1000}, Start));
    CHECK(blame.block({"b", 2000}, Start));
    CHECK(blame.block({"c", 3000}, Start));
    CHECK_FALSE(blame.isBlocked("a", Start));
    CHECK(blame.isBlocked("b", Start));
    CHECK(blame.isBlocked("c", Start));
}
