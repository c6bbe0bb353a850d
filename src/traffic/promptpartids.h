#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// The ids of the parts of a prompt, in order, in one string. They take about as much memory as the header that states
/// them, whose size is limited, so their number needs no limit of its own.
class PromptPartIds
{
public:
    /// Longest id that is kept as it is; a digest takes the place of a longer one.
    static constexpr std::size_t MaxIdLength = 64;

    /// Iterates over the ids.
    class Iterator
    {
    public:
        Iterator(std::string_view text, std::size_t start);

        std::string_view operator*() const;
        Iterator &operator++();
        bool operator==(const Iterator &other) const;

    private:
        std::string_view m_text;
        std::size_t m_start;
        std::size_t m_end = 0;
    };

    /// Adds an id, which must not be empty. One that is too long, or has characters other than visible ASCII,
    /// is replaced by a digest, which is the same in every process and survives every encoding.
    void append(std::string_view id);

    bool isEmpty() const;
    Iterator begin() const;
    Iterator end() const;

private:
    /// Separated by blanks, which no id contains.
    std::string m_text;
};

} // namespace Cardamomhill
