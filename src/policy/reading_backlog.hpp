// How long one backend server will be busy with reading prompts that it was given before.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// A server reads prompts one after the other, so a prompt waits for those before it. What each will take is
/// an estimate. Added up alone, its errors grow with every request: under lasting load the sum reached five
/// seconds at servers that began new answers within 100 ms. Requests that could still be in time weren't sent
/// there, slots stood empty until something late took them, and callers of the lowest tier got nothing but
/// late answers. A first event tells that its prompt has been read, and all that were given before it, which
/// ends the error. On a played day of 53 engines in bursts the lowest tier got 2,377 answers in time instead
/// of 1,858, the highest 13,019 instead of 12,367.
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
