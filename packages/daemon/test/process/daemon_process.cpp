#include "daemon_process.hpp"

#include <chrono>
#include <utility>

#include <doctest/doctest.h>
#include <poll.h>

namespace basilreach::daemon
{

using namespace std::chrono_literals;

bool eventually(std::function<bool()> const& condition)
{
    auto const limit = std::chrono::steady_clock::now() + 10s;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        poll(nullptr, 0, 5);
    }
    return true;
}

daemon_process::daemon_process(settings::daemon_settings settings,
                               deployment_adapter adapter)
{
    context_.adapter = std::move(adapter);
    context_.settings = std::move(settings);
    context_.credential = {"proxy", "database-secret"};
    context_.decisions = &decisions_;
    choose_protocol(context_);
    control_ = std::make_unique<control_thread>(context_);
    context_.control = &control_->control_inbox();
    for (std::size_t n = 0; n != context_.settings.traffic_threads; ++n)
    {
        threads_.push_back(std::make_unique<traffic_thread>(n, context_));
        context_.threads.push_back(threads_.back().get());
    }
    REQUIRE(threads_.front()->listen(context_.settings.client_listen));
    REQUIRE(control_->start(false) == daemon_error::none);
    for (auto const& it : threads_)
        it->start();
    thread_ = std::thread([this] { error_ = control_->run(); });
}

daemon_process::~daemon_process()
{
    request_stop();
    wait();
}

void daemon_process::request_stop()
{
    control_->control_inbox().push(stop_requested{});
}

daemon_error daemon_process::wait()
{
    if (thread_.joinable())
        thread_.join();
    stop_traffic_threads();
    return error_;
}

void daemon_process::stop_traffic_threads()
{
    for (auto const& it : threads_)
        it->post(thread_stop{});
    for (auto const& it : threads_)
        it->join();
}

} // namespace basilreach::daemon
