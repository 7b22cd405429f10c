#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "cassiastile/base/error.hpp"

namespace cassiastile::config {

// Returns the text of a JSON list with the JSON text `item` appended, which is
// not checked; the existing text and its comments stay. `list` must end in its
// bracket; fails with kInvalid when it is not a list.
base::Result<std::string> AppendItem(std::string_view list,
                                     std::string_view item);

// Returns the text of a JSON list without the item at an index: only the item,
// its comma and the line that becomes blank are removed, comments stay. Fails
// with kInvalid when the text is not a list and with kNotFound when it has no
// such item.
base::Result<std::string> RemoveItem(std::string_view list, std::size_t index);

}  // namespace cassiastile::config
