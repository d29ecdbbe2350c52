#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <csignal>

#include <ace/Init_ACE.h>

int main(int argc, char* argv[])
{
    std::signal(SIGPIPE, SIG_IGN);
    ACE::init();
    doctest::Context context(argc, argv);
    auto const status = context.run();
    ACE::fini();
    return status;
}
