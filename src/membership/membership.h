#pragma once

// Membership of a failure domain: liveness, leaving notices, load reports, and the dissemination of configuration.

#include "membership/agentidentity.h"
#include "membership/agentreporter.h"
#include "membership/controladdress.h"
#include "membership/entryhost.h"
#include "membership/fanouttree.h"
#include "membership/gossipnode.h"
#include "membership/hostidentity.h"
#include "membership/hostrow.h"
#include "membership/membershiperror.h"
#include "membership/membershipmessage.h"
#include "membership/membertable.h"
#include "membership/outgoingmessage.h"
#include "membership/relayselection.h"
#include "membership/rendezvous.h"
#include "membership/serverload.h"
#include "membership/serverrow.h"
