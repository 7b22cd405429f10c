#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "cassiastile/base/findings.hpp"

namespace cassiastile::config {

// An IP address and a port, written 127.0.0.1:8080 or [::1]:8080.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const SocketAddress&) const = default;
};

std::string FormatAddress(const SocketAddress& address);
std::optional<SocketAddress> ParseAddress(std::string_view text);

// The settings of a program: one object of JSON with comments. Each field is
// read once; an invalid field is read as its default. Finish returns all
// findings.
class Settings {
 public:
  // Fails on text that can't be parsed. `file` is the name shown in findings.
  static tl::expected<Settings, base::Findings> Parse(std::string_view text,
                                                      const std::string& file);
  // Reads and parses a file. A file that can't be read gives a finding too.
  static tl::expected<Settings, base::Findings> Load(const std::string& path);

  Settings(Settings&& other) noexcept;
  Settings& operator=(Settings&& other) noexcept;
  ~Settings();

  // Reads a required text, or one with a default.
  std::string Text(std::string_view name);
  std::string Text(std::string_view name, std::string_view default_value);
  bool Flag(std::string_view name, bool default_value);
  // Reads an integer within inclusive bounds, with a default.
  std::int64_t Number(std::string_view name,
                      std::int64_t default_value,
                      std::int64_t least,
                      std::int64_t greatest);
  // Reads a duration of at most one day; the name of the field should end in
  // _ms.
  std::chrono::milliseconds Milliseconds(
      std::string_view name,
      std::chrono::milliseconds default_value);
  // Empty when the field is absent.
  std::vector<std::string> TextList(std::string_view name);
  // Reads a required address, or one with a default.
  SocketAddress Address(std::string_view name);
  SocketAddress Address(std::string_view name,
                        const SocketAddress& default_value);
  // Empty when the field is absent.
  std::vector<SocketAddress> AddressList(std::string_view name);

  // Adds a finding about a field, for checks that the program makes itself.
  void Report(std::string_view name, std::string message);

  // Returns all findings, including those about fields that were never read.
  base::Findings Finish();

 private:
  struct State;
  explicit Settings(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace cassiastile::config
