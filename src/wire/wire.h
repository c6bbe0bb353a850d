#pragma once

// Messages between entry processes and agents, and their encoding. Each message is the msgpack array
// [protocol version, message type, body].

#include "wire/message.h"
#include "wire/messagecodec.h"
#include "wire/msgpackcodec.h"
#include "wire/wireerror.h"
