#pragma once

namespace sequoiawharf::cli
{

inline constexpr const char *kVersion = "0.1.0";

} // namespace sequoiawharf::cli
