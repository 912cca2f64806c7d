#ifndef CITRONPICK_NET_INTERNAL_H2O_H
#define CITRONPICK_NET_INTERNAL_H2O_H

// Includes H2O's headers, with the compiler warnings disabled that these headers cause.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#pragma GCC diagnostic ignored "-Wsign-compare"
#pragma GCC diagnostic ignored "-Wmissing-field-initializers"
#define H2O_USE_LIBUV 0
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/http2.h>
#pragma GCC diagnostic pop

#endif // CITRONPICK_NET_INTERNAL_H2O_H
