#include "cassiastile/config/settings.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <utility>

#include <fmt/format.h>

#include "cassiastile/config/field_reader.hpp"
#include "cassiastile/config/positioned_json.hpp"
#include "cassiastile/config/text_file.hpp"

namespace cassiastile::config {

namespace {

constexpr std::int64_t kDayMs = 24LL * 3600 * 1000;
constexpr std::string_view kAddressForm =
    "must be an IP address and a port, such as 127.0.0.1:8080";

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, port);
  if (text.empty() || read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

struct Settings::State {
  explicit State(PositionedDocument parsed)
      : document(std::move(parsed)),
        findings(document.duplicates),
        reader(document, document.root, "", findings) {}

  PositionedDocument document;
  base::Findings findings;
  FieldReader reader;
};

std::string FormatAddress(const SocketAddress& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  return is_v6 ? fmt::format("[{}]:{}", address.ip, address.port)
               : fmt::format("{}:{}", address.ip, address.port);
}

std::optional<SocketAddress> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParsePort(text.substr(colon + 1));
  std::string_view ip = text.substr(0, colon);
  const bool in_brackets = ip.starts_with('[') && ip.ends_with(']');
  if (in_brackets) {
    ip = ip.substr(1, ip.size() - 2);
  }
  const bool is_v6 = ip.find(':') != std::string_view::npos;
  SocketAddress address{std::string(ip), port.value_or(0)};
  if (!port || is_v6 != in_brackets || !IsIpAddress(address.ip)) {
    return std::nullopt;
  }
  return address;
}

tl::expected<Settings, base::Findings> Settings::Parse(
    std::string_view text,
    const std::string& file) {
  auto document = ParsePositionedJson(text, file);
  if (!document) {
    return tl::make_unexpected(std::move(document.error()));
  }
  return Settings(std::make_unique<State>(std::move(*document)));
}

tl::expected<Settings, base::Findings> Settings::Load(const std::string& path) {
  const auto text = ReadTextFile(path);
  if (!text) {
    return tl::make_unexpected(
        base::Findings{{{path, 0, 0}, "", text.error().message}});
  }
  return Parse(*text, path);
}

Settings::Settings(std::unique_ptr<State> state) : m_state(std::move(state)) {}
Settings::Settings(Settings&& other) noexcept = default;
Settings& Settings::operator=(Settings&& other) noexcept = default;
Settings::~Settings() = default;

std::string Settings::Text(std::string_view name) {
  return m_state->reader.Text(name);
}

std::string Settings::Text(std::string_view name,
                           std::string_view default_value) {
  return m_state->reader.Text(name, default_value);
}

bool Settings::Flag(std::string_view name, bool default_value) {
  return m_state->reader.Flag(name, default_value);
}

std::int64_t Settings::Number(std::string_view name,
                              std::int64_t default_value,
                              std::int64_t least,
                              std::int64_t greatest) {
  return m_state->reader.Number(name, {least, greatest}, default_value);
}

std::chrono::milliseconds Settings::Milliseconds(
    std::string_view name,
    std::chrono::milliseconds default_value) {
  return std::chrono::milliseconds(
      Number(name, default_value.count(), 0, kDayMs));
}

std::vector<std::string> Settings::TextList(std::string_view name) {
  return m_state->reader.TextList(name);
}

SocketAddress Settings::Address(std::string_view name) {
  const std::string text = Text(name);
  const auto address = ParseAddress(text);
  if (!address && !text.empty()) {
    Report(name, std::string(kAddressForm));
  }
  return address.value_or(SocketAddress{});
}

SocketAddress Settings::Address(std::string_view name,
                                const SocketAddress& default_value) {
  const std::string text = Text(name, FormatAddress(default_value));
  const auto address = ParseAddress(text);
  if (!address) {
    Report(name, std::string(kAddressForm));
  }
  return address.value_or(default_value);
}

std::vector<SocketAddress> Settings::AddressList(std::string_view name) {
  std::vector<SocketAddress> addresses;
  const std::vector<std::string> texts = TextList(name);
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const auto address = ParseAddress(texts[i]);
    if (!address) {
      Report(fmt::format("{}[{}]", name, i), std::string(kAddressForm));
      continue;
    }
    addresses.push_back(*address);
  }
  return addresses;
}

void Settings::Report(std::string_view name, std::string message) {
  m_state->reader.Report(name, std::move(message));
}

base::Findings Settings::Finish() {
  m_state->reader.ReportUnknownFields();
  return std::move(m_state->findings);
}

}  // namespace cassiastile::config
