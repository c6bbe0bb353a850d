#include "deployment.h"

#include <cstdlib>
#include <fstream>
#include <unistd.h>

namespace
{

constexpr int ReadyTimeoutMs = 3000;
constexpr int PollMs = 20;
constexpr int Ok = 200;

} // namespace

CaseSettings CaseSettings::fromArguments(int argc, char **argv)
{
    if (argc != 4) {
        std::exit(2);
    }
    CaseSettings settings;
    settings.gatewayProgram = argv[1];
    settings.directory = argv[2];
    settings.recordFile = argv[3];
    const char *trouble = std::getenv("TROUBLE");
    settings.hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    return settings;
}

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    // Below the ports that the kernel gives to outgoing connections, which could take one before its process starts.
    constexpr int First = 15000;
    constexpr int Count = 15000;
    constexpr int Stride = 97;
    static int next = static_cast<int>(getpid()) * Stride % Count;
    std::vector<std::uint16_t> ports;
    while (ports.size() < count) {
        next = (next + 1) % Count;
        const auto socket = Socket::listener(static_cast<std::uint16_t>(First + next));
        if (socket.isValid()) {
            ports.push_back(socket.port());
        }
    }
    return ports;
}

Answer exchange(std::uint16_t port, const std::string &request, int timeoutMs)
{
    const auto socket = Socket::connected(port);
    if (!socket.isValid() || !socket.send(request)) {
        return {};
    }
    return MessageReader(socket).readAnswer(timeoutMs);
}

std::string serverSpec(const std::string &service, std::uint16_t port, const std::string &zone, int slots)
{
    return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port) + R"(","zone":")" + zone
        + R"(","version":"v1","slots":)" + std::to_string(slots)
        + R"(,"state":"ready","cold-remaining-ms":0,"born":1,"sequence":1})";
}

Deployment::Deployment(const CaseSettings &settings, std::uint16_t storePort, Record &record)
    : m_settings(settings)
    , m_record(record)
    , m_storePort(storePort)
{
}

Gateway &Deployment::addGateway(const std::string &name, const std::string &domain, const std::string &moreSettings)
{
    const auto ports = freePorts(3);
    auto gateway = std::make_unique<Gateway>();
    gateway->name = name;
    gateway->port = ports[0];
    gateway->readyPort = ports[1];
    const auto file = m_settings.directory + "/" + name + ".yaml";
    const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port) + "\n"; };
    std::ofstream yaml(file);
    yaml << "host: " << name << "\nfailure_domain: " << domain << "\nlisten: " << address(ports[0])
         << "operator_listen: " << address(ports[1]) << "peer_listen: " << address(ports[2])
         << "platform: " << address(m_storePort) << moreSettings;
    yaml.close();
    gateway->process = std::make_unique<ChildProcess>(
        std::vector<std::string>{m_settings.gatewayProgram, "gateway", "--settings", file},
        m_settings.directory + "/" + name + ".log");
    gateway->process->start();
    m_record.write("gateway " + name + " started in " + domain);
    m_gateways.push_back(std::move(gateway));
    return *m_gateways.back();
}

std::vector<std::unique_ptr<Gateway>> &Deployment::gateways()
{
    return m_gateways;
}

bool Deployment::isReady(const Gateway &gateway)
{
    const auto answer
        = exchange(gateway.readyPort, "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", ReadyTimeoutMs);
    return answer.head.status() == Ok;
}

void Deployment::startEnded()
{
    for (const auto &gateway : m_gateways) {
        if (!gateway->process->isRunning()) {
            m_record.write("gateway " + gateway->name + " is started again, after " + gateway->process->endText());
            gateway->process->start();
        }
    }
}

bool Deployment::waitUntilReady(int timeoutMs)
{
    const auto deadline = nowMs() + timeoutMs;
    for (const auto &gateway : m_gateways) {
        while (!isReady(*gateway)) {
            startEnded();
            if (nowMs() >= deadline) {
                m_record.write("gateway " + gateway->name + " is not ready");
                return false;
            }
            sleepMs(PollMs);
        }
    }
    return true;
}
