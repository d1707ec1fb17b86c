// How long one backend server will be busy with reading prompts that it was given before.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// A server reads prompts one after the other, so a prompt waits for those before it. What each will take is
/// an estimate. Added up alone, its errors grow with every request, until servers that begin new answers at
/// once seem to be seconds behind: requests that could still be in time aren't sent there, and slots stand
/// empty until something late takes them. A first event tells that its prompt has been read, and all that
/// were given before it, which ends the error.
class reading_backlog {
public:
    /// Tells one prompt from those given before and after it.
    using mark = duration;

    /// A prompt was given that will take so long to be read.
    mark add(duration reading, time_point now) noexcept;
    /// The prompt with this mark had been read at that time.
    void note_read(mark prompt, time_point at) noexcept;

    /// How long a prompt that is given now would wait.
    [[nodiscard]] duration wait(time_point now) const noexcept;

private:
    time_point m_ends;  ///< when all prompts will have been read, as far as is known
    duration m_given{}; ///< the sum of all prompts' times
};

} // namespace borageford::policy
