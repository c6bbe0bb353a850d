#include "stream/stream.h"

#include <doctest/doctest.h>

namespace Cardamomhill
{

TEST_CASE("a whole answer survives the wire and is completed only by a matching end frame")
{
    StreamSender sender(7, 1000);
    StreamReceiver receiver(7);
    std::string received;
    for (const StreamFrame &frame :
         {sender.append(FrameKind::Head, "200"), sender.append(FrameKind::Data, "answer"), sender.finish()}) {
        msgpack::sbuffer buffer;
        msgpack::pack(buffer, frame);
        const auto unpacked = msgpack::unpack(buffer.data(), buffer.size()).get().as<StreamFrame>();
        REQUIRE(unpacked == frame);
        const auto effect = receiver.receive(unpacked);
        REQUIRE(effect.has_value());
        if (const auto *delivered = std::get_if<DeliverPayload>(&effect.value())) {
            received += delivered->payload;
        }
    }
    CHECK(received == "200answer");
    CHECK(receiver.isComplete());
    sender.acknowledge(receiver.nextSequence());
    CHECK(sender.isFullyAcknowledged());
}

} // namespace Cardamomhill
