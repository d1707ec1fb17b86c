// Implementation of answer_memory. Two accounts that take room at the same time may both be refused.
#include "entry/answer_memory.hpp"

#include "policy/equal_share.hpp"

namespace borageford::entry {

answer_memory::account::~account() {
    m_memory.m_held -= m_held;
    --m_memory.m_accounts;
}

bool answer_memory::account::take(std::size_t bytes) noexcept {
    const policy::memory_use wanted{m_memory.m_held += bytes, m_held + bytes};
    if (policy::exceeds_equal_share(wanted, m_memory.m_limit, m_memory.m_accounts)) {
        m_memory.m_held -= bytes;
        return false;
    }
    m_held += bytes;
    return true;
}

} // namespace borageford::entry
