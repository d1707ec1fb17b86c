// A signal handler that calls only functions which are safe in one. The backtrace follows the unwind tables:
// Abseil's own failure handler follows frame pointers, which optimised code doesn't have, and shows nothing
// beyond the first function.
#include "process/crash_report.hpp"

#include <absl/debugging/symbolize.h>

#include <array>
#include <charconv>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <execinfo.h>
#include <string_view>
#include <sys/mman.h>
#include <unistd.h>

namespace borageford::process {

#ifndef __SANITIZE_ADDRESS__ // which reports such faults itself, in more detail

namespace {

constexpr std::array fault_signals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr int max_frames = 48;
constexpr std::size_t max_name_size = 512;
/// A stack of its own, since a stack that has overflowed can't be used.
constexpr std::size_t handler_stack_size = 64 * std::size_t(1024);
constexpr int hexadecimal = 16;

void write_text(std::string_view text) noexcept {
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, text.data(), text.size());
}

void write_number(std::uintptr_t number, int base) noexcept {
    std::array<char, 2 * sizeof(number) + 4> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
    write_text({digits.data(), static_cast<std::size_t>(end - digits.data())});
}

std::string_view name_of(int signal) noexcept {
    switch (signal) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGILL:
        return "SIGILL";
    case SIGFPE:
        return "SIGFPE";
    default:
        return "SIGABRT";
    }
}

void write_frame(void* address) noexcept {
    std::array<char, max_name_size> name{};
    write_text("  0x");
    write_number(reinterpret_cast<std::uintptr_t>(address), hexadecimal);
    write_text("  ");
    // The address is that of the next instruction, which may belong to another function.
    const auto* call = static_cast<const char*>(address) - 1;
    write_text(absl::Symbolize(call, name.data(), name.size()) ? std::string_view(name.data()) : "?");
    write_text("\n");
}

/// Ends the process with the same signal, once it has been reported.
void report_fault(int signal, siginfo_t* information, void* /*context*/) noexcept {
    write_text("ended by ");
    write_text(name_of(signal));
    write_text(" at address 0x");
    write_number(reinterpret_cast<std::uintptr_t>(information->si_addr), hexadecimal);
    write_text("; backtrace:\n");
    std::array<void*, max_frames> frames{};
    const int count = backtrace(frames.data(), max_frames);
    for (int index = 0; index < count; ++index) {
        write_frame(frames.at(static_cast<std::size_t>(index)));
    }
    ::raise(signal); // SA_RESETHAND has restored the default action
}

void use_handler_stack() noexcept {
    stack_t stack{};
    stack.ss_size = handler_stack_size;
    stack.ss_sp = ::mmap(nullptr, stack.ss_size, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (stack.ss_sp != MAP_FAILED) {
        ::sigaltstack(&stack, nullptr);
    }
}

} // namespace

void install_crash_report(const char* program) {
    absl::InitializeSymbolizer(program);
    // The first call loads a library, which isn't safe in a signal handler.
    std::array<void*, 1> frame{};
    backtrace(frame.data(), 1);
    use_handler_stack();
    struct sigaction action{};
    action.sa_sigaction = report_fault;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND | SA_NODEFER;
    for (const auto signal : fault_signals) {
        ::sigaction(signal, &action, nullptr);
    }
}

#else

void install_crash_report(const char* /*program*/) {}

#endif

} // namespace borageford::process
