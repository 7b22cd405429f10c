#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "cassiastile/base/error.hpp"

namespace cassiastile::config {

// The text of a list with one more item at its end. What stood there stays,
// comments with it.
base::Result<std::string> AppendItem(std::string_view list,
                                     std::string_view item);

// The text of a list without the item at an index. Comments stay, and so does
// all else but the item, its comma and the line that they leave blank.
base::Result<std::string> RemoveItem(std::string_view list, std::size_t index);

}  // namespace cassiastile::config
