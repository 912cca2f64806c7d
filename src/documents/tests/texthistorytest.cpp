#include <catch2/catch.hpp>

#include "documents/platformdocuments.h"
#include "documents/texthistory.h"

using namespace citronpick;
using namespace citronpick::documents;

namespace
{

//! A text of \a lines different lines.
std::string makeText(size_t lines)
{
    std::string text;
    for (size_t i = 0; i < lines; ++i) {
        text += "entry " + std::to_string(i * 2654435761U % 1000003U) + " of the text\n";
    }
    return text;
}

constexpr size_t manyLines = 40000;

} // namespace

// Guards against changes of a large configuration whose transfer takes as long as that of the
// whole.
TEST_CASE("Load pattern: a small change of a large text is passed on in a small size")
{
    const std::string before = makeText(manyLines);
    std::string after = before;
    after.replace(after.size() / 2, 5, "other");
    after.insert(100, "entry 17 of the text\n");
    TextHistory sender;
    TextHistory recipient;
    sender.add(before);
    recipient.add(before);
    const TextDifference difference = sender.difference(after, recipient.digests());
    CHECK(difference.bytes.size() < 300);
    CHECK(recipient.restore(difference).value() == after);
}

// Guards against a daemon that calculates a difference again for each of its peers.
TEST_CASE("Load pattern: the difference between two texts is calculated once for many daemons")
{
    TextHistory sender;
    sender.add(makeText(manyLines));
    const std::string after = makeText(manyLines - 1);
    const TextDifference *first = &sender.difference(after, sender.digests());
    for (int daemon = 0; daemon < 300; ++daemon) {
        CHECK(&sender.difference(after, sender.digests()) == first);
    }
}

TEST_CASE("A daemon that has none of the texts gets the whole one")
{
    TextHistory sender;
    TextHistory recipient;
    const std::string text = makeText(manyLines);
    sender.add(text);
    const TextDifference difference = sender.difference(text, recipient.digests());
    CHECK(difference.base == 0);
    CHECK(difference.bytes.size() < text.size() / 2);
    CHECK(recipient.restore(difference).value() == text);
}

TEST_CASE("The newest text that both daemons have is the base, and old ones are forgotten")
{
    TextHistory sender({.maxTexts = 2, .minTextBytes = 1});
    TextHistory recipient({.maxTexts = 3, .minTextBytes = 1});
    for (const char *text : {"first", "second", "third"}) {
        sender.add(text);
    }
    recipient.add("first");
    CHECK(sender.difference("fourth", recipient.digests()).base == 0);
    recipient.add("second");
    recipient.add("elsewhere");
    const TextDifference difference = sender.difference("fourth", recipient.digests());
    CHECK(difference.base == recipient.digests()[1]);
    CHECK(recipient.restore(difference).value() == std::string("fourth"));
}

// Guards against a text that is taken for another one, and against a small message that takes much
// memory.
TEST_CASE("A difference that is malformed, too large or from an unknown text is refused")
{
    TextHistory texts;
    const std::string text = makeText(manyLines);
    const TextDifference whole = texts.difference(text, {});
    const auto refused = [&texts](const TextDifference &difference) {
        return texts.restore(difference).status().code();
    };
    TextDifference wrong = whole;
    wrong.base = 1;
    CHECK(refused(wrong) == absl::StatusCode::kNotFound);
    wrong = whole;
    wrong.digest ^= 1U;
    CHECK(refused(wrong) == absl::StatusCode::kInvalidArgument);
    wrong = whole;
    wrong.bytes.resize(wrong.bytes.size() / 2);
    CHECK(refused(wrong) == absl::StatusCode::kInvalidArgument);
    wrong.bytes.clear();
    CHECK(refused(wrong) == absl::StatusCode::kInvalidArgument);
    wrong.bytes = std::string(100, 'x');
    CHECK(refused(wrong) == absl::StatusCode::kInvalidArgument);
    const TextDifference large = texts.difference(std::string(3U << 20U, 'a'), {});
    CHECK(large.bytes.size() < 1000);
    CHECK(refused(large) == absl::StatusCode::kInvalidArgument);
}

TEST_CASE("A configuration survives its transfer between daemons, large or small")
{
    for (const size_t lines : {size_t {1}, manyLines}) {
        CAPTURE(lines);
        TextHistory sender;
        TextHistory recipient;
        const config::ConfigurationFile file {.revision = model::Revision(7),
                                              .text = makeText(lines)};
        const std::string answer = formatConfigurationAnswer(file, sender, recipient.digests());
        const auto parsed = parseConfigurationAnswer(answer, recipient);
        REQUIRE(parsed.ok());
        CHECK(parsed->revision == file.revision);
        CHECK(parsed->text == file.text);
    }
    // A daemon that reads no differences gets the format of the configuration service.
    const config::ConfigurationFile large {.revision = model::Revision(7),
                                           .text = makeText(manyLines)};
    TextHistory texts;
    const auto whole
        = parseConfigurationAnswer(formatConfigurationAnswer(large, texts, std::nullopt));
    REQUIRE(whole.ok());
    CHECK(whole->text == large.text);
    for (const char *text :
         {"", "[]", R"({"difference": 1})", R"({"difference": {}, "revision": 1})",
          R"({"difference": {"base": 0, "digest": 1, "bytes": "*"}, "revision": 1})"}) {
        CHECK_FALSE(parseConfigurationAnswer(text, TextHistory()).ok());
    }
}
