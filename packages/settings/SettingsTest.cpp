#include "settings/ParseNodeSettings.h"
#include "settings/SettingKey.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <rapidcheck.h>
#include <set>
#include <sstream>

using namespace chervil;
using namespace std::chrono_literals;

namespace {

const std::string Minimal = "[node]\n"
                            "name = pamplona-1\n"
                            "region = norte\n"
                            "data_centre = pamplona\n"
                            "peer_listen = 10.0.0.1:7000\n"
                            "caller_listen = 10.0.0.1:8080\n"
                            "admin_listen = 127.0.0.1:0\n"
                            "peer_secret = 0123456789abcdef\n"
                            "admin_token = operator-token\n"
                            "[platform]\n"
                            "kv_url = http://10.0.0.9:2000\n"
                            "vms_url = https://vms.example/api\n";

std::vector<SettingError> errorsOf(const std::string &text) {
  const auto it = parseNodeSettings(text, "node.ini");
  return it ? std::vector<SettingError>{} : it.error();
}

/// The only error of the minimal settings followed by `lines`, which start on line 13.
SettingError errorOf(const std::string &lines) {
  const auto errors = errorsOf(Minimal + lines);
  BOOST_REQUIRE_MESSAGE(errors.size() == 1U, lines << ": " << errors.size() << " errors");
  return errors[0];
}

} // namespace

BOOST_AUTO_TEST_SUITE(Settings)

// Guards against a default that is not applied, or that the key's own range rejects.
BOOST_AUTO_TEST_CASE(MinimalFileGetsDefaults) {
  const auto s = parseNodeSettings(Minimal, "node.ini");
  BOOST_REQUIRE(s.has_value());
  BOOST_TEST(s->Node.Name == "pamplona-1");
  BOOST_TEST(s->Node.PeerAdvertise == "10.0.0.1:7000");
  BOOST_TEST(s->Node.CallerAdvertise == "10.0.0.1:8080");
  BOOST_TEST(s->Node.Seeds.empty());
  BOOST_TEST(s->Shards.Count == 64U);
  BOOST_TEST((s->Requests.RetryHorizon == 15min));
  BOOST_TEST((s->Requests.ClockMargin == 2s));
  BOOST_TEST((s->Requests.ProgressPeriod == 50ms));
  BOOST_TEST(s->Requests.ProgressBytes == 4096U);
  BOOST_TEST(s->Limits.FloorPercent == 20U);
  BOOST_TEST(s->Log.Level == "info");
  BOOST_TEST(!s->Testing.FatalInvariants);
  for (const SettingKey &key : allSettingKeys()) {
    if (key.Default == nullptr || key.Min == 0)
      continue;
    // A default that was rejected would leave the member empty.
    NodeSettings defaults = defaultNodeSettings();
    std::visit(
        [&](auto *member) {
          using T = std::remove_pointer_t<decltype(member)>;
          if constexpr (!std::is_same_v<T, std::string>)
            BOOST_TEST((*member != T{}), key.Section << "." << key.Key);
        },
        key.Target(defaults));
  }
}

