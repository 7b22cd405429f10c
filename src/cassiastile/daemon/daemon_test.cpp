#include <gtest/gtest.h>

#include "cassiastile/daemon/command_line.hpp"
#include "cassiastile/daemon/health.hpp"

namespace cassiastile::daemon {
namespace {

std::variant<CommandLineOptions, EarlyExit> Read(
    std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "cassia-test");
  return ReadCommandLine({"cassia-test", "is tested"},
                         static_cast<int>(arguments.size()), arguments.data());
}

TEST(CommandLineTest, HelpSucceedsAndWrongUsageFails) {
  EXPECT_EQ(std::get<EarlyExit>(Read({"--help"})).exit_status, kExitSuccess);
  EXPECT_EQ(std::get<EarlyExit>(Read({"--version"})).exit_status, kExitSuccess);
  EXPECT_EQ(std::get<EarlyExit>(Read({})).exit_status, kExitUsage);
  EXPECT_EQ(std::get<EarlyExit>(Read({"--nothing"})).exit_status, kExitUsage);
}

TEST(CommandLineTest, ReadsTheSettingsPathAndTheCheckFlag) {
  const auto parsed = Read({"--config", "f.jsonc", "--check"});
  EXPECT_EQ(std::get<CommandLineOptions>(parsed).settings_path, "f.jsonc");
  EXPECT_TRUE(std::get<CommandLineOptions>(parsed).check_only);
}

TEST(HealthTest, RoutesFollowReadinessAndUpdateMetrics) {
  wire::Router router;
  wire::Metrics metrics;
  bool ready = true;
  int updates = 0;
  AddHealthRoutes(
      router, [&ready] { return ready; }, metrics, [&updates] { ++updates; });
  const auto get_status = [&router](const std::string& path) {
    wire::HttpRequest request;
    request.method = "GET";
    request.path = path;
    int status = 0;
    router.RouteRequest(request, [&status](const wire::HttpResponse& response) {
      status = response.status;
    });
    return status;
  };
  EXPECT_EQ(get_status("/readyz"), 200);
  ready = false;
  EXPECT_EQ(get_status("/readyz"), 503);
  EXPECT_EQ(get_status("/healthz"), 200);
  EXPECT_EQ(get_status("/metrics"), 200);
  EXPECT_EQ(updates, 1);
}

}  // namespace
}  // namespace cassiastile::daemon
