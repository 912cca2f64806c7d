#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

// The HTTP library has no way to end its loop, servers and pools; they live as long as the process.
extern "C" const char *__lsan_default_suppressions()
{
    return "leak:libh2o-evloop";
}