// Guards against each type's syntax: units, lists, percentages, booleans, comments, TLS.
BOOST_AUTO_TEST_CASE(ValuesOfEveryTypeAreRead) {
  std::string text = Minimal;
  text.insert(text.find("[platform]"), "seeds = 10.0.0.2:7000, 10.0.0.3:7000 ; two\n"
                                       "  10.0.0.4:7000\n"
                                       "peer_advertise = 192.0.2.1:7001\n");
  const auto s =
      parseNodeSettings(text + "# comment\n"
                               "[requests]\r\n"
                               "answer_budget = 16KiB\n"
                               "max_body=900KiB\n"
                               "retry_horizon = 1h\n"
                               "clock_margin = 250ms\n"
                               "[limits]\nfloor_percent = 25%\n"
                               "[tls]\ncertificate = /etc/c.pem\nprivate_key = /etc/k.pem\n"
                               "[testing]\nfatal_invariants = true\n",
                        "node.ini");
  // 16 KiB is below the minimum, so that the other values are seen to be read in spite of it.
  BOOST_REQUIRE(!s.has_value());
  BOOST_REQUIRE(s.error().size() == 1U);
  text += "[requests]\nanswer_budget = 2MiB\nmax_body=900KiB\nretry_horizon = 1h\n"
          "clock_margin = 250ms\n[limits]\nfloor_percent = 25%\n"
          "[tls]\ncertificate = /etc/c.pem\nprivate_key = /etc/k.pem\n"
          "[testing]\nfatal_invariants = true\n";
  const auto good = parseNodeSettings(text, "node.ini");
  BOOST_REQUIRE(good.has_value());
  BOOST_TEST(good->Node.Seeds ==
                 (std::vector<std::string>{"10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000"}),
             boost::test_tools::per_element());
  BOOST_TEST(good->Node.PeerAdvertise == "192.0.2.1:7001");
  BOOST_TEST(good->Requests.AnswerBudget == 2U << 20);
  BOOST_TEST(good->Requests.MaxBody == 900U * 1024);
  BOOST_TEST((good->Requests.RetryHorizon == 1h));
  BOOST_TEST((good->Requests.ClockMargin == 250ms));
  BOOST_TEST(good->Limits.FloorPercent == 25U);
  BOOST_TEST(good->Tls.PrivateKey == "/etc/k.pem");
  BOOST_TEST(good->Testing.FatalInvariants);
}

// Guards against a fault that is accepted, or reported without its place and accepted range.
BOOST_AUTO_TEST_CASE(EachFaultIsReportedWithItsPlace) {
  struct Case {
    const char *Lines;
    int Line;
    const char *Section;
    const char *Key;
    const char *Problem;
  };
  for (const Case &c : std::initializer_list<Case>{
           {"[shards]\ncount = 0\n", 14, "shards", "count", "bad value"},
           {"[shards]\ncount = 4097\n", 14, "shards", "count", "bad value"},
           {"[shards]\ncount = 12x\n", 14, "shards", "count", "bad value"},
           {"[shards]\ncount = -1\n", 14, "shards", "count", "bad value"},
           {"[shards]\ncount =\n", 14, "shards", "count", "bad value"},
           {"[shards]\ncount = 99999999999999999999\n", 14, "shards", "count", "bad value"},
           {"[shards]\n\ncount = 1\ncount = 1\n", 16, "shards", "count", "duplicate key"},
           {"[shards]\nconut = 1\n", 14, "shards", "conut", "unknown key"},
           {"[shard]\ncount = 1\n", 13, "shard", "", "unknown section"},
           {"[node]\n", 13, "node", "", "duplicate section"},
           {"[shards\n", 13, "", "", "malformed line"},
           {"[shards] count = 1\n", 13, "", "", "malformed line"},
           {"[shards]\ncount\n", 14, "", "", "malformed line"},
           {"[shards]\ncount = 1\n  2\n", 15, "shards", "count", "indented line"},
           {"[requests]\nretry_horizon = 15\n", 14, "requests", "retry_horizon", "bad value"},
           {"[requests]\nretry_horizon = 15min\n", 14, "requests", "retry_horizon", "bad value"},
           {"[requests]\nretry_horizon = 1.5m\n", 14, "requests", "retry_horizon", "bad value"},
           {"[requests]\nretry_horizon = 25h\n", 14, "requests", "retry_horizon", "bad value"},
           {"[requests]\nretry_horizon = 18446744073709551615h\n", 14, "requests", "retry_horizon",
            "bad value"},
           {"[requests]\nmax_body = 16KB\n", 14, "requests", "max_body", "bad value"},
           {"[requests]\nmax_body = 1MiB\n", 14, "requests", "max_body", "bad value"},
           {"[limits]\nfloor_percent = 101\n", 14, "limits", "floor_percent", "bad value"},
           {"[testing]\nfatal_invariants = yes\n", 14, "testing", "fatal_invariants", "bad value"},
           {"[log]\nlevel = loud\n", 14, "log", "level", "bad value"},
           {"[tls]\nca = /ca\ncertificate = /c\n", 15, "tls", "certificate",
            "keys do not fit together"},
           {"[retry]\nbackoff_max = 20ms\n", 0, "retry", "backoff_min", "keys do not fit together"},
           {"[membership]\nprobe_timeout = 2s\n", 14, "membership", "probe_timeout",
            "keys do not fit together"},
           {"[limits]\nreport_period = 3s\n", 14, "limits", "report_period",
            "keys do not fit together"},
       }) {
    const SettingError e = errorOf(c.Lines);
    BOOST_TEST_CONTEXT(c.Lines << " -> " << toString(e)) {
      BOOST_TEST(e.File == "node.ini");
      BOOST_TEST(e.Line == c.Line);
      BOOST_TEST(e.Section == c.Section);
      BOOST_TEST(e.Key == c.Key);
      BOOST_TEST(e.Problem == c.Problem);
      BOOST_TEST(!e.Found.empty());
      BOOST_TEST(!e.Accepted.empty());
    }
  }
}

