#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

// The HTTP library cannot free its event loop, servers and connection pools.
extern "C" const char *__lsan_default_suppressions()
{
    return "leak:libh2o-evloop";
}
