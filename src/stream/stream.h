#pragma once

// Whole answers: a sender that keeps frames until they are acknowledged, and a receiver that checks order, count
// and digest.

#include "stream/framekind.h"
#include "stream/receiveeffect.h"
#include "stream/streamerror.h"
#include "stream/streamframe.h"
#include "stream/streamreceiver.h"
#include "stream/streamsender.h"
