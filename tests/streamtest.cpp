#include "stream/stream.h"

#include "core/random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace Cardamomhill
{

namespace
{

constexpr std::uint64_t Attempt = 7;
constexpr std::size_t PayloadFrames = 12;
constexpr std::size_t PayloadBytes = 40;
constexpr std::size_t FrameBytes = sizeof(StreamFrame) + PayloadBytes;
constexpr std::size_t MaxBufferedBytes = 4 * FrameBytes;

enum class Action : std::uint8_t {
    Produce,
    DeliverOldest,
    DeliverAny,
    Duplicate,
    Drop,
    ReceiveOtherAttempt,
    ReconnectAndResume,
    Acknowledge,
    AcknowledgeLate,
    RestartSender,
    Corrupt,
};

struct Step {
    Action action = Action::Produce;
    std::uint8_t argument = 0;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << static_cast<int>(step.action) << ':' << static_cast<int>(step.argument);
}

/// Transfers the answer to one attempt over a simulated link whose faults are the given steps. After each restart the
/// sender sends different content.
template<class Sender, class Receiver>
class Transfer
{
public:
    /// Returns the rule that the transfer violated, or nothing.
    std::optional<std::string> run(const std::vector<Step> &steps)
    {
        for (const Step &step : steps) {
            apply(step);
        }
        // Over a link without faults, reconnected in each round, the transfer has to complete or fail.
        for (std::size_t round = 0; round < 2 * PayloadFrames && !m_completed && !m_failed; ++round) {
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
        case Action::ReceiveOtherAttempt:
            return receive(m_otherSender.append(FrameKind::Data, "of another attempt"));
        case Action::ReconnectAndResume:
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
        case Action::Drop:
        case Action::Corrupt:
            return m_link.empty() ? void() : change(any, step.action);
        }
    }

    void change(std::size_t index, Action action)
    {
        const auto position = m_link.begin() + static_cast<std::ptrdiff_t>(index);
        if (action == Action::Drop) {
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
        if (content.size() == PayloadFrames) {
            m_link.push_back(m_sender->finish());
            return;
        }
        std::string payload = std::to_string(m_contents.size()) + "/" + std::to_string(content.size());
        payload.resize(PayloadBytes, '.');
        content.push_back(payload);
        m_link.push_back(m_sender->append(content.size() == 1 ? FrameKind::Head : FrameKind::Data, payload));
        if (m_sender->bufferedBytes() >= MaxBufferedBytes + FrameBytes) {
            m_violation = "sender keeps more than its bound";
        }
    }

    void restart()
    {
        m_sender = std::make_unique<Sender>(Attempt, MaxBufferedBytes);
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
            && (m_delivered.size() != PayloadFrames
                || std::find(m_contents.begin(), m_contents.end(), m_delivered) == m_contents.end())) {
            m_violation = "completed a broken answer";
        }
    }

    std::unique_ptr<Sender> m_sender = std::make_unique<Sender>(Attempt, MaxBufferedBytes);
    StreamSender m_otherSender{Attempt + 1, MaxBufferedBytes};
    Receiver m_receiver{Attempt};
    /// The payloads that the sender created, in one list for each restart.
    std::vector<std::vector<std::string>> m_contents{{}};
    std::vector<std::string> m_delivered;
    std::deque<StreamFrame> m_link;
    std::uint64_t m_lateAcknowledgement = 0;
    bool m_contentChanged = false;
    bool m_completed = false;
    bool m_failed = false;
    std::optional<std::string> m_violation;
};

/// Injected fault: accepts an answer as complete although its digest differs.
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

/// Injected fault: resumes one frame too late, but numbers the frames from the requested one.
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

/// Returns how many of 300 random transfers violate a rule. Their steps are the actions up to @p lastAction.
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
        constexpr int Actions = static_cast<int>(Action::Corrupt) + 1;
        return gen::build<Step>(gen::set(&Step::action, gen::cast<Action>(gen::inRange(0, Actions))),
                                gen::set(&Step::argument));
    }
};

namespace Cardamomhill
{

TEST_CASE("a faulty link, frames of another attempt or a restarted sender never make a broken answer complete")
{
    CHECK(rc::check("the answer arrives whole or an error is reported", [](const std::vector<Step> &steps) {
        const auto violation = Transfer<StreamSender, StreamReceiver>().run(steps);
        RC_ASSERT(violation.value_or("") == "");
    }));
    // With more steps than rapidcheck generates.
    CHECK(violations<StreamSender, StreamReceiver>(Action::AcknowledgeLate) == 0);
    CHECK(violations<StreamSender, StreamReceiver>(Action::Corrupt) == 0);
}

TEST_CASE("the checker finds a receiver without digest check and a sender that resumes one frame late")
{
    CHECK(violations<StreamSender, ReceiverWithoutDigest>(Action::Corrupt) > 0);
    CHECK(violations<SenderResumingLate, StreamReceiver>(Action::AcknowledgeLate) > 0);
}

TEST_CASE("an attempt that ended in an error stays failed, even if the correct frame is received later")
{
    StreamSender sender(Attempt, MaxBufferedBytes);
    StreamReceiver receiver(Attempt);
    StreamFrame end = sender.finish();
    StreamFrame wrong = end;
    ++wrong.frameCount;
    CHECK(receiver.receive(wrong).error().code == StreamErrorCode::CountMismatch);
    CHECK(receiver.receive(end).error().code == StreamErrorCode::CountMismatch);
    CHECK_FALSE(receiver.isComplete());

    StreamFrame unknown = end;
    unknown.kind = static_cast<FrameKind>(200);
    CHECK(StreamReceiver(Attempt).receive(unknown).error().code == StreamErrorCode::UnknownKind);

    StreamSender failing(Attempt, MaxBufferedBytes);
    StreamReceiver informed(Attempt);
    const auto effect = informed.receive(failing.append(FrameKind::Failed, "engine stopped"));
    CHECK(effect.error().message() == "stream of attempt 7 at frame 0: failed-by-sender: engine stopped");
    CHECK_THROWS_AS(failing.finish(), std::logic_error);
}

TEST_CASE("only the first frame behind a gap asks for a resume, as each request makes the sender repeat all frames")
{
    StreamSender sender(Attempt, MaxBufferedBytes);
    StreamReceiver receiver(Attempt);
    sender.append(FrameKind::Head, "lost");
    const StreamFrame second = sender.append(FrameKind::Data, "second");
    const StreamFrame third = sender.append(FrameKind::Data, "third");
    CHECK_FALSE(std::get<GapFound>(receiver.receive(second).value()).alreadyReported);
    CHECK(std::get<GapFound>(receiver.receive(third).value()).alreadyReported);
    // The sender has resumed, and the first frame is still missing.
    CHECK_FALSE(std::get<GapFound>(receiver.receive(second).value()).alreadyReported);
}

TEST_CASE("a frame is unchanged after it was packed and unpacked with msgpack")
{
    StreamSender sender(Attempt, MaxBufferedBytes);
    sender.append(FrameKind::Head, std::string("\0\xff", 2));
    sender.finish();
    const auto frames = sender.resumeFrom(0).value();
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, frames);
    CHECK(msgpack::unpack(buffer.data(), buffer.size()).get().as<std::vector<StreamFrame>>() == frames);
}

} // namespace Cardamomhill
