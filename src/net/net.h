#pragma once

// Sockets: HTTP server and client over Boost.Beast, and the framed connection between entry processes and agents.

#include "net/address.h"
#include "net/asio.h"
#include "net/bodydecoder.h"
#include "net/chunkdecoder.h"
#include "net/decodedpiece.h"
#include "net/framedconnection.h"
#include "net/httpclient.h"
#include "net/httpclientconnection.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"
#include "net/httpresponse.h"
#include "net/httpserver.h"
#include "net/listen.h"
#include "net/messagereader.h"
#include "net/neterror.h"
#include "net/notification.h"
#include "net/retryafter.h"
#include "net/spawn.h"
#include "net/steadynow.h"
