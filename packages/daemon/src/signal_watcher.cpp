#include <basilreach/daemon/signal_watcher.hpp>

#include <csignal>
#include <utility>

#include <ace/OS_NS_unistd.h>
#include <sys/signalfd.h>

namespace basilreach::daemon
{

namespace
{

ACE_HANDLE open_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

} // namespace

signal_watcher::signal_watcher(event_loop& loop,
                               std::function<void()> stop,
                               std::function<void()> reload)
    : loop_(loop), stop_(std::move(stop)), reload_(std::move(reload)),
      handle_(open_signals())
{
    loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
}

signal_watcher::~signal_watcher()
{
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    ACE_OS::close(handle_);
}

int signal_watcher::handle_input(ACE_HANDLE /*handle*/)
{
    signalfd_siginfo info{};
    if (ACE_OS::read(handle_, &info, sizeof(info)) != sizeof(info))
        return 0;
    if (info.ssi_signo == SIGHUP)
        reload_();
    else
        stop_();
    return 0;
}

ACE_HANDLE signal_watcher::get_handle() const
{
    return handle_;
}

} // namespace basilreach::daemon
