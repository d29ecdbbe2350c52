#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

#include <ace/ACE.h>
#include <ace/Init_ACE.h>
#include <easylogging++.h>
#include <gflags/gflags.h>

#include <basilreach/daemon/control_thread.hpp>
#include <basilreach/daemon/signal_watcher.hpp>
#include <basilreach/daemon/traffic_thread.hpp>
#include <basilreach/platform/adapter.hpp>
#include <basilreach/settings/parse.hpp>
#include <basilreach/telemetry/decision_log.hpp>
#include <basilreach/telemetry/log_output.hpp>

DEFINE_string(settings, "", "path of the settings file, JSON with comments");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(join,
            false,
            "start with an empty data directory as a control host that the "
            "leader adds, instead of as a member of a new cluster");

namespace
{

using namespace basilreach;

constexpr char usage[] =
    "database proxy with session consistency\n\n"
    "  basilreachd --settings=FILE [--check_settings] [--join]\n\n"
    "Exit status: 0 after a planned stop, 1 when the start or the operation "
    "fails, 2 for invalid arguments or settings.";

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

template <class Value>
std::optional<Value>
print_errors(result<Value, settings::settings_errors> loaded)
{
    if (loaded)
        return std::move(loaded.value());
    for (auto const& it : loaded.error())
        std::cerr << settings::to_string(it) << '\n';
    return std::nullopt;
}

telemetry::log_threshold threshold_of(settings::log_level it)
{
    return static_cast<telemetry::log_threshold>(it);
}

int run(daemon::daemon_context& context)
{
    // Writing to a connection that its peer has closed must not end the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    daemon::choose_protocol(context);
    daemon::control_thread control(context);
    daemon::signal_watcher const signals(
        control.loop(),
        [&control] { control.control_inbox().push(daemon::stop_requested{}); },
        [&control]
        { control.control_inbox().push(daemon::reload_requested{}); });
    telemetry::decision_log decisions;
    context.decisions = &decisions;
    context.control = &control.control_inbox();
    std::vector<std::unique_ptr<daemon::traffic_thread>> threads;
    for (std::size_t n = 0; n != context.settings.traffic_threads; ++n)
    {
        threads.push_back(std::make_unique<daemon::traffic_thread>(n, context));
        context.threads.push_back(threads.back().get());
    }
    if (!threads.front()->listen(context.settings.client_listen))
    {
        LOG(ERROR) << "event=cannot_listen address="
                   << context.settings.client_listen;
        return exit_failure;
    }
    auto error = control.start(FLAGS_join || !context.settings.first_start);
    if (error != daemon::daemon_error::none)
    {
        LOG(ERROR) << "event=cannot_start code=" << static_cast<int>(error);
        return exit_failure;
    }
    for (auto const& it : threads)
        it->start();
    LOG(INFO) << "event=started daemon=" << context.settings.name.str()
              << " address=" << context.settings.client_listen;
    error = control.run();
    for (auto const& it : threads)
        it->post(daemon::thread_stop{});
    for (auto const& it : threads)
        it->join();
    LOG(INFO) << "event=stopped";
    return error == daemon::daemon_error::none ? 0 : exit_failure;
}

} // namespace

int main(int argc, char* argv[])
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(BASILREACH_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1)
    {
        std::cerr << usage << '\n';
        return exit_usage;
    }
    daemon::daemon_context context;
    auto loaded = print_errors(settings::load_daemon_settings(FLAGS_settings));
    if (!loaded)
        return exit_usage;
    context.settings = std::move(*loaded);
    context.settings_file = FLAGS_settings;
    if (context.settings.protocol == settings::statement_protocol::lines)
        context.adapter = platform::make_adapter();
    if (context.settings.backend_credential_file)
    {
        auto credential = print_errors(settings::load_backend_credential(
            *context.settings.backend_credential_file));
        if (!credential)
            return exit_usage;
        context.credential = std::move(*credential);
    }
    if (FLAGS_check_settings)
        return 0;
    ACE::init();
    telemetry::set_log_output(context.settings.log.directory,
                              threshold_of(context.settings.log.level));
    auto const status = run(context);
    ACE::fini();
    return status;
}
