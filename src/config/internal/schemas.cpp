#include "config/internal/schemas.h"

namespace citronpick::config::internal
{

const char *const settingsSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["daemon", "zone", "caller", "admin", "fleet", "platform"],
  "definitions": {
    "name": { "type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$" },
    "host": { "type": "string", "pattern": "^[0-9a-fA-F.:]{2,45}$" },
    "port": { "type": "integer", "minimum": 0, "maximum": 65535 },
    "milliseconds": { "type": "integer", "minimum": 1, "maximum": 86400000 }
  },
  "properties": {
    "daemon": { "$ref": "#/definitions/name" },
    "zone": { "$ref": "#/definitions/name" },
    "caller": {
      "type": "object", "additionalProperties": false, "required": ["host", "port"],
      "properties": {
        "host": { "$ref": "#/definitions/host" },
        "port": { "$ref": "#/definitions/port" },
        "entryLifetimeMs": { "$ref": "#/definitions/milliseconds" },
        "maxBodyBytes": { "type": "integer", "minimum": 1024, "maximum": 1073741824 },
        "maxConnections": { "type": "integer", "minimum": 1, "maximum": 1000000 },
        "maxRequests": { "type": "integer", "minimum": 1, "maximum": 1000000 },
        "maxStreamBufferBytes": { "type": "integer", "minimum": 1024, "maximum": 67108864 },
        "requestTimeoutMs": { "$ref": "#/definitions/milliseconds" },
        "maxDeadlineMs": { "$ref": "#/definitions/milliseconds" }
      }
    },
    "admin": {
      "type": "object", "additionalProperties": false, "required": ["host", "port", "token"],
      "properties": {
        "host": { "$ref": "#/definitions/host" },
        "port": { "$ref": "#/definitions/port" },
        "token": { "type": "string", "minLength": 8, "maxLength": 256 }
      }
    },
    "fleet": {
      "type": "object", "additionalProperties": false, "required": ["host", "port", "key"],
      "properties": {
        "host": { "$ref": "#/definitions/host" },
        "port": { "$ref": "#/definitions/port" },
        "key": { "type": "string", "minLength": 16, "maxLength": 256 },
        "seeds": {
          "type": "array", "maxItems": 64,
          "items": {
            "type": "object", "additionalProperties": false, "required": ["host", "port"],
            "properties": {
              "host": { "$ref": "#/definitions/host" },
              "port": { "$ref": "#/definitions/port" }
            }
          }
        }
      }
    },
    "platform": {
      "type": "object", "additionalProperties": false, "required": ["host", "port"],
      "properties": {
        "host": { "$ref": "#/definitions/host" },
        "port": { "$ref": "#/definitions/port" }
      }
    },
    "memoryMb": { "type": "integer", "minimum": 64, "maximum": 1048576 },
    "maxDescriptors": { "type": "integer", "minimum": 256, "maximum": 1048576 },
    "drain": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "acceptMs": { "$ref": "#/definitions/milliseconds" },
        "limitMs": { "$ref": "#/definitions/milliseconds" }
      }
    },
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": { "level": { "enum": ["debug", "info", "warning", "error"] } }
    }
  }
})json";

const char *const relaySettingsSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["mode", "daemon", "zone", "callers", "readiness", "directory", "fleet", "fleetKey",
               "fleetPorts", "registry"],
  "definitions": {
    "name": { "type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$" },
    "address": { "type": "string", "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$" },
    "milliseconds": { "type": "integer", "minimum": 1, "maximum": 86400000 }
  },
  "properties": {
    "mode": { "enum": ["relay"] },
    "daemon": { "$ref": "#/definitions/name" },
    "zone": { "$ref": "#/definitions/name" },
    "callers": { "$ref": "#/definitions/address" },
    "readiness": { "$ref": "#/definitions/address" },
    "directory": { "$ref": "#/definitions/address" },
    "fleet": { "$ref": "#/definitions/address" },
    "fleetKey": { "type": "string", "minLength": 8, "maxLength": 256 },
    "fleetPorts": {
      "type": "array", "minItems": 2, "maxItems": 2,
      "items": { "type": "integer", "minimum": 1, "maximum": 65535 }
    },
    "seeds": { "type": "array", "maxItems": 64, "items": { "$ref": "#/definitions/address" } },
    "registry": { "$ref": "#/definitions/address" },
    "registrySilenceMs": { "$ref": "#/definitions/milliseconds" },
    "entryLifetimeMs": { "$ref": "#/definitions/milliseconds" },
    "linkMbps": { "type": "number", "minimum": 0, "maximum": 1000000 },
    "placesByFirstEvent": { "type": "boolean" },
    "coldStarts": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "overshoot": { "type": "number", "minimum": 1, "maximum": 10 },
        "slack": { "type": "number", "minimum": 0, "maximum": 1000000 }
      }
    },
    "maxConnections": { "type": "integer", "minimum": 1, "maximum": 1000000 },
    "memoryMb": { "type": "integer", "minimum": 64, "maximum": 1048576 },
    "maxDescriptors": { "type": "integer", "minimum": 256, "maximum": 10000000 },
    "retries": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "ratio": { "type": "number", "minimum": 0, "maximum": 10 },
        "slack": { "type": "number", "minimum": 0, "maximum": 1000000 },
        "windowMs": { "$ref": "#/definitions/milliseconds" }
      }
    },
    "drain": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "acceptMs": { "$ref": "#/definitions/milliseconds" },
        "limitMs": { "$ref": "#/definitions/milliseconds" }
      }
    },
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "level": { "enum": ["debug", "info", "warning", "error"] },
        "maxLinesPerSecond": { "type": "integer", "minimum": 1, "maximum": 1000000 }
      }
    }
  }
})json";

