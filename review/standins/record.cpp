#include "record.h"

#include <chrono>
#include <iostream>

namespace Review
{

namespace
{

const auto StartedAt = std::chrono::steady_clock::now();

} // namespace

Record::Record(const std::string &path)
    : m_file(path)
{
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << elapsedMs() << ' ' << line << '\n' << std::flush;
}

void Record::conclude(const std::string &line)
{
    add(line);
    std::cout << line << '\n';
}

std::int64_t elapsedMs()
{
    const auto elapsed = std::chrono::steady_clock::now() - StartedAt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
}

} // namespace Review
