#include "stream/stream.h"

#include "core/random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace Cardamomhill
{

namespace
{

constexpr std::uint64_t ATTEMPT = 7;
constexpr std::size_t PAYLOAD_FRAMES = 12;
constexpr std::size_t PAYLOAD_BYTES = 40;
constexpr std::size_t FRAME_BYTES = sizeof(StreamFrame) + PAYLOAD_BYTES;
constexpr std::size_t MAX_BUFFERED_BYTES = 4 * FRAME_BYTES;

enum class Action : std::uint8_t {
    Produce,
    DeliverOldest,
    DeliverAny,
    Duplicate,
    Lose,
    CrossAttempts,
    CutAndResume,
    Acknowledge,
    AcknowledgeLate,
    RestartSender,
    Alter,
};

struct Step {
    Action action = Action::Produce;
    std::uint8_t argument = 0;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << static_cast<int>(step.action) << ':' << static_cast<int>(step.argument);
}

/// One attempt over a link that does what the steps say. Each restart of the sender makes other content.
template<class Sender, class Receiver>
class Transfer
{
public:
    /// What was wrong with the transfer, or nothing.
    std::optional<std::string> run(const std::vector<Step> &steps)
    {
        for (const Step &step : steps) {
            apply(step);
        }
        // A connection without faults, renewed in each round, has to end the transfer either way.
        for (std::size_t round = 0; round < 2 * PAYLOAD_FRAMES && !m_completed && !m_failed; ++round) {
            m_link.clear();
            resume();
            while (canProduce()) {
                produce();
            }
            while (!m_link.empty()) {
                deliver(0);
            }
            m_sender->acknowledge(m_receiver.nextSequence());
        }
        if (!m_completed && !m_failed) {
            m_violation = "neither completed nor failed";
        } else if (m_failed && !m_contentChanged) {
            m_violation = "failed although all content was sent unchanged";
        }
        return m_violation;
    }

private:
    void apply(const Step &step)
    {
        const std::size_t any = m_link.empty() ? 0 : step.argument % m_link.size();
        switch (step.action) {
        case Action::Produce:
            return produce();
        case Action::DeliverOldest:
            return deliver(0);
        case Action::DeliverAny:
            return deliver(any);
        case Action::CrossAttempts:
            return receive(m_otherSender.append(FrameKind::Data, "of another attempt"));
        case Action::CutAndResume:
            m_link.clear();
            return resume();
        case Action::Acknowledge:
            m_lateAcknowledgement = m_receiver.nextSequence();
            return m_sender->acknowledge(m_lateAcknowledgement);
        case Action::AcknowledgeLate:
            return m_sender->acknowledge(m_lateAcknowledgement);
        case Action::RestartSender:
            return restart();
        case Action::Duplicate:
        case Action::Lose:
        case Action::Alter:
            return m_link.empty() ? void() : change(any, step.action);
        }
    }

    void change(std::size_t index, Action action)
    {
        const auto position = m_link.begin() + static_cast<std::ptrdiff_t>(index);
        if (action == Action::Lose) {
            m_link.erase(position);
        } else if (action == Action::Duplicate) {
            m_link.push_back(*position);
        } else if (!position->payload.empty()) {
            position->payload.front() ^= 1;
            m_contentChanged = true;
        }
    }

    bool canProduce() const
    {
        return !m_sender->isFinished() && m_sender->hasRoom();
    }

    void produce()
    {
        if (!canProduce()) {
            return;
        }
        auto &content = m_contents.back();
        if (content.size() == PAYLOAD_FRAMES) {
            m_link.push_back(m_sender->finish());
            return;
        }
        std::string payload = std::to_string(m_contents.size()) + "/" + std::to_string(content.size());
        payload.resize(PAYLOAD_BYTES, '.');
        content.push_back(payload);
        m_link.push_back(m_sender->append(content.size() == 1 ? FrameKind::Head : FrameKind::Data, payload));
        if (m_sender->bufferedBytes() >= MAX_BUFFERED_BYTES + FRAME_BYTES) {
            m_violation = "sender keeps more than its bound";
        }
    }

    void restart()
    {
        m_sender = std::make_unique<Sender>(ATTEMPT, MAX_BUFFERED_BYTES);
        m_contents.emplace_back();
        m_contentChanged = true;
    }

    void resume()
    {
        const auto frames = m_sender->resumeFrom(m_receiver.nextSequence());
        if (!frames.has_value()) {
            m_failed = true;
            return;
        }
        m_link.insert(m_link.end(), frames.value().begin(), frames.value().end());
    }

    void deliver(std::size_t index)
    {
        if (m_link.empty()) {
            return;
        }
        StreamFrame frame = m_link[index];
        m_link.erase(m_link.begin() + static_cast<std::ptrdiff_t>(index));
        receive(std::move(frame));
    }

    void receive(StreamFrame frame)
    {
        const auto effect = m_receiver.receive(std::move(frame));
        if (!effect.has_value()) {
            m_failed = true;
        } else if (const auto *delivered = std::get_if<DeliverPayload>(&effect.value())) {
            m_delivered.push_back(delivered->payload);
        } else if (const auto *gap = std::get_if<GapFound>(&effect.value())) {
            gap->alreadyReported ? void() : resume();
        } else if (std::holds_alternative<AnswerComplete>(effect.value())) {
            m_completed = true;
        }
        check();
    }

    void check()
    {
        const auto &sent = m_contents.back();
        if (!m_contentChanged
            && (m_delivered.size() > sent.size()
                || !std::equal(m_delivered.begin(), m_delivered.end(), sent.begin()))) {
            m_violation = "delivered content is no prefix of the sent content";
        }
        if (m_completed
            && (m_delivered.size() != PAYLOAD_FRAMES
                || std::find(m_contents.begin(), m_contents.end(), m_delivered) == m_contents.end())) {
            m_violation = "completed a broken answer";
        }
    }

    std::unique_ptr<Sender> m_sender = std::make_unique<Sender>(ATTEMPT, MAX_BUFFERED_BYTES);
    StreamSender m_otherSender{ATTEMPT + 1, MAX_BUFFERED_BYTES};
    Receiver m_receiver{ATTEMPT};
    /// What each incarnation of the sender sent.
    std::vector<std::vector<std::string>> m_contents{{}};
    std::vector<std::string> m_delivered;
    std::deque<StreamFrame> m_link;
    std::uint64_t m_lateAcknowledgement = 0;
    bool m_contentChanged = false;
    bool m_completed = false;
    bool m_failed = false;
    std::optional<std::string> m_violation;
};

/// Seeded fault: takes the answer as complete when the digest differs.
class ReceiverWithoutDigest : public StreamReceiver
{
public:
    using StreamReceiver::StreamReceiver;

    Result<ReceiveEffect, StreamError> receive(StreamFrame frame)
    {
        auto effect = StreamReceiver::receive(std::move(frame));
        if (!effect.has_value() && effect.error().code == StreamErrorCode::DigestMismatch) {
            return Result<ReceiveEffect, StreamError>(boost::outcome_v2::in_place_type<ReceiveEffect>,
                                                      AnswerComplete{});
        }
        return effect;
    }
};

/// Seeded fault: resumes one frame too late and numbers the frames from the requested one.
class SenderResumingLate : public StreamSender
{
public:
    using StreamSender::StreamSender;

    Result<std::vector<StreamFrame>, StreamError> resumeFrom(std::uint64_t sequence) const
    {
        auto frames = StreamSender::resumeFrom(sequence + 1);
        if (frames.has_value()) {
            for (StreamFrame &frame : frames.value()) {
                frame.sequence = sequence++;
            }
        }
        return frames;
    }
};

/// How many of 300 random transfers, up to the given action, violate a rule.
template<class Sender, class Receiver>
std::size_t violations(Action lastAction)
{
    Random random(20261204);
    std::size_t found = 0;
    for (int run = 0; run < 300; ++run) {
        std::vector<Step> steps(100);
        for (Step &step : steps) {
            step.action = static_cast<Action>(random() % (static_cast<unsigned>(lastAction) + 1));
            step.argument = static_cast<std::uint8_t>(random());
        }
        found += Transfer<Sender, Receiver>().run(steps).has_value() ? 1 : 0;
    }
    return found;
}

} // namespace

} // namespace Cardamomhill

