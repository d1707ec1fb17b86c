// The one translation unit that compiles Catch2's main.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
