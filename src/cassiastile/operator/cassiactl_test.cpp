#include "cassiastile/operator/cassiactl.hpp"

#include <array>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

#include <gtest/gtest.h>
#include <asio.hpp>

#include "cassiastile/base/hash.hpp"
#include "fake_control.hpp"

namespace cassiastile::operators {
namespace {

const std::string kFleets =
    std::string(CASSIASTILE_SOURCE_DIR) + "/examples/fleets/";
const std::string kExample = kFleets + "plechovy-hlas.jsonc";
const std::string kSecret = "a-new-secret-of-brno";

std::string ReadAll(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string WriteFile(const std::string& name, const std::string& text) {
  std::string path =
      testing::TempDir() + "/cassiactl-" +
      testing::UnitTest::GetInstance()->current_test_info()->name() + "-" +
      name;
  std::ofstream(path) << text;
  return path;
}

// The output and the exit code of one run.
struct Outcome {
  ExitCode code = ExitCode::kDone;
  std::string out;
  std::string err;
};

Outcome RunTool(const std::vector<std::string>& arguments,
                const std::string& input = "") {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunCassiactl(arguments, {in, out, err});
  return {code, out.str(), err.str()};
}

bool Contains(const std::string& text, const std::string& fragment) {
  return text.find(fragment) != std::string::npos;
}

class CassiactlTest : public testing::Test {
 protected:
  // Runs a command against the fake control process.
  Outcome Call(std::vector<std::string> arguments,
               const std::string& input = "") {
    arguments.insert(arguments.end(),
                     {"--server", m_control.Url(), "--key-file", m_key_file});
    return RunTool(arguments, input);
  }

  nlohmann::json LastBody() const {
    return nlohmann::json::parse(m_control.Calls().back().body);
  }
  std::string LastTarget() const {
    const auto call = m_control.Calls().back();
    return call.method + " " + call.target;
  }

  FakeControl m_control;
  std::string m_key_file = WriteFile("key", "key-desk-secret-1\n");
};

TEST(CassiactlUsageTest, CheckNeedsNoServer) {
  EXPECT_EQ(RunTool({"check", kExample}).code, ExitCode::kDone);
  EXPECT_EQ(RunTool({"check", kFleets + "siamlink.jsonc"}).code,
            ExitCode::kDone);
  EXPECT_EQ(RunTool({"check", "-"}, ReadAll(kExample)).code, ExitCode::kDone);
}

TEST(CassiactlUsageTest, CheckPrintsEveryFindingWithItsPosition) {
  const std::string file = WriteFile(
      "bad.jsonc", "{\n  \"fleet\": 7,\n  \"pols\": [] // misspelled\n}\n");
  const Outcome outcome = RunTool({"check", file});
  EXPECT_EQ(outcome.code, ExitCode::kRefused);
  EXPECT_TRUE(Contains(outcome.out, file + ":2:12: error: fleet: is a whole "
                                           "number, but must be text\n"));
  EXPECT_TRUE(Contains(outcome.out, file + ":3:3: error: pols: is not a known "
                                           "field; did you mean \"pools\"?\n"));
  const Outcome json = RunTool({"check", "--json", file});
  EXPECT_EQ(json.code, ExitCode::kRefused);
  const auto findings = nlohmann::json::parse(json.out).at("findings");
  // The two above, and one for each of the 11 missing sections.
  EXPECT_EQ(findings.size(), 13U);
  EXPECT_EQ(RunTool({"check", "/nonexistent"}).code, ExitCode::kRefused);
}

TEST(CassiactlUsageTest, WrongUsageExitsWithTwo) {
  const std::vector<std::vector<std::string>> lines = {
      {},
      {"chek"},
      {"check"},
      {"check", "a", "b"},
      {"check", "--bogus", "a"},
      {"status"},
      {"status", "--server", "http://127.0.0.1:9"},
      {"status", "--config", "/nonexistent"},
      {"status", "--timeout-ms", "soon"},
      {"get", "--version", "x"}};
  for (const auto& line : lines) {
    EXPECT_EQ(RunTool(line).code, ExitCode::kUsage)
        << (line.empty() ? "" : line[0]);
  }
  EXPECT_TRUE(Contains(RunTool({"chek"}).err, "did you mean \"check\""));
}

TEST(CassiactlUsageTest, EveryCommandHasHelpWithExamples) {
  const Outcome help = RunTool({"--help"});
  EXPECT_EQ(help.code, ExitCode::kDone);
  for (const char* command : {"check", "put", "edit", "get", "key", "diff",
                              "history", "audit", "status", "explain", "wave",
                              "drain", "return", "submit", "task", "cancel"}) {
    EXPECT_TRUE(Contains(help.out, std::string("\n  ") + command + " "));
    const Outcome own = RunTool({command, "--help"});
    EXPECT_EQ(own.code, ExitCode::kDone);
    EXPECT_TRUE(Contains(own.out, "\nExamples:\n"));
    EXPECT_TRUE(Contains(own.out, std::string("\n  cassiactl ") + command))
        << command;
  }
  EXPECT_TRUE(Contains(RunTool({"--version"}).out, "cassiactl 0."));
  EXPECT_TRUE(Contains(RunTool({"status", "--version"}).out, "cassiactl 0."));
}

TEST_F(CassiactlTest, PutSendsTheTextAsItIs) {
  m_control.SetAnswer("POST /v1/config", 200,
                      {{"version", 1}, {"state", "accepted"}});
  const Outcome outcome = Call({"put", kExample});
  EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
  EXPECT_EQ(LastBody().at("text"), ReadAll(kExample));
  EXPECT_EQ(LastBody().at("base_version"), 0);
  EXPECT_EQ(m_control.Calls().back().authorization, "Bearer key-desk-secret-1");
}

TEST_F(CassiactlTest, PutRequiresTheBaseVersionOnceADocumentExists) {
  m_control.SetDocument(7, ReadAll(kExample) + "\n");
  const Outcome refused = Call({"put", kExample});
  EXPECT_EQ(refused.code, ExitCode::kUsage);
  EXPECT_TRUE(Contains(refused.err, "--base N"));
  EXPECT_EQ(LastTarget(), "GET /v1/config");

  m_control.SetAnswer("POST /v1/config", 409,
                      {{"title", "The version has moved on."},
                       {"version", 8},
                       {"diff", "-a\n+b\x1b[2J\n"}});
  const Outcome conflict = Call({"put", kExample, "--base", "7"});
  EXPECT_EQ(conflict.code, ExitCode::kRefused);
  EXPECT_EQ(LastBody().at("base_version"), 7);
  EXPECT_TRUE(Contains(conflict.err, "the version in force is 8\n-a\n+b?[2J"));
}

TEST_F(CassiactlTest, PutsTheFirstDocumentWhileReadingIsForbidden) {
  m_control.SetAnswer("GET /v1/config", 403, {{"title", "Not an operator."}});
  m_control.SetAnswer("POST /v1/config", 200,
                      {{"version", 1},
                       {"state", "accepted"},
                       {"missing", nlohmann::json::array()}});
  const Outcome outcome = Call({"put", kExample});
  EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
  EXPECT_EQ(outcome.out, "version 1 is accepted and in force everywhere\n");
  EXPECT_EQ(LastBody().at("base_version"), 0);
}

TEST_F(CassiactlTest, DoesNotResendTheTextInForce) {
  m_control.SetDocument(7, ReadAll(kExample));
  EXPECT_EQ(Call({"put", kExample}).out, "version 7 has this text already\n");
  EXPECT_EQ(LastTarget(), "GET /v1/config");
}

TEST_F(CassiactlTest, DoesNotSendAnInvalidDocument) {
  EXPECT_EQ(Call({"put", "-"}, "{}").code, ExitCode::kRefused);
  EXPECT_TRUE(m_control.Calls().empty());
}

TEST_F(CassiactlTest, EditSendsOneSectionAgainstTheVersionRead) {
  m_control.SetDocument(7, ReadAll(kExample));
  m_control.SetAnswer(
      "POST /v1/config/sections/waves", 200,
      {{"version", 8}, {"state", "pending"}, {"missing", {"e-3", "e-4"}}});
  const Outcome outcome = Call({"edit", "waves"}, "[ /* none */ ]");
  EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
  EXPECT_EQ(LastBody().at("text"), "[ /* none */ ]");
  EXPECT_EQ(LastBody().at("base_version"), 7);
  EXPECT_EQ(LastBody().at("dry_run"), false);
  EXPECT_TRUE(Contains(outcome.out, "pending"));
  EXPECT_TRUE(Contains(outcome.out, "e-3, e-4"));
}

TEST_F(CassiactlTest, FindingsOfAnEditHavePositionsInItsOwnFile) {
  m_control.SetDocument(7, ReadAll(kExample));
  const std::string file = WriteFile(
      "waves.jsonc",
      "\n  [{ \"name\": 7 },\n  { \"name\": \"w\",\n \"pools\": [\"x\"] }]\n");
  const Outcome outcome = Call({"edit", "waves", "--file", file});
  EXPECT_EQ(outcome.code, ExitCode::kRefused);
  EXPECT_TRUE(Contains(outcome.out, file + ":2:14: error: waves[0].name: "))
      << outcome.out;
  EXPECT_TRUE(Contains(outcome.out, file + ":4:12: error: waves[1].pools[0]: "))
      << outcome.out;
  EXPECT_EQ(LastTarget(), "GET /v1/config");
}

TEST_F(CassiactlTest, EditReportsFindingsInOtherSections) {
  m_control.SetDocument(7, ReadAll(kExample));
  const Outcome outcome = Call({"edit", "shares"}, "[]");
  EXPECT_EQ(outcome.code, ExitCode::kRefused);
  EXPECT_TRUE(Contains(outcome.out, "document-7:"));
  EXPECT_TRUE(Contains(outcome.out, "team \"brno-region\" has no share"));
}

TEST_F(CassiactlTest, KeyAddSendsTheDigestOnly) {
  m_control.SetDocument(7, ReadAll(kExample));
  m_control.SetAnswer("POST /v1/config/sections/keys", 200,
                      {{"version", 8}, {"state", "accepted"}});
  const Outcome outcome =
      Call({"key", "add", "brno-region", "brno-2"}, kSecret + "\n");
  EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.out << outcome.err;
  const std::string text = LastBody().at("text");
  EXPECT_TRUE(Contains(text, base::Sha256Hex(kSecret)));
  EXPECT_FALSE(Contains(text, kSecret));
  EXPECT_TRUE(Contains(text, "\"brno-region-key-1\""));
  EXPECT_EQ(Call({"key", "add", "brno-region", "brno-2"}, "short").code,
            ExitCode::kRefused);
  EXPECT_EQ(Call({"key", "add", "nobody", "brno-2"}, kSecret).code,
            ExitCode::kRefused);
}

TEST_F(CassiactlTest, KeyWithdrawRemovesOneKey) {
  m_control.SetDocument(7, ReadAll(kExample));
  m_control.SetAnswer("POST /v1/config/sections/keys", 200,
                      {{"version", 8}, {"state", "accepted"}});
  EXPECT_EQ(Call({"key", "withdraw", "praha-region-key-1"}).code,
            ExitCode::kDone);
  const std::string text = LastBody().at("text");
  EXPECT_FALSE(Contains(text, "praha-region-key-1"));
  EXPECT_TRUE(Contains(text, "brno-region-key-1"));
  EXPECT_EQ(Call({"key", "withdraw", "nothing"}).code, ExitCode::kRefused);
  EXPECT_EQ(Call({"key", "revoke", "nothing"}).code, ExitCode::kUsage);
}

TEST_F(CassiactlTest, ServerFindingsAndDenialsExitWithOne) {
  m_control.SetAnswer("POST /v1/config", 422,
                      {{"findings",
                        {{{"line", 3},
                          {"column", 4},
                          {"path", "keys"},
                          {"message", "the section is owned by \"x\""}}}},
                       {"decision_id", "d7"}});
  const Outcome findings = Call({"put", kExample});
  EXPECT_EQ(findings.code, ExitCode::kRefused);
  EXPECT_TRUE(Contains(findings.out, ":3:4: error: keys: the section is"));
  EXPECT_TRUE(Contains(findings.err, "cassiactl explain d7\n"));
  m_control.SetAnswer("GET /v1/status", 403,
                      {{"title", "The key is not known."}});
  const Outcome denied = Call({"status"});
  EXPECT_EQ(denied.code, ExitCode::kRefused);
  EXPECT_TRUE(Contains(denied.err, "The key is not known."));
}

TEST_F(CassiactlTest, ReportsAnUnknownOutcome) {
  m_control.SetAnswer(
      "POST /v1/hosts/entries-01/drain", 503,
      {{"title", "The store's answer was lost."}, {"execution", "unknown"}});
  const Outcome outcome = Call({"drain", "entries-01"});
  EXPECT_EQ(outcome.code, ExitCode::kUnreachable);
  EXPECT_TRUE(Contains(outcome.err, "the outcome is unknown"));
}

// A server that accepts one connection, reads the request and closes the
// connection without an answer, so that the call may have run.
class SilentPeer {
 public:
  SilentPeer()
      : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
        m_thread([this] {
          asio::ip::tcp::socket socket(m_context);
          m_acceptor.accept(socket);
          std::array<char, 4096> buffer{};
          socket.read_some(asio::buffer(buffer));
        }) {}
  ~SilentPeer() { m_thread.join(); }

  std::string Url() const {
    return "http://127.0.0.1:" +
           std::to_string(m_acceptor.local_endpoint().port());
  }

 private:
  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor;
  std::thread m_thread;
};

// A second server could carry out the change again.
TEST_F(CassiactlTest, DoesNotFailOverAChangeWhoseAnswerWasLost) {
  const SilentPeer silent;
  const Outcome outcome =
      RunTool({"return", "entries-01", "--key-file", m_key_file, "--server",
               silent.Url(), "--server", m_control.Url()});
  EXPECT_EQ(outcome.code, ExitCode::kUnreachable);
  EXPECT_TRUE(Contains(outcome.err, "the outcome is unknown"));
  EXPECT_TRUE(m_control.Calls().empty());
}

TEST_F(CassiactlTest, FailsOverAReadWhoseAnswerWasLost) {
  const SilentPeer silent;
  m_control.SetAnswer("GET /v1/status", 200, {{"version", 7}});
  EXPECT_EQ(RunTool({"status", "--key-file", m_key_file, "--server",
                     silent.Url(), "--server", m_control.Url()})
                .code,
            ExitCode::kDone);
}

TEST_F(CassiactlTest, FailsOverWhenAServerCannotBeReached) {
  std::string dead;
  {
    const FakeControl gone;
    dead = gone.Url();
  }
  m_control.SetAnswer("POST /v1/waves/kernel-winter/start", 200,
                      {{"state", "running"}});
  const std::string config = WriteFile(
      "config.jsonc", "{ // ours\n \"servers\": [\"" + dead + "\", \"" +
                          m_control.Url() + "\"], \"key_file\": \"" +
                          m_key_file + "\" }");
  EXPECT_EQ(
      RunTool({"wave", "kernel-winter", "start", "--config", config}).code,
      ExitCode::kDone);
  const Outcome outcome = RunTool({"wave", "kernel-winter", "start", "--server",
                                   dead, "--key-file", m_key_file});
  EXPECT_EQ(outcome.code, ExitCode::kUnreachable);
  EXPECT_TRUE(Contains(outcome.err, "nothing was changed"));
}

TEST_F(CassiactlTest, ShowsTablesOrJson) {
  m_control.SetAnswer("GET /v1/status", 200,
                      {{"version", 7},
                       {"pools",
                        {{{"name", "entries"}, {"out", 1}},
                         {{"name", "příjem"}, {"out", 12}}}}});
  EXPECT_EQ(
      Call({"status"}).out,
      "pools:\n  name     out\n  entries  1\n  příjem   12\nversion: 7\n");
  EXPECT_EQ(nlohmann::json::parse(Call({"status", "--json"}).out)["version"],
            7);
}

TEST_F(CassiactlTest, ExplainsADecisionInPlainText) {
  m_control.SetAnswer("GET /v1/decisions/d1", 200,
                      {{"id", "d1"},
                       {"kind", "refusal"},
                       {"subject", "request r1"},
                       {"team", "brno-region"},
                       {"outcome", "not run"},
                       {"at", "2026-12-03T21:00:00.000Z"},
                       {"reasons",
                        {{{"rule", "team limit"},
                          {"section", "limits"},
                          {"version", 7},
                          {"observation", "running 220 of 220"}}}}});
  EXPECT_EQ(Call({"explain", "d1"}).out,
            "decision d1\nrefusal of request r1 for team brno-region\n"
            "outcome: not run\nat: 2026-12-03T21:00:00.000Z\n"
            "  because of team limit (section limits of version 7): running "
            "220 of 220\n");
}

TEST_F(CassiactlTest, ABrokenAuditChainExitsWithOne) {
  m_control.SetAnswer("GET /v1/audit?since=12&section=keys", 200,
                      {{"rows", {{{"sequence", 12}}}}, {"chain", "ok"}});
  EXPECT_EQ(Call({"audit", "--since", "12", "--section", "keys"}).code,
            ExitCode::kDone);
  m_control.SetAnswer(
      "GET /v1/audit", 200,
      {{"rows", nlohmann::json::array()}, {"chain", "broken at 4"}});
  const Outcome broken = Call({"audit"});
  EXPECT_EQ(broken.code, ExitCode::kRefused);
  EXPECT_TRUE(Contains(broken.out, "chain: broken at 4"));
  m_control.SetAnswer("GET /v1/audit", 200,
                      {{"rows",
                        {{{"sequence", 5},
                          {"at", "now"},
                          {"who", "ann"},
                          {"what", "host drained"},
                          {"version", 7},
                          {"detail", "entries-03"},
                          {"hash", std::string(64, 'a')}}}},
                       {"chain", "ok"}});
  EXPECT_TRUE(Contains(Call({"audit"}).out,
                       "5         now  ann  host drained  7        -         "
                       "entries-03  aaaaaaaaaaaa\n"));
}

TEST_F(CassiactlTest, ShowsDifferencesAndHistory) {
  std::string older = ReadAll(kExample);
  older.replace(older.find("entries-01"), 10, "entries-11");
  m_control.SetAnswer("GET /v1/config?version=6", 200,
                      {{"version", 6}, {"text", older}});
  m_control.SetAnswer("GET /v1/config?version=7", 200,
                      {{"version", 7}, {"text", ReadAll(kExample)}});
  const Outcome diff = Call({"diff", "6", "7"});
  EXPECT_EQ(diff.code, ExitCode::kDone);
  EXPECT_TRUE(Contains(diff.out, "--- version 6\n+++ version 7\n@@"));
  EXPECT_TRUE(Contains(diff.out, "host entries-01 is new in pool entries\n"));
  EXPECT_EQ(Call({"diff", "six", "7"}).code, ExitCode::kUsage);
  EXPECT_TRUE(
      Contains(Call({"get", "waves", "--version", "7"}).out, "kernel-winter"));
  m_control.SetAnswer("GET /v1/config/history", 200,
                      {{"versions",
                        {{{"version", 7},
                          {"by", "key-desk"},
                          {"at", "now"},
                          {"sections", {"keys"}},
                          {"digest", "0123456789abcdef"}}}}});
  EXPECT_TRUE(Contains(Call({"history"}).out,
                       "7        key-desk  now  keys      0123456789ab\n"));
}

TEST_F(CassiactlTest, SubmitsAndCancelsTasks) {
  m_control.SetAnswer("POST /v1/queues/brno-late-entries/tasks", 202,
                      {{"id", "t1"}, {"state", "queued"}});
  m_control.SetAnswer("DELETE /v1/queues/brno-late-entries/tasks/t1", 200,
                      {{"state", "cancelled"}});
  EXPECT_EQ(Call({"submit", "brno-late-entries", "--id", "t1", "--cores", "2",
                  "--idempotent", "--payload-file", "-"},
                 "work")
                .code,
            ExitCode::kDone);
  const nlohmann::json task = LastBody();
  EXPECT_EQ(task.at("id"), "t1");
  EXPECT_EQ(task.at("cores"), 2);
  EXPECT_EQ(task.at("idempotent"), true);
  EXPECT_EQ(task.at("payload"), "work");
  EXPECT_EQ(Call({"cancel", "brno-late-entries", "t1"}).code, ExitCode::kDone);
  EXPECT_EQ(Call({"task", "a/b", "t1"}).code, ExitCode::kRefused);
  EXPECT_EQ(LastTarget(), "GET /v1/queues/a%2Fb/tasks/t1");
}

}  // namespace
}  // namespace cassiastile::operators
