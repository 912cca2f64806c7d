#ifndef CITRONPICK_CONFIG_INTERNAL_SCHEMAS_H
#define CITRONPICK_CONFIG_INTERNAL_SCHEMAS_H

namespace citronpick::config::internal
{

//! JSON Schema (draft 7) of the daemon's settings file.
extern const char *const settingsSchema;
//! The same for a daemon that relays.
extern const char *const relaySettingsSchema;
//! JSON Schema (draft 7) of a pipeline file.
extern const char *const pipelineSchema;

} // namespace citronpick::config::internal

#endif // CITRONPICK_CONFIG_INTERNAL_SCHEMAS_H
