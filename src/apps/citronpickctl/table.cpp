#include "table.h"

#include <algorithm>

namespace citronpick::ctl
{

namespace
{

std::string cellText(const nlohmann::json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_array()) {
        std::string joined;
        for (const auto &item : value) {
            joined += (joined.empty() ? "" : " ") + cellText(item);
        }
        return joined;
    }
    return value.is_null() ? "-" : value.dump();
}

} // namespace

std::string formatTable(const nlohmann::json &rows, const std::vector<std::string> &keys)
{
    std::vector<std::vector<std::string>> cells {keys};
    for (const auto &row : rows) {
        std::vector<std::string> line;
        line.reserve(keys.size());
        for (const std::string &key : keys) {
            line.push_back(cellText(row.value(key, nlohmann::json())));
        }
        cells.push_back(std::move(line));
    }
    std::vector<size_t> widths(keys.size(), 0);
    for (const auto &line : cells) {
        for (size_t column = 0; column < line.size(); ++column) {
            widths[column] = std::max(widths[column], line[column].size());
        }
    }
    std::string text;
    for (const auto &line : cells) {
        for (size_t column = 0; column < line.size(); ++column) {
            const bool isLast = column + 1 == line.size();
            const size_t padding = isLast ? 0 : widths[column] - line[column].size() + 2;
            text += line[column] + std::string(padding, ' ');
        }
        text += '\n';
    }
    return text;
}

std::string formatFields(const nlohmann::json &object)
{
    std::string text;
    for (const auto &[key, value] : object.items()) {
        constexpr size_t keyWidth = 18;
        const size_t padding = key.size() < keyWidth ? keyWidth - key.size() : 1;
        text += key + std::string(padding, ' ') + cellText(value) + '\n';
    }
    return text;
}

} // namespace citronpick::ctl
