// The one program: picks the subcommand.
#include <iostream>

int main() {
    std::cerr << "borageford: no subcommand yet\n";
    return 2;
}