const char *const pipelineSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["pools"],
  "definitions": {
    "name": { "type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$" },
    "host": { "type": "string", "pattern": "^[0-9a-fA-F.:]{2,45}$" },
    "path": { "type": "string", "pattern": "^/[!-~]{0,255}$" },
    "milliseconds": { "type": "number", "minimum": 0.001, "maximum": 86400000 }
  },
  "properties": {
    "pools": {
      "type": "array", "minItems": 1, "maxItems": 1024,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "upstreams"],
        "properties": {
          "name": { "$ref": "#/definitions/name" },
          "path": { "$ref": "#/definitions/path" },
          "probePath": { "$ref": "#/definitions/path" },
          "idempotent": { "type": "boolean" },
          "streaming": { "type": "boolean" },
          "echoesAttempt": { "type": "boolean" },
          "concurrency": { "type": "integer", "minimum": 1, "maximum": 100000 },
          "expectedMs": { "$ref": "#/definitions/milliseconds" },
          "expectedPerTokenMs": { "type": "number", "minimum": 0, "maximum": 60000 },
          "maxEjectedPercent": { "type": "integer", "minimum": 0, "maximum": 100 },
          "maxAnswerBytes": { "type": "integer", "minimum": 1, "maximum": 1073741824 },
          "upstreams": {
            "type": "array", "minItems": 1, "maxItems": 4096,
            "items": {
              "type": "object", "additionalProperties": false,
              "required": ["name", "host", "port", "zone"],
              "properties": {
                "name": { "$ref": "#/definitions/name" },
                "host": { "$ref": "#/definitions/host" },
                "port": { "type": "integer", "minimum": 1, "maximum": 65535 },
                "zone": { "$ref": "#/definitions/name" }
              }
            }
          }
        }
      }
    },
    "pipelines": {
      "type": "array", "maxItems": 1024,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "stages"],
        "properties": {
          "name": { "$ref": "#/definitions/name" },
          "deadlineMs": { "$ref": "#/definitions/milliseconds" },
          "stages": {
            "type": "array", "minItems": 1, "maxItems": 16,
            "items": {
              "type": "object", "additionalProperties": false, "required": ["name", "pool"],
              "properties": {
                "name": { "$ref": "#/definitions/name" },
                "pool": { "$ref": "#/definitions/name" },
                "path": { "$ref": "#/definitions/path" },
                "idempotent": { "type": "boolean" }
              }
            }
          }
        }
      }
    },
    "services": {
      "type": "array", "maxItems": 1024,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "pool"],
        "properties": {
          "name": { "$ref": "#/definitions/name" },
          "pool": { "$ref": "#/definitions/name" },
          "path": { "$ref": "#/definitions/path" },
          "idempotent": { "type": "boolean" },
          "deadlineMs": { "$ref": "#/definitions/milliseconds" }
        }
      }
    },
    "priorities": {
      "type": "array", "maxItems": 16,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "rank"],
        "properties": {
          "name": { "$ref": "#/definitions/name" },
          "rank": { "type": "integer", "minimum": 0, "maximum": 15 }
        }
      }
    },
    "accounts": {
      "type": "array", "maxItems": 100000,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name"],
        "properties": {
          "name": { "$ref": "#/definitions/name" },
          "weight": { "type": "number", "minimum": 0.01, "maximum": 1000 },
          "requestsPerSecond": { "type": "number", "minimum": 0, "maximum": 1000000 },
          "concurrency": { "type": "integer", "minimum": 0, "maximum": 1000000 }
        }
      }
    },
    "acceptUnknownAccounts": { "type": "boolean" }
  }
})json";

} // namespace citronpick::config::internal
