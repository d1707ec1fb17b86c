// Compiles the main function of Catch2 once for all test programs.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
