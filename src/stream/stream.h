#pragma once

// Transfer of an answer as a sequence of frames: the sender keeps each frame until it is acknowledged, and the receiver
// checks the order, number and digest of the frames.

#include "stream/framekind.h"
#include "stream/receiveeffect.h"
#include "stream/streamerror.h"
#include "stream/streamframe.h"
#include "stream/streamreceiver.h"
#include "stream/streamsender.h"
