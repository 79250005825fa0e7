#pragma once

#include "sequoiawharf/configuration_record.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// Reads the fields of one untrusted JSON object and keeps the first fault. Precondition: `value` and `fault` outlive the object. Not thread safe.
class json_fields
{
public:
    /// context: names the object in the fault. A value that is not an object is a fault.
    json_fields(const boost::json::value &value, std::string context, std::optional<record_fault> &fault)
        : m_object(value.if_object())
        , m_context(std::move(context))
        , m_fault(fault)
    {
        if (m_object == nullptr) {
            fail("is not an object");
        }
    }

    /// Returns the field, or null.
    const boost::json::value *find(const char *key)
    {
        m_requestedKeys.insert(key);
        return m_object == nullptr ? nullptr : m_object->if_contains(key);
    }

    /// Returns the field, or null after a fault when it is missing.
    const boost::json::value *require(const char *key)
    {
        const auto *const value = find(key);
        if (value == nullptr) {
            fail(fmt::format("has no \"{}\"", key));
        }
        return value;
    }

    /// Returns the string of a required field, or an empty one after a fault.
    std::string text(const char *key)
    {
        const auto *const value = require(key);
        return value == nullptr ? std::string() : textOf(*value, key);
    }

    /// Returns the string of an optional field; empty when it is missing.
    std::string optionalText(const char *key)
    {
        const auto *const value = find(key);
        return value == nullptr ? std::string() : textOf(*value, key);
    }

    /// Returns the whole number of a required field, or 0 after a fault. A number above high is a fault.
    std::uint64_t number(const char *key, std::uint64_t high)
    {
        const auto *const value = require(key);
        return value == nullptr ? 0 : numberOf(*value, key, high);
    }

    /// Returns the value as a whole number, or 0 after a fault. A number above high is a fault. key: names the field in the fault.
    std::uint64_t numberOf(const boost::json::value &value, const char *key, std::uint64_t high)
    {
        boost::json::error_code error;
        const auto number = value.to_number<std::uint64_t>(error);
        if (error || number > high) {
            fail(fmt::format("\"{}\" is not a whole number from 0 to {}", key, high));
            return 0;
        }
        return number;
    }

    /// Returns the value as a string, or an empty one after a fault. key: names the field in the fault.
    std::string textOf(const boost::json::value &value, const char *key)
    {
        const auto *const text = value.if_string();
        if (text == nullptr) {
            fail(fmt::format("\"{}\" is not a string", key));
            return {};
        }
        return std::string(text->data(), text->size());
    }

    /// Calls visit for each item of an optional list.
    template<typename visitor> void forEach(const char *key, visitor visit)
    {
        const auto *const value = find(key);
        if (value == nullptr) {
            return;
        }
        const auto *const list = value->if_array();
        if (list == nullptr) {
            return fail(fmt::format("\"{}\" is not a list", key));
        }
        std::ranges::for_each(*list, visit);
    }

    /// Registers a fault, unless there is one already.
    void fail(const std::string &problem)
    {
        if (!m_fault) {
            m_fault = record_fault {record_error::BadField, fmt::format("{} {}", m_context, problem)};
        }
    }

    /// Registers a fault when the object has a field whose key no method was called with. Call it last.
    void rejectUnknown()
    {
        if (m_object == nullptr) {
            return;
        }
        const auto unknown = std::ranges::find_if(*m_object, [this](const auto &member) {
            return !m_requestedKeys.contains(std::string_view(member.key().data(), member.key().size()));
        });
        if (unknown != m_object->end()) {
            fail("has an unknown field");
        }
    }

private:
    const boost::json::object *m_object;
    std::string m_context;
    std::optional<record_fault> &m_fault;
    std::set<std::string_view> m_requestedKeys;
};

} // namespace sequoiawharf