// Guards against addresses, names and URLs that would fail only when they are used.
BOOST_AUTO_TEST_CASE(BadAddressesAreReported) {
  for (const char *value :
       {"10.0.0.1", "10.0.0:1", "10.0.0.256:1", "10.0.0.1:65536", "a:1", "10.0.0.1:", "10.0.0.1:x",
        "0010.0.0.1:1", "[::1]:80", "10.0.0.1:1 x"}) {
    std::string text = Minimal;
    text.replace(text.find("10.0.0.1:7000"), 13, value);
    const auto errors = errorsOf(text);
    BOOST_REQUIRE_MESSAGE(errors.size() == 1U, value);
    BOOST_TEST(errors[0].Key == "peer_listen");
    BOOST_TEST(errors[0].Line == 5);
  }
  for (const char *value : {"ftp://x", "http://", "10.0.0.9:2000", "http://a b", "http://a?b=c"}) {
    std::string text = Minimal;
    text.replace(text.find("http://10.0.0.9:2000"), 20, value);
    const auto errors = errorsOf(text);
    BOOST_REQUIRE_MESSAGE(errors.size() == 1U, value);
    BOOST_TEST(errors[0].Key == "kv_url");
  }
}

// Guards against a pass that stops at the first fault, and against a wrong order.
BOOST_AUTO_TEST_CASE(AllFaultsAreReportedInOnePass) {
  const auto errors = errorsOf("stray = 1\n"
                               "[node]\n"
                               "name = bad name\n"
                               "junk\n"
                               "[wrong]\n"
                               "x = 1\n"
                               "[shards]\n"
                               "count = 9999\n"
                               "count = 2\n" +
                               std::string(300, 'x') + "\n");
  std::vector<int> lines;
  std::size_t missing = 0;
  for (const SettingError &e : errors) {
    if (e.Line > 0)
      lines.push_back(e.Line);
    else
      missing += e.Problem == "missing key" ? 1 : 0;
  }
  BOOST_TEST(lines == (std::vector<int>{1, 3, 4, 5, 8, 9, 10}), boost::test_tools::per_element());
  BOOST_TEST(missing == 9U);
}

// Guards against secrets in error messages, and against file: values that are taken literally.
BOOST_AUTO_TEST_CASE(SecretsAreReadFromFilesAndNeverShown) {
  std::string text = Minimal;
  text.replace(text.find("0123456789abcdef"), 16, "file:/run/secret");
  const auto s = parseNodeSettings(
      text, "node.ini", [](const std::string &path) -> tl::expected<std::string, std::string> {
        return path == "/run/secret" ? "a secret from a file" : "";
      });
  BOOST_REQUIRE(s.has_value());
  BOOST_TEST(s->Node.PeerSecret == "a secret from a file");
  const auto missing = errorsOf(text);
  BOOST_REQUIRE(missing.size() == 1U);
  BOOST_TEST(toString(missing[0]).find("cannot be read") != std::string::npos);
  text = Minimal;
  text.replace(text.find("0123456789abcdef"), 16, "hunter2");
  text += "[log]\npeer_secret hunter2\n[retry]\npeer_secert = hunter2\n";
  for (const SettingError &e : errorsOf(text))
    BOOST_TEST(toString(e).find("hunter2") == std::string::npos);
}

