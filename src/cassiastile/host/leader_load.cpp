#include "cassiastile/host/leader_load.hpp"

#include <sys/resource.h>

namespace cassiastile::host {

base::Duration ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         std::chrono::microseconds(usage.ru_utime.tv_usec +
                                   usage.ru_stime.tv_usec);
}

}  // namespace cassiastile::host
