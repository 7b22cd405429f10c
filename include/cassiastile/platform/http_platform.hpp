#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "cassiastile/platform/host_list.hpp"
#include "cassiastile/platform/machines.hpp"
#include "cassiastile/platform/objects.hpp"
#include "cassiastile/platform/table.hpp"
#include "cassiastile/wire/http_client.hpp"

namespace cassiastile::platform {

// Connection settings of the platform's HTTP services. docs/PLATFORM.md
// describes the calls.
struct HttpPlatformOptions {
  // Not owned; must outlive the objects made with it.
  wire::HttpClient* client = nullptr;
  std::string address;                     // IP:PORT
  std::chrono::milliseconds timeout{800};  // Of a whole call.
};

// The platform's table over HTTP.
class HttpTable final : public Table {
 public:
  explicit HttpTable(HttpPlatformOptions options);

  base::Result<std::optional<Row>> Get(const std::string& key) override;
  base::Result<std::vector<Row>> Scan(const std::string& prefix,
                                      const std::string& after,
                                      std::size_t limit) override;
  base::Result<Commit> Apply(const Transaction& transaction) override;
  base::Result<std::optional<Commit>> FindNonce(
      const std::string& nonce) override;

 private:
  HttpPlatformOptions m_options;
};

// The platform's object store over HTTP.
class HttpObjectStore final : public ObjectStore {
 public:
  explicit HttpObjectStore(HttpPlatformOptions options);

  base::Result<void> Put(const std::string& name,
                         const std::string& content) override;
  base::Result<std::string> Get(const std::string& name) override;
  base::Result<std::vector<std::string>> List(
      const std::string& prefix) override;

 private:
  HttpPlatformOptions m_options;
};

// The platform's host list over HTTP.
class HttpHostList final : public HostList {
 public:
  explicit HttpHostList(HttpPlatformOptions options);

  base::Result<std::vector<ListedHost>> List() override;

 private:
  HttpPlatformOptions m_options;
};

// The platform's machine service over HTTP.
class HttpMachines final : public Machines {
 public:
  explicit HttpMachines(HttpPlatformOptions options);

  base::Result<void> SetDraining(const std::string& host,
                                 bool draining) override;
  base::Result<void> Reboot(const std::string& host,
                            std::uint64_t boots) override;
  base::Result<MachineStatus> Status(const std::string& host) override;

 private:
  HttpPlatformOptions m_options;
};

}  // namespace cassiastile::platform
