#ifndef CITRONPICK_CONFIG_INTERNAL_SCHEMAS_H
#define CITRONPICK_CONFIG_INTERNAL_SCHEMAS_H

namespace citronpick::config::internal
{

//! JSON Schema (draft 7) of the settings file of a daemon that does not run in relay mode.
extern const char *const settingsSchema;
//! JSON Schema (draft 7) of the settings file of a daemon in relay mode.
extern const char *const relaySettingsSchema;
//! JSON Schema (draft 7) of a pipeline file.
extern const char *const pipelineSchema;

} // namespace citronpick::config::internal

#endif // CITRONPICK_CONFIG_INTERNAL_SCHEMAS_H
