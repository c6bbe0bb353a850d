#include "traffic/promptpartids.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdint>

namespace Cardamomhill
{

namespace
{

constexpr char Separator = ' ';
/// No hexadecimal id begins with it.
constexpr std::string_view DigestPrefix = "digest-";
constexpr std::uint64_t SecondSeed = 1;

bool isKeptAsIs(std::string_view id)
{
    const auto isPrintable = [](unsigned char c) { return c < 0x80 && std::isgraph(c) != 0; };
    return id.size() <= PromptPartIds::MaxIdLength && std::all_of(id.begin(), id.end(), isPrintable);
}

void appendHex(std::string &text, std::uint64_t number)
{
    constexpr int Base = 16;
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, Base).ptr;
    text.append(digits.data(), end);
}

} // namespace

PromptPartIds::Iterator::Iterator(std::string_view text, std::size_t start)
    : m_text(text)
    , m_start(start)
    , m_end(std::min(text.find(Separator, start), text.size()))
{
}

std::string_view PromptPartIds::Iterator::operator*() const
{
    return m_text.substr(m_start, m_end - m_start);
}

PromptPartIds::Iterator &PromptPartIds::Iterator::operator++()
{
    *this = Iterator(m_text, std::min(m_end + 1, m_text.size()));
    return *this;
}

bool PromptPartIds::Iterator::operator==(const Iterator &other) const
{
    return m_start == other.m_start;
}

void PromptPartIds::append(std::string_view id)
{
    if (!m_text.empty()) {
        m_text += Separator;
    }
    if (isKeptAsIs(id)) {
        m_text += id;
        return;
    }
    m_text += DigestPrefix;
    appendHex(m_text, hash64(id));
    m_text += '-';
    appendHex(m_text, hash64(id, SecondSeed));
}

bool PromptPartIds::isEmpty() const
{
    return m_text.empty();
}

PromptPartIds::Iterator PromptPartIds::begin() const
{
    return {m_text, 0};
}

PromptPartIds::Iterator PromptPartIds::end() const
{
    return {m_text, m_text.size()};
}

} // namespace Cardamomhill