template<>
struct rc::Arbitrary<Cardamomhill::Step> {
    static Gen<Cardamomhill::Step> arbitrary()
    {
        using namespace Cardamomhill;
        constexpr int ACTIONS = static_cast<int>(Action::Alter) + 1;
        return gen::build<Step>(gen::set(&Step::action, gen::cast<Action>(gen::inRange(0, ACTIONS))),
                                gen::set(&Step::argument));
    }
};

namespace Cardamomhill
{

TEST_CASE("a faulty link, foreign frames or a restarted sender never make a broken answer complete")
{
    CHECK(rc::check("the answer arrives whole or an error is reported", [](const std::vector<Step> &steps) {
        const auto violation = Transfer<StreamSender, StreamReceiver>().run(steps);
        RC_ASSERT(violation.value_or("") == "");
    }));
    // Longer transfers than rapidcheck makes.
    CHECK(violations<StreamSender, StreamReceiver>(Action::AcknowledgeLate) == 0);
    CHECK(violations<StreamSender, StreamReceiver>(Action::Alter) == 0);
}

TEST_CASE("the checker finds a receiver without digest check and a sender that resumes one frame late")
{
    CHECK(violations<StreamSender, ReceiverWithoutDigest>(Action::Alter) > 0);
    CHECK(violations<SenderResumingLate, StreamReceiver>(Action::AcknowledgeLate) > 0);
}

TEST_CASE("an attempt that ended in an error stays failed, even when the missing content arrives later")
{
    StreamSender sender(ATTEMPT, MAX_BUFFERED_BYTES);
    StreamReceiver receiver(ATTEMPT);
    StreamFrame end = sender.finish();
    StreamFrame wrong = end;
    ++wrong.frameCount;
    CHECK(receiver.receive(wrong).error().code == StreamErrorCode::CountMismatch);
    CHECK(receiver.receive(end).error().code == StreamErrorCode::CountMismatch);
    CHECK_FALSE(receiver.isComplete());

    StreamFrame unknown = end;
    unknown.kind = static_cast<FrameKind>(200);
    CHECK(StreamReceiver(ATTEMPT).receive(unknown).error().code == StreamErrorCode::UnknownKind);

    StreamSender failing(ATTEMPT, MAX_BUFFERED_BYTES);
    StreamReceiver informed(ATTEMPT);
    const auto effect = informed.receive(failing.append(FrameKind::Failed, "engine stopped"));
    CHECK(effect.error().message() == "stream of attempt 7 at frame 0: failed-by-sender: engine stopped");
    CHECK_THROWS_AS(failing.finish(), std::logic_error);
}

TEST_CASE("only the first frame behind a gap asks for a resume, or each would make the sender repeat all frames")
{
    StreamSender sender(ATTEMPT, MAX_BUFFERED_BYTES);
    StreamReceiver receiver(ATTEMPT);
    sender.append(FrameKind::Head, "lost");
    const StreamFrame second = sender.append(FrameKind::Data, "second");
    const StreamFrame third = sender.append(FrameKind::Data, "third");
    CHECK_FALSE(std::get<GapFound>(receiver.receive(second).value()).alreadyReported);
    CHECK(std::get<GapFound>(receiver.receive(third).value()).alreadyReported);
    // The sender went back and the frame is still missing.
    CHECK_FALSE(std::get<GapFound>(receiver.receive(second).value()).alreadyReported);
}

TEST_CASE("frames keep their members over msgpack")
{
    StreamSender sender(ATTEMPT, MAX_BUFFERED_BYTES);
    sender.append(FrameKind::Head, std::string("\0\xff", 2));
    sender.finish();
    const auto frames = sender.resumeFrom(0).value();
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, frames);
    CHECK(msgpack::unpack(buffer.data(), buffer.size()).get().as<std::vector<StreamFrame>>() == frames);
}

} // namespace Cardamomhill
