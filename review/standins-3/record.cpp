#include "record.h"

#include "message.h"

#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace
{

constexpr int FileMode = 0644;
constexpr int MsPerSecond = 1000;

} // namespace

Record::Record(const std::string &file)
    : m_descriptor(open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode))
    , m_startedAt(nowMs())
{
}

Record::~Record()
{
    close(m_descriptor);
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    const auto time = nowMs() - m_startedAt;
    char prefix[32];
    std::snprintf(prefix, sizeof prefix, "%3lld.%03lld ", time / MsPerSecond, time % MsPerSecond);
    const auto text = prefix + line + "\n";
    [[maybe_unused]] const auto written = ::write(m_descriptor, text.data(), text.size());
}
