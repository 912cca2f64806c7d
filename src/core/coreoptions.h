#ifndef CITRONPICK_CORE_COREOPTIONS_H
#define CITRONPICK_CORE_COREOPTIONS_H

#include <string>

#include "config/settings.h"
#include "fleet/fleetoptions.h"
#include "health/healthoptions.h"
#include "model/ids.h"
#include "operations/operationtable.h"
#include "pipeline/pipelineoptions.h"
#include "routing/router.h"

namespace citronpick::core
{

//! Settings and identity of one daemon.
struct CoreOptions {
    model::DaemonId daemon;
    model::Incarnation incarnation; //!< Higher than that of any earlier run of the daemon.
    model::ZoneId zone;
    config::Endpoint callerEndpoint;
    config::Endpoint fleetEndpoint;
    std::string secret; //!< Shared by all daemons; signs operation keys.
    uint64_t seed = 1;
    config::DrainSettings drain;
    health::HealthOptions health;
    routing::RoutingPolicy routing = routing::PowerOfTwo {};
    pipeline::PipelineOptions pipeline;
    operations::OperationOptions operations;
    fleet::FleetOptions fleet;
};

} // namespace citronpick::core

#endif // CITRONPICK_CORE_COREOPTIONS_H
