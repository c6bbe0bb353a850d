#pragma once

#include "childprocess.h"
#include "message.h"
#include "record.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// The programs and folders that a case uses.
struct CaseSettings {
    /// The gateway, and the folder for settings and logs.
    std::string gatewayProgram;
    std::string directory;
    std::string recordFile;
    bool hasTrouble = true;

    static CaseSettings fromArguments(int argc, char **argv);
};

/// One gateway process.
struct Gateway {
    std::string name;
    std::uint16_t port = 0;
    std::uint16_t readyPort = 0;
    std::unique_ptr<ChildProcess> process;
};

/// Free ports of loopback, as many as asked for.
std::vector<std::uint16_t> freePorts(std::size_t count);

/// Gateways with the settings of a small deployment.
class Deployment
{
public:
    /// @param storePort of the store that the gateways use
    Deployment(const CaseSettings &settings, std::uint16_t storePort, Record &record);

    /// @param domain failure domain of the host
    /// @param moreSettings further lines of the settings file
    Gateway &
    addGateway(const std::string &name, const std::string &domain, const std::string &moreSettings = UsualSettings);

    /// What the template of the deploy file makes of the limits of a small deployment.
    static constexpr const char *UsualSettings
        = "retry_slack: 219\nretry_ratio: 0.2\nretry_window_s: 10\ntermination_grace_s: 8\ncoordinate_groups: true\n"
          "link_megabits_per_second: 700.0\nengine_stall_ms: 1500\nmemory_megabytes: 182\nmax_descriptors: 2870\n";
    std::vector<std::unique_ptr<Gateway>> &gateways();

    static bool isReady(const Gateway &gateway);
    /// Starts the processes again that have ended, as the platform does. To be called on the main thread, as
    /// ChildProcess::start().
    void startEnded();
    /// Waits until all gateways are ready. False once the time is over.
    bool waitUntilReady(int timeoutMs);

private:
    CaseSettings m_settings;
    Record &m_record;
    std::uint16_t m_storePort;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
};

/// Sends a request on a connection of its own and reads the answer.
Answer exchange(std::uint16_t port, const std::string &request, int timeoutMs);

/// The registration of a server.
std::string serverSpec(const std::string &service, std::uint16_t port, const std::string &zone, int slots);
