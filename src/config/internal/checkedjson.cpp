#include "config/internal/checkedjson.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace citronpick::config::internal
{

namespace
{

using Adapter = valijson::adapters::NlohmannJsonAdapter;

// Converts the validator's context, such as "<root>", "[pools]", "[0]", to a JSON pointer with the
// escapes of RFC 6901.
std::string toJsonPointer(const std::vector<std::string> &context)
{
    std::string pointer;
    for (const std::string &part : context) {
        if (part == "<root>") {
            continue;
        }
        const bool hasBrackets = part.size() >= 2 && part.front() == '[' && part.back() == ']';
        const std::string name = hasBrackets ? part.substr(1, part.size() - 2) : part;
        pointer += '/';
        for (const char character : name) {
            if (character == '~') {
                pointer += "~0";
            } else if (character == '/') {
                pointer += "~1";
            } else {
                pointer += character;
            }
        }
    }
    return pointer;
}

// The validator adds such an error for every enclosing object and array; it repeats the inner
// error.
bool isEnclosingError(const std::string &description)
{
    return description.starts_with("Failed to validate against schema associated with property")
           || description.starts_with("Failed to validate item #");
}

} // namespace

nlohmann::json parseAndValidate(std::string_view text, const char *schemaText,
                                std::vector<Finding> &findings)
{
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        findings.push_back(
            {.error = ConfigError::NotJson, .pointer = "", .expected = "valid JSON"});
        return {};
    }
    const nlohmann::json schemaDocument = nlohmann::json::parse(schemaText);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(Adapter(schemaDocument), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema, Adapter(document), &results)) {
        return document;
    }
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        if (isEnclosingError(error.description)) {
            continue;
        }
        findings.push_back({.error = ConfigError::SchemaViolation,
                            .pointer = toJsonPointer(error.context),
                            .expected = error.description});
    }
    return document;
}

} // namespace citronpick::config::internal