// Guards against a file reader that keeps the line break or reads without bound.
BOOST_AUTO_TEST_CASE(SecretFilesAreBounded) {
  BOOST_TEST(!readSecretFile("/dev/zero").has_value());
  BOOST_TEST(!readSecretFile("/nonexistent").has_value());
}

// Guards against a crash on arbitrary text, and on damaged settings.
BOOST_AUTO_TEST_CASE(ArbitraryTextNeverThrows) {
  BOOST_TEST(rc::check([] {
    (void)errorsOf(*rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
    std::string text = Minimal;
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i)
      text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    (void)errorsOf(text);
  }));
}

// Guards against two descriptions of one key, and a description without a sentence.
BOOST_AUTO_TEST_CASE(KeysAreDescribedOnce) {
  std::set<std::pair<std::string, std::string>> seen;
  std::set<SettingTarget> targets;
  NodeSettings s;
  for (const SettingKey &key : allSettingKeys()) {
    BOOST_TEST(seen.emplace(key.Section, key.Key).second, key.Section << "." << key.Key);
    BOOST_TEST(targets.insert(key.Target(s)).second, key.Section << "." << key.Key);
    BOOST_TEST(std::string(key.Meaning).ends_with('.'));
  }
}

// Guards against limits of the VM from the deploy file that do not reach the node, and against a
// misspelt override that is ignored.
BOOST_AUTO_TEST_CASE(OverridesReplaceValuesOfTheFile) {
  const auto parse = [](std::vector<std::string> overrides) {
    return parseNodeSettings(Minimal + "[limits]\nfloor_percent = 10\n", "node.ini", readSecretFile,
                             overrides);
  };
  BOOST_TEST(parse({"limits.floor_percent=30"})->Limits.FloorPercent == 30U);
  BOOST_TEST(parse({"limits.floor_percent="})->Limits.FloorPercent == 10U);
  BOOST_TEST(parse({"edge.stop_time=9s"})->Edge.StopTime.count() == 9000);
  BOOST_TEST(parse({"edge.exposure_share=0.1"})->Edge.ExposureShare == 0.1);
  BOOST_TEST(parse({"edge.exposure_share="})->Edge.ExposureShare == 0);
  BOOST_TEST(parse({"edge.exposure_slack=50"})->Edge.ExposureSlack == 50U);
  BOOST_TEST(parse({"edge.rollback_time=7000ms"})->Edge.RollbackTime.count() == 7000);
  BOOST_TEST(parse({"edge.rollback_time=ms"})->Edge.RollbackTime.count() == 5000);
  for (const char *bad :
       {"limits.floor_percent=x", "limits.none=1", "floor_percent=1", "limits.a", "=", "",
        "edge.exposure_share=1.1", "edge.exposure_share=-0.1", "edge.exposure_share=nan",
        "edge.exposure_share=10%", "edge.exposure_share=0,1", "edge.rollback_time=x"})
    BOOST_TEST(!parse({bad}).has_value(), bad);
}

// Guards against a manual that differs from the program.
BOOST_AUTO_TEST_CASE(ManualIsUpToDate) {
  std::ifstream in(std::string(CHERVIL_DOCS) + "/settings.md");
  std::stringstream text;
  text << in.rdbuf();
  BOOST_TEST((text.str() == describeSettings()),
             "run build/release/packages/settings/settings_doc > docs/settings.md");
}

BOOST_AUTO_TEST_SUITE_END()
