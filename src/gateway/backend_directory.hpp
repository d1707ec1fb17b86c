// The backend servers that a gateway knows, by id.
#pragma once

#include "gateway/backend.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace borageford::gateway {

class backend_directory {
public:
    /// The server of this id; null when it is not known.
    [[nodiscard]] std::shared_ptr<backend> find(std::string_view id) const;

    /// Adds the server or takes its changed record.
    void set(routing::backend_record record);
    void remove(std::string_view id);

    [[nodiscard]] const std::map<std::string, std::shared_ptr<backend>, std::less<>>& all() const noexcept {
        return m_backends;
    }
    [[nodiscard]] bool has_ready() const;

private:
    std::map<std::string, std::shared_ptr<backend>, std::less<>> m_backends;
};

} // namespace borageford::gateway
