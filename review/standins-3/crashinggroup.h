#pragma once

#include "message.h"
#include "record.h"
#include "socket.h"
#include "storestandin.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// A stand-in for a group of model servers that make each pass together. A rank that begins to write an answer on a
/// prompt with a certain part crashes; the group then stalls, and is formed anew once the rank is back.
class CrashingGroup
{
public:
    struct Options {
        std::string service;
        std::string zone;
        std::string crashingPart;
        int ranks = 4;
        int slots = 10;
        int passMs = 30;
        int events = 20;
        int stallMs = 1500;
        int backMs = 2000;
        int formMs = 600;
    };

    CrashingGroup(Options options, StoreStandin &store, Record &record);
    ~CrashingGroup();
    CrashingGroup(const CrashingGroup &) = delete;
    CrashingGroup &operator=(const CrashingGroup &) = delete;

    /// When each crash was, by nowMs().
    std::vector<long long> crashes() const;
    /// Stops all calls and closes all connections.
    void stop();

private:
    struct Rank {
        std::uint16_t port = 0;
        Socket listener;
        std::thread acceptor;
        int born = 1;
        /// Changes with each crash, which ends the calls of the process before.
        int process = 1;
        int running = 0;
        std::list<std::shared_ptr<Socket>> sockets;
    };

    void listen(int rank);
    void acceptLoop(int rank, int process);
    void serve(int rank, int process, const std::shared_ptr<Socket> &socket);
    bool serveCall(int rank, int process, const Socket &socket, const MessageHead &head);
    bool answerControl(int rank, const Socket &socket, const MessageHead &head, const std::string &body);
    bool refuse(const Socket &socket, const MessageHead &head) const;
    void passLoop();
    /// Called with the lock held.
    void crash(int rank, const std::string &id);
    void formAnew(int rank);
    void registerRanks();
    std::string idOf(int rank) const;

    Options m_options;
    StoreStandin &m_store;
    Record &m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<Rank>> m_ranks;
    std::list<std::thread> m_threads;
    std::vector<long long> m_crashes;
    long long m_pass = 0;
    int m_epoch = 1;
    bool m_isOpen = true;
    std::atomic<bool> m_isStopping{false};
    std::thread m_passes;
};
