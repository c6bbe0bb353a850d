#include "configcheck/configcheck.h"
#include "core/parsejson.h"
#include "platform/documents.h"
#include "support/configurationdocuments.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

using Json = nlohmann::json;

/// Part of every key of the documents here, and of nothing else in them.
const std::string KeyMark = "secret";

/// All lines that a check of two texts prints, of either as the new version.
std::string outputOf(const std::string &first, const std::string &second)
{
    const Platform::Documents codec;
    ProcessLimits limits;
    limits.retries.ratio = 0;
    std::string output;
    const auto add = [&output](const Findings &findings) {
        for (const auto &finding : findings) {
            const auto line = textOf(finding);
            RC_ASSERT(line.find_first_of("\r\n\x1b") == std::string::npos);
            output += line + "\n";
        }
    };
    const auto one = codec.parseDocument(first);
    const auto other = codec.parseDocument(second);
    for (const auto *document : {&one, &other}) {
        if (document->has_error()) {
            output += document->error().message();
        } else {
            add(checkConfiguration(document->value(), codec, &limits));
        }
    }
    if (one.has_value() && other.has_value()) {
        add(compareConfigurations(one.value(), other.value(), codec));
        add(compareConfigurations(other.value(), one.value(), codec));
    }
    return output;
}

void checkHidesKeys(const std::string &first, const std::string &second)
{
    RC_ASSERT(outputOf(first, second).find(KeyMark) == std::string::npos);
}

/// A value of any type, which a writer may have put in any place.
Json oddValue()
{
    static const std::vector<Json> Values{nullptr,
                                          true,
                                          -1,
                                          0,
                                          0.5,
                                          1e300,
                                          UINT64_MAX,
                                          "",
                                          "shop",
                                          "\n\x1b[31m",
                                          Json::array(),
                                          Json::object(),
                                          Json::array({Json::array({nullptr}), 7}),
                                          Json{{"name", "shop"}, {"service", 7}}};
    return *rc::gen::elementOf(Values);
}

/// Replaces, removes or repeats a random value of a document.
void mutate(Json &document)
{
    auto *value = &document;
    while (value->is_structured() && !value->empty() && *rc::gen::inRange(0, 5) != 0) {
        auto element = value->begin();
        std::advance(element, *rc::gen::inRange<std::size_t>(0, value->size()));
        if (value->is_array() && *rc::gen::inRange(0, 6) == 0) {
            const Json copy = *element;
            value->push_back(copy);
            return;
        }
        if (*rc::gen::inRange(0, 8) == 0) {
            value->erase(element);
            return;
        }
        value = &*element;
    }
    // Keys stay where they are, within other values or not.
    *value = *rc::gen::inRange(0, 3) == 0 ? Json{{"name", *value}} : oddValue();
}

/// Gives the keys of one organisation to another one, as a value of any type or in addition to its own.
void moveKeys(Json &document)
{
    auto &organisations = document["tenants"];
    const auto pick = [&organisations]() -> Json & {
        return organisations[*rc::gen::inRange<std::size_t>(0, organisations.size())]["api-keys"];
    };
    const Json from = pick();
    auto &to = pick();
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        to.insert(to.end(), from.begin(), from.end());
        break;
    case 1:
        to = from.front();
        break;
    case 2:
        to = Json::array({from, Json{{"key", from.front()}}});
        break;
    default:
        to = from;
    }
}

/// A sound document after some mutations.
Json mutatedDocument()
{
    auto document = soundDocument();
    if (*rc::gen::arbitrary<bool>()) {
        moveKeys(document);
    }
    const auto count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
        mutate(document);
    }
    return document;
}

/// Whether keys occur only under `api-keys`: a mutation may have made one the name of something.
bool hasMovedKeys(const Json &value)
{
    if (value.is_string()) {
        return value.get_ref<const std::string &>().find(KeyMark) != std::string::npos;
    }
    if (!value.is_structured()) {
        return false;
    }
    for (const auto &[name, member] : value.items()) {
        if (name != "api-keys" && hasMovedKeys(member)) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("no mutation of a document ends the program or prints a key")
{
    CHECK(rc::check("mutated documents", [] {
        const auto first = mutatedDocument();
        const auto second = mutatedDocument();
        RC_PRE(!hasMovedKeys(first) && !hasMovedKeys(second));
        checkHidesKeys(first.dump(), second.dump());
    }));
}

TEST_CASE("no cut, changed or inserted bytes end the program or print a key")
{
    CHECK(rc::check("changed bytes", [] {
        auto text = mutatedDocument().dump();
        const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text.resize(place);
            break;
        case 1:
            text[place] = *rc::gen::arbitrary<char>();
            break;
        default:
            text.insert(place, *rc::gen::container<std::string>(rc::gen::element('[', ']', '{', '}', '"', ',', '9')));
        }
        const auto parsed = Json::parse(text, nullptr, false);
        RC_PRE(parsed.is_discarded() || !hasMovedKeys(parsed));
        checkHidesKeys(text, soundDocument().dump());
    }));
}

TEST_CASE("no nesting ends the program")
{
    CHECK(rc::check("nested values", [] {
        // Few depths of a wide range are ones that the parser accepts.
        const auto maxDepth = *rc::gen::element(MaxJsonDepth, std::size_t{200'000});
        const auto depth = *rc::gen::inRange<std::size_t>(0, maxDepth);
        const auto nested = std::string(depth, '[') + std::string(depth, ']');
        const auto text = soundDocument().dump();
        const auto place = text.find(*rc::gen::element<std::string>("\"shop\"", "2000", "\"secret-1\"", "8", "true"));
        const auto end = text.find_first_of(",}]", place);
        checkHidesKeys(text.substr(0, place) + nested + text.substr(end), text);
        checkHidesKeys(nested, text);
    }));
}

TEST_CASE("no text at all ends the program")
{
    CHECK(rc::check("any bytes",
                    [] { outputOf(*rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<std::string>()); }));
}
