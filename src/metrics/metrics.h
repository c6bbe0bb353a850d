#pragma once

// Counters and latency summaries of bounded size, and their Prometheus text.

#include "metrics/counter.h"
#include "metrics/gauge.h"
#include "metrics/latencysummary.h"
#include "metrics/metricsregistry.h"
