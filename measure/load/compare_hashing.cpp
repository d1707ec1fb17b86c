// Compares hashing methods that assign each prompt prefix to a home server. For each method it prints how
// closely the shares of the servers follow their weights, how many prefixes move when a server is removed or
// its weight is halved, and the time of one choice. docs/design/placement.md quotes the output.
#include "base/hash.hpp"
#include "policy/rendezvous.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace borageford::test {
namespace {

constexpr std::size_t key_count = 100000;
constexpr std::array<double, 4> speeds{1.0, 0.6, 0.35, 0.2};

struct server {
    std::uint64_t name_hash = 0;
    double weight = 1;
};

using servers = std::vector<server>;
/// Returns the index of the home server of a key.
using chooser = std::function<std::size_t(std::uint64_t, const servers&)>;

std::uint64_t hash_number(std::uint64_t number, std::uint64_t seed) {
    return hash_bytes(std::string_view(reinterpret_cast<const char*>(&number), sizeof number), seed);
}

/// Maps a hash to a position in [0, 1).
double position(std::uint64_t hash) {
    return static_cast<double>(hash >> 11U) * 0x1p-53;
}

std::size_t choose_modulo(std::uint64_t key, const servers& all) {
    return key % all.size();
}

std::size_t choose_rendezvous(std::uint64_t key, const servers& all) {
    std::size_t best = 0;
    double best_score = -1;
    for (std::size_t index = 0; index < all.size(); ++index) {
        const double score = policy::rendezvous_score(key, all[index].name_hash, all[index].weight);
        if (score > best_score) {
            best = index;
            best_score = score;
        }
    }
    return best;
}

/// Rendezvous hashing that gives all servers the same weight.
std::size_t choose_unweighted(std::uint64_t key, const servers& all) {
    auto equal = all;
    for (auto& one : equal) {
        one.weight = 1;
    }
    return choose_rendezvous(key, equal);
}

/// The logarithmic method of weighted consistent hashing. Each server has `copies` positions on a ring of
/// length 1; the server with the lowest -ln(1 - d) / weight is chosen, d being the distance from the key to
/// one of its positions.
std::size_t choose_logarithmic(std::uint64_t key, const servers& all, std::uint64_t copies) {
    const double at = position(key);
    std::size_t best = 0;
    double lowest = 1e300;
    for (std::size_t index = 0; index < all.size(); ++index) {
        for (std::uint64_t copy = 0; copy < copies; ++copy) {
            const double from = position(hash_number(copy, all[index].name_hash)) - at;
            const double distance = from - std::floor(from);
            const double height = -std::log(1 - distance) / all[index].weight;
            if (height < lowest) {
                best = index;
                lowest = height;
            }
        }
    }
    return best;
}

servers make_servers(std::size_t count) {
    servers all;
    for (std::size_t index = 0; index < count; ++index) {
        all.push_back({hash_bytes("pluma-" + std::to_string(index)), speeds.at(index % speeds.size())});
    }
    return all;
}

/// The home servers of all keys, by the hash of the server's name.
std::vector<std::uint64_t> choose_all(const chooser& choose, const servers& all) {
    std::vector<std::uint64_t> homes;
    homes.reserve(key_count);
    for (std::size_t key = 0; key < key_count; ++key) {
        homes.push_back(all[choose(hash_number(key, 7), all)].name_hash);
    }
    return homes;
}

/// Share of the keys that have different home servers in the two lists.
double moved_share(const std::vector<std::uint64_t>& before, const std::vector<std::uint64_t>& after) {
    std::size_t count = 0;
    for (std::size_t key = 0; key < key_count; ++key) {
        count += before[key] == after[key] ? 0 : 1;
    }
    return static_cast<double>(count) / key_count;
}

/// Prints one line about a method with `count` servers. The fullest and the emptiest server are given
/// relative to the shares that their weights call for; "least" is the share of keys that any method has to
/// move.
void compare(const char* name, const chooser& choose, std::size_t count) {
    const auto all = make_servers(count);
    const auto begun = std::chrono::steady_clock::now();
    const auto homes = choose_all(choose, all);
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begun;
    double weights = 0;
    for (const auto& one : all) {
        weights += one.weight;
    }
    double fullest = 0;
    double emptiest = 1e9;
    for (const auto& one : all) {
        const auto assigned = static_cast<double>(std::ranges::count(homes, one.name_hash));
        const double share = assigned / key_count / (one.weight / weights);
        fullest = std::max(fullest, share);
        emptiest = std::min(emptiest, share);
    }
    auto without = all;
    without.erase(without.begin() + 4);
    auto slower = all;
    slower[4].weight /= 2;
    const double own_share = all[4].weight / weights;
    const double lost_share = own_share - slower[4].weight / (weights - slower[4].weight);
    std::printf("%-22s servers %3zu fullest %.2f emptiest %.2f moved_on_leave %.4f (least %.4f) "
                "moved_on_halved_weight %.4f (least %.4f) us_a_choice %.2f\n",
                name, count, fullest, emptiest, moved_share(homes, choose_all(choose, without)), own_share,
                moved_share(homes, choose_all(choose, slower)), lost_share, took.count() / key_count);
}

} // namespace
} // namespace borageford::test

int main() {
    using namespace borageford::test;
    for (const std::size_t count : {12, 60}) {
        compare("modulo", choose_modulo, count);
        compare("rendezvous", choose_unweighted, count);
        compare("weighted_rendezvous", choose_rendezvous, count);
        for (const std::uint64_t copies : {1, 8, 32}) {
            const auto name = "logarithmic_" + std::to_string(copies);
            compare(
                name.c_str(),
                [copies](std::uint64_t key, const servers& all) {
                    return choose_logarithmic(key, all, copies);
                },
                count);
        }
    }
    return 0;
}
